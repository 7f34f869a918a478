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
	var teamList []model.Team
	var requests []Request
	for i := range teams {
		name := strconv.Itoa(i)
		teamList = append(teamList, model.Team{Name: name, Slots: 8, Weight: 1})
		requests = append(requests, Request{Team: name, Service: "s", Idempotent: true, DeclaredMs: 1})
	}
	q.SetTeams(teamList)
	q.SetServices([]model.Service{testService})
	q.SetCapacity("s", 8*teams, 1)
	return q, requests
}

// BenchmarkQueue measures Push, Pop and Done of one request while every team has
// a request queued and four running.
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
			for _, tq := range q.services["s"].active {
				if tq.queued > 0 {
					waiting++
				}
			}
			b.ReportMetric(float64(waiting), "teams-waiting")
		})
	}
}

// BenchmarkCancel measures the mean time of one Cancel while 10,000 queued
// requests are cancelled one after another.
func BenchmarkCancel(b *testing.B) {
	const batchSize = 10_000
	now := time.Unix(1000, 0)
	ids := make([]string, batchSize)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	for cancelled := batchSize; b.Loop(); cancelled++ {
		if cancelled%batchSize == 0 {
			b.StopTimer()
			q, requests := benchQueue(1)
			for _, id := range ids {
				r := requests[0]
				r.ID = id
				_ = q.Push(r, now)
			}
			benchCancelQueue = q
			b.StartTimer()
		}
		benchCancelQueue.Cancel(ids[cancelled%batchSize], now)
	}
}

var benchCancelQueue *Queue
