package jobagt

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// reportInterval is the interval between reports while nothing changes. Each
// report extends the lease.
const reportInterval = 500 * time.Millisecond

// leaderTimeout is how long the agent waits for the answer to a report before
// it looks for another leader. An answer takes about 10 ms, and 60 ms from a
// slow host. After a leader hangs, another one is elected within about 0.75 s.
const leaderTimeout = 450 * time.Millisecond

// serveLeader reports to the leader and receives its orders until the session
// ends.
func (a *Agent) serveLeader(ctx context.Context, s *wire.Session) {
	st, err := s.OpenCall(context.Background(), wire.MethodAttend, "")
	if err != nil {
		a.log.Warn("report stream to the leader could not be opened", zap.Error(err))
		return
	}
	defer st.Reset()
	a.mu.Lock()
	a.state.reportGivenUpAgain()
	a.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	watchdog := &replyWatchdog{}
	g.Go(func() error { return a.sendReports(ctx, st, watchdog) })
	g.Go(func() error {
		return wire.Guard(a.log, func() error {
			for {
				orders := &wire.HostOrders{}
				if err := st.Recv(orders); err != nil {
					return err
				}
				watchdog.answerReceived(st)
				a.receiveOrders(orders)
			}
		})
	})
	if err := g.Wait(); err != nil {
		a.log.Info("report stream to the leader ended", zap.Error(err))
	}
}

// receiveOrders accepts orders of the leader.
func (a *Agent) receiveOrders(orders *wire.HostOrders) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyOrders(orders)
}

// replyWatchdog ends the stream when the leader doesn't answer a report in
// time.
type replyWatchdog struct {
	mu      sync.Mutex
	waiting bool // a report is unanswered
}

func (w *replyWatchdog) reportSent(st *wire.Stream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting {
		w.waiting = true
		_ = st.SetReadDeadline(time.Now().Add(leaderTimeout)) // on a closed stream the next read fails anyway
	}
}

func (w *replyWatchdog) answerReceived(st *wire.Stream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	_ = st.SetReadDeadline(time.Time{}) // on a closed stream the next read fails anyway
}

func (a *Agent) sendReports(ctx context.Context, st *wire.Stream, watchdog *replyWatchdog) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		a.mu.Lock()
		rep, due := a.buildReport(), a.reportDue
		a.mu.Unlock()
		if rep != nil {
			watchdog.reportSent(st)
			if err := st.Send(rep); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
		case <-t.C:
		}
	}
}

// remainingMs returns the least number of milliseconds until a draining worker
// exits, 0 if it isn't known. The caller holds a.mu.
func (a *Agent) remainingMs() int64 {
	if a.announced.earliestExit.IsZero() {
		return 0
	}
	return max(1, a.announced.earliestExit.Sub(a.env.BootClock.Now()).Milliseconds())
}

// buildReport returns the report to send now, nil before the worker's first
// announcement. The caller holds a.mu.
func (a *Agent) buildReport() *wire.HostReport {
	if a.announced.Worker.Zero() {
		return nil
	}
	state := &a.state
	rep := &wire.HostReport{
		Term: a.term, Worker: a.announced.Worker.Name, Born: a.announced.Worker.StartedMs, Service: a.announced.Service, Version: a.announced.Version,
		Draining: a.announced.Draining, Remainms: a.remainingMs(), Cpu: a.announced.CPU, Memory: a.announced.Memory, Accels: a.announced.Accels,
		Labels: a.announced.Labels, Rack: a.announced.Rack, Seq: a.announced.Seq, Coldms: uint32(max(0, a.announced.ColdMs)),
	}
	if state.worker != a.announced.Worker {
		return rep
	}
	rep.Lost, rep.Listed, rep.Listing, rep.Clock = state.lost, state.usable(), state.listingCount, state.lastListing.ClockMs
	if state.misses > 0 {
		rep.Clock = 0 // the lease of a worker that may be gone must not be extended
	}
	if rep.Draining {
		state.drainClock = max(state.drainClock, rep.Clock)
	}
	for _, r := range state.lastListing.Runs {
		rep.Runs = append(rep.Runs, &wire.RunState{Task: r.Task, Run: uint32(r.Run), Saved: r.Checkpoint, Percent: uint32(max(0, r.Percent))})
	}
	for _, e := range state.lastListing.Ends {
		if e.Number > state.recordedEnds {
			rep.Ends = append(rep.Ends, &wire.RunEnd{Number: e.Number, Task: e.Task, Run: uint32(e.Run), How: string(e.Outcome), Saved: e.Checkpoint})
		}
	}
	rep.Gone, state.goneRuns = state.goneRuns, nil
	return rep
}
