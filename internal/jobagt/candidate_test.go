package jobagt

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// hostedWorker answers holds to its name. All others fail.
type hostedWorker struct {
	fakeWorker
	worker   jobs.Worker
	otherErr error // for holds to other names
	leases   int   // holds that carried a lease
}

func (w *hostedWorker) Hold(_ context.Context, to jobs.Worker, h HoldOrder) (Listing, error) {
	if to.Name != w.worker.Name {
		return Listing{}, w.otherErr
	}
	if h.LeaseEnd > 0 {
		w.leases++
	}
	return Listing{Worker: w.worker, ClockMs: 1100}, nil
}

// One announcement with an id that can't stand in a request took the worker of the host out of use for good: each hold
// to that id failed in the client, and nothing but the refusal of another worker took the announcement back.
func TestAnnouncementsOfOthersDontDisplaceTheWorker(t *testing.T) {
	for name, otherErr := range map[string]error{
		"refused by the worker": ErrOtherWorker, "not sent": errors.New("invalid header"), "not answered": errNoAnswer, "nothing listens": ErrNoListener,
	} {
		for _, count := range []int{1, 100} {
			t.Run(fmt.Sprintf("%s, %d", name, count), func(t *testing.T) {
				a, _ := newTestAgent(t, &fakeWorker{})
				w := &hostedWorker{worker: testWorker, otherErr: otherErr}
				a.worker = w
				for i := range count {
					a.Announce(Announcement{Worker: jobs.Worker{Name: fmt.Sprintf("other-%d", i), StartedMs: 9}, Service: "s", Seq: 1 << 40})
					require.True(t, a.buildReport().Listed)
					a.sendHold(t.Context(), a.nextHold())
				}
				if count > 1 {
					require.Greater(t, w.leases, count/3, "the lease goes on")
				}
				for range 2 * maxCandidates {
					a.sendHold(t.Context(), a.nextHold())
				}
				require.Empty(t, a.candidates)
				require.True(t, a.buildReport().Listed)
				require.Equal(t, testWorker, a.nextHold())
			})
		}
	}
}

// The same over time, with the holds that the agent sends by itself.
func TestHoldsReturnToTheWorkerAfterAnOddAnnouncement(t *testing.T) {
	for name, otherErr := range map[string]error{"not sent": errors.New("invalid header"), "not answered": errNoAnswer} {
		t.Run(name, func(t *testing.T) {
			a, _ := newTestAgent(t, &fakeWorker{})
			a.worker = &hostedWorker{worker: testWorker, otherErr: otherErr}
			a.Announce(Announcement{Worker: jobs.Worker{Name: "\x01\x07", StartedMs: 9}, Service: "s", Seq: 1})
			a.group.Go(func() error { return a.sendHolds(a.ctx) })
			require.Eventually(t, func() bool {
				a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 2})
				a.mu.Lock()
				defer a.mu.Unlock()
				rep := a.buildReport()
				return rep.Worker == testWorker.Name && rep.Listed
			}, 3*time.Second, 10*time.Millisecond)
		})
	}
}

// Announcements under the name of the worker that name another start must not keep its lease from being renewed either.
func TestAnnouncedRestartsDontStopTheLease(t *testing.T) {
	a, _ := newTestAgent(t, &fakeWorker{})
	w := &hostedWorker{worker: testWorker, otherErr: ErrOtherWorker}
	a.worker = w
	for i := range 30 {
		a.Announce(Announcement{Worker: jobs.Worker{Name: testWorker.Name, StartedMs: int64(100 + i)}, Service: "s", Seq: 1})
		a.Announce(Announcement{Worker: jobs.Worker{Name: fmt.Sprintf("other-%d", i), StartedMs: 9}, Service: "s", Seq: 1})
		a.sendHold(t.Context(), a.nextHold())
	}
	require.GreaterOrEqual(t, w.leases, 9)
	require.True(t, a.buildReport().Listed)
}

// Before any worker has answered, announcements of others must not keep the host's worker from being tried.
func TestWorkerIsFoundAmongAnnouncementsOfOthers(t *testing.T) {
	for name, otherErr := range map[string]error{"refused by the worker": ErrOtherWorker, "not sent": errors.New("invalid header")} {
		t.Run(name, func(t *testing.T) {
			a, _ := newTestAgent(t, &fakeWorker{})
			a.state, a.announced = workerState{}, Announcement{}
			a.worker = &hostedWorker{worker: testWorker, otherErr: otherErr}
			for i := range 2 * maxCandidates {
				a.Announce(Announcement{Worker: jobs.Worker{Name: fmt.Sprintf("other-%d", i), StartedMs: 9}, Service: "s", Seq: 1})
			}
			require.Nil(t, a.buildReport(), "nothing is reported of a worker that nobody has seen")
			for range 2 {
				a.sendHold(t.Context(), a.nextHold())
				a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 2})
			}
			for range maxCandidates {
				a.sendHold(t.Context(), a.nextHold())
			}
			require.Equal(t, testWorker, a.announced.Worker)
			require.True(t, a.buildReport().Listed)
		})
	}
}

// An announcement of the worker in use with another service and a high number took it out of use for good, as its own
// ones, with lower numbers, counted as late.
func TestContradictingAnnouncementIsIgnored(t *testing.T) {
	for name, odd := range map[string]Announcement{
		"service":  {Service: "other"},
		"address":  {Service: "s", Address: "10.0.0.9:1"},
		"capacity": {Service: "s", Accels: 1 << 30},
		"labels":   {Service: "s", Labels: []string{"a", "r9"}},
	} {
		odd.Worker, odd.Seq = testWorker, 1<<40
		t.Run(name, func(t *testing.T) {
			a, clk := newTestAgent(t, &fakeWorker{})
			for seq := int64(2); seq < 10; seq++ {
				a.Announce(odd)
				a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: seq, Draining: seq == 9})
				rep := a.buildReport()
				require.Equal(t, "s", rep.Service)
				require.Zero(t, rep.Accels)
				require.Empty(t, rep.Labels)
				require.Equal(t, seq, rep.Seq)
			}
			require.True(t, a.buildReport().Draining)

			// If it came first, the worker's own announcements prevail.
			a.state, a.announced = workerState{}, Announcement{}
			odd.Seq++
			a.Announce(odd)
			a.receiveListing(Listing{Worker: testWorker, ClockMs: 1000})
			for seq := int64(10); seq < 13; seq++ {
				clk.advance(1500 * time.Millisecond)
				a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: seq})
			}
			require.Equal(t, "s", a.buildReport().Service)
			require.EqualValues(t, 12, a.buildReport().Seq)
		})
	}
}
