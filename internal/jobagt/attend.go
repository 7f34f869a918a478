package jobagt

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// reportEvery is the interval between reports while nothing changes. Each report
// extends the lease.
const reportEvery = 500 * time.Millisecond

// leaderSilence is how long the agent waits for the answer to a report before it
// looks for another leader. An answer takes about 10 ms, and 60 ms from a slow
// host. After a leader hangs, another one is elected within about 0.75 s.
const leaderSilence = 450 * time.Millisecond

// attend reports to the leader and receives its orders until the session ends.
func (a *Agent) attend(ctx context.Context, s *wire.Session) {
	st, err := s.Open(context.Background(), wire.MethodAttend, "")
	if err != nil {
		a.log.Warn("report stream to the leader could not be opened", zap.Error(err))
		return
	}
	defer st.Reset()
	a.mu.Lock()
	// Gone runs that the leader wasn't told of are not forgotten: it repeats its
	// orders for them, and the agent finds again that they are gone.
	a.life.gone = nil
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
		a.log.Info("report stream to the leader ended", zap.Error(err))
	}
}

// quiet ends the stream when the leader doesn't answer a report in time.
type quiet struct {
	mu      sync.Mutex
	waiting bool // a report is unanswered
}

func (q *quiet) asked(st *wire.Stream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.waiting {
		q.waiting = true
		_ = st.SetReadDeadline(time.Now().Add(leaderSilence)) // on a closed stream the next read fails anyway
	}
}

func (q *quiet) answered(st *wire.Stream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = false
	_ = st.SetReadDeadline(time.Time{}) // on a closed stream the next read fails anyway
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

// remain returns the least number of milliseconds until a draining worker exits,
// 0 if it isn't known. The caller holds a.mu.
func (a *Agent) remain() int64 {
	if a.leaves.IsZero() {
		return 0
	}
	return max(1, a.leaves.Sub(a.env.Boot.Now()).Milliseconds())
}

// report returns the report to send now, nil before the worker's first
// announcement. The caller holds a.mu.
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
	rep.Lost, rep.Listed, rep.Listing, rep.Clock = l.lost, l.usable(), l.count, l.listing.Clock
	if l.misses > 0 {
		rep.Clock = 0 // the lease of a worker that may be gone must not be extended
	}
	for _, r := range l.listing.Runs {
		rep.Runs = append(rep.Runs, &wire.RunState{Task: r.Task, Run: uint32(r.Run), Saved: r.Saved, Percent: uint32(max(0, r.Percent))})
	}
	for _, e := range l.listing.Ends {
		if e.Number > l.seen {
			rep.Ends = append(rep.Ends, &wire.RunEnd{Number: e.Number, Task: e.Task, Run: uint32(e.Run), How: string(e.Outcome), Saved: e.Checkpoint})
		}
	}
	rep.Gone, l.gone = l.gone, nil
	return rep
}
