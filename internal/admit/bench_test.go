package admit

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func benchQueue(teams int) (*Queue, []Request) {
	q := New(Options{MaxWaitFraction: 1})
	var all []model.Team
	var requests []Request
	for i := range teams {
		name := strconv.Itoa(i)
		all = append(all, model.Team{Name: name, Slots: 8, Weight: 1})
		requests = append(requests, Request{Team: name, Service: "s", Idempotent: true, DeclaredMs: 1})
	}
	q.SetTeams(all)
	q.SetServices([]model.Service{testService})
	q.SetCapacity("s", 8*teams, 1)
	return q, requests
}

// BenchmarkQueue takes one request through push, pop and done while every team
// has a request queued and four running.
func BenchmarkQueue(b *testing.B) {
	for _, teams := range []int{4, 410} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q, requests := benchQueue(teams)
			now := time.Unix(1000, 0)
			for i, r := range requests {
				r.ID = "first-" + strconv.Itoa(i)
				_ = q.Push(r, now)
			}
			running := make([]Request, 4*teams)
			ids := make([]string, 16*teams)
			for i := range ids {
				ids[i] = strconv.Itoa(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := requests[i%teams]
				r.ID = ids[i%len(ids)]
				_ = q.Push(r, now)
				now = now.Add(time.Microsecond)
				r, _ = q.Pop("s", AnySlot, now)
				q.Done(running[i%len(running)], time.Millisecond, OutcomeAnswer, now)
				running[i%len(running)] = r
			}
			b.StopTimer()
			waiting := 0
			for _, l := range q.services["s"].active {
				if l.live > 0 {
					waiting++
				}
			}
			b.ReportMetric(float64(waiting), "teams-waiting")
		})
	}
}

// BenchmarkCancel cancels 10,000 requests; the time is for one of them.
func BenchmarkCancel(b *testing.B) {
	const wave = 10_000
	now := time.Unix(1000, 0)
	ids := make([]string, wave)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	for done := wave; b.Loop(); done++ {
		if done%wave == 0 {
			b.StopTimer()
			q, requests := benchQueue(1)
			for _, id := range ids {
				r := requests[0]
				r.ID = id
				_ = q.Push(r, now)
			}
			benchWave = q
			b.StartTimer()
		}
		benchWave.Cancel(ids[done%wave], now)
	}
}

var benchWave *Queue
