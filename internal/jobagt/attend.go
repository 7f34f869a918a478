package jobagt

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// reportEvery is how often the agent reports without news; each report extends
// the lease.
const reportEvery = 500 * time.Millisecond

// leaderSilence is how long the leader may leave a report unanswered before another
// one is looked for. An answer takes some 10 ms, and 60 ms from a host that has turned
// slow. A successor of a frozen leader is elected after about 0.75 s.
const leaderSilence = 450 * time.Millisecond

// attend reports to the leader and takes its orders until the session ends.
func (a *Agent) attend(ctx context.Context, s *wire.Session) {
	st, err := s.OpenCall(context.Background(), wire.MethodAttend, "")
	if err != nil {
		a.log.Warn("leader takes no reports", zap.Error(err))
		return
	}
	defer st.Reset()
	a.mu.Lock()
	a.life.gone = nil // what wasn't taken is ordered anew, and found gone again
	a.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	q := &quiet{}
	g.Go(func() error { return a.reports(ctx, st, q) })
	g.Go(func() error {
		for {
			o := &wire.HostOrders{}
			if err := st.Recv(o); err != nil {
				return err
			}
			q.answered(st)
			a.mu.Lock()
			a.order(a.ctx, o)
			a.mu.Unlock()
		}
	})
	if err := g.Wait(); err != nil {
		a.log.Info("stream to the leader ended", zap.Error(err))
	}
}

// quiet lets a stream end on which the leader leaves a report unanswered.
type quiet struct {
	mu      sync.Mutex
	waiting bool
}

func (q *quiet) asked(st *wire.Stream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.waiting {
		q.waiting = true
		_ = st.SetReadDeadline(time.Now().Add(leaderSilence)) // a closed stream fails the next read
	}
}

func (q *quiet) answered(st *wire.Stream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = false
	_ = st.SetReadDeadline(time.Time{}) // the same
}

func (a *Agent) reports(ctx context.Context, st *wire.Stream, q *quiet) error {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		a.mu.Lock()
		rep, changed := a.report(), a.changed
		a.mu.Unlock()
		if rep != nil {
			q.asked(st)
			if err := st.Send(rep); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-t.C:
		}
	}
}

// remain returns for how long a worker that drains goes on at least, in
// milliseconds, 0 if it hasn't said. The caller holds mu.
func (a *Agent) remain() int64 {
	if a.leaves.IsZero() {
		return 0
	}
	return max(1, a.leaves.Sub(a.env.BootClock.Now()).Milliseconds())
}

// report returns what there is to tell, nil before the worker has shown itself.
// The caller holds mu.
func (a *Agent) report() *wire.HostReport {
	if a.told.Worker.Zero() {
		return nil
	}
	l := &a.life
	rep := &wire.HostReport{
		Term: a.term, Worker: a.told.Worker.Name, Born: a.told.Worker.StartedMs, Service: a.told.Service, Version: a.told.Version,
		Draining: a.told.Draining, Remainms: a.remain(), Cpu: a.told.CPU, Memory: a.told.Memory, Accels: a.told.Accels,
		Labels: a.told.Labels, Rack: a.told.Rack, Seq: a.told.Seq, Coldms: uint32(max(0, a.told.ColdMs)),
	}
	if l.worker != a.told.Worker {
		return rep
	}
	rep.Lost, rep.Listed, rep.Listing, rep.Clock = l.lost, l.usable(), l.count, l.listing.ClockMs
	if l.misses > 0 {
		rep.Clock = 0 // nothing extends the lease of a worker that may be gone
	}
	for _, r := range l.listing.Runs {
		rep.Runs = append(rep.Runs, &wire.RunState{Task: r.Task, Run: uint32(r.Run), Saved: r.Checkpoint, Percent: uint32(max(0, r.Percent))})
	}
	for _, e := range l.listing.Ends {
		if e.Number > l.seen {
			rep.Ends = append(rep.Ends, &wire.RunEnd{Number: e.Number, Task: e.Task, Run: uint32(e.Run), How: string(e.Outcome), Saved: e.Checkpoint})
		}
	}
	rep.Gone, l.gone = l.gone, nil
	return rep
}
