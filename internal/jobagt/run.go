package jobagt

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	orderTimeout = time.Second            // for a worker's answer to an order
	orderPause   = 100 * time.Millisecond // between two tries
)

// run is an order in progress.
type run struct {
	start StartOrder
	// doubt tells that an order to start may still be on its way: it has to be
	// made impossible before the run may count as gone.
	doubt   bool
	begun   bool   // the worker has said that it is there
	stop    bool   // it has to end
	poison  uint64 // listings there were when the worker confirmed the stop; 0 before
	reason  string // why it didn't begin
	working bool   // a goroutine carries the order out
}

// settling tells whether a list is wanted that is newer than a confirmed stop.
func (l *life) settling() bool {
	for _, r := range l.runs {
		if r.poison > 0 {
			return true
		}
	}
	return false
}

// has tells whether the last list names a run, running or ended.
func (l *life) has(k key) bool {
	for _, r := range l.listing.Runs {
		if r.Task == k.task && r.Run == k.run {
			return true
		}
	}
	for _, e := range l.listing.Ends {
		if e.Task == k.task && e.Run == k.run {
			return true
		}
	}
	return false
}

// settle finds the runs that can't begin any more: the worker has confirmed a
// stop, and a list made after that doesn't name them.
func (l *life) settle(log *zap.Logger) bool {
	found := false
	for k, r := range l.runs {
		// The list under way when the stop was confirmed may be older.
		if r.poison == 0 || l.count < r.poison+2 || l.has(k) {
			continue
		}
		if r.reason == "" {
			r.reason = "stopped before it began"
		}
		log.Info("run can't begin", zap.String("request", taskJob(k.task)), zap.String("task", k.task), zap.Int("run", k.run), zap.String("why", r.reason))
		l.drop(k, r.reason)
		found = true
	}
	return found
}

// drop reports a run as gone.
func (l *life) drop(k key, reason string) {
	delete(l.runs, k)
	l.gone = append(l.gone, &wire.RunGone{Task: k.task, Run: uint32(k.run), Reason: reason})
}

func taskJob(task string) string {
	id, err := jobs.ParseTaskID(task)
	if err != nil {
		return ""
	}
	return id.Job
}

// order takes in orders of the leader. The caller holds mu.
func (a *Agent) order(ctx context.Context, o *wire.HostOrders) {
	if o.Term < a.term {
		return
	}
	a.term = o.Term
	l := &a.life
	if l.worker != (jobs.Worker{Name: o.Worker, StartedMs: o.Born}) {
		return
	}
	l.lease = max(l.lease, o.Lease)
	if o.Seen > l.seen {
		l.seen = o.Seen
		for k := range l.runs {
			if a.recorded(k) {
				delete(l.runs, k)
			}
		}
		a.hurry()
	}
	for _, st := range o.Stops {
		k := key{st.Task, int(st.Run)}
		r, ok := l.runs[k]
		if !ok {
			r = &run{start: StartOrder{Task: st.Task, Run: int(st.Run)}, doubt: true}
			l.runs[k] = r
		}
		r.stop = true
		a.work(ctx, k, r)
	}
	for _, st := range o.Starts {
		k := key{st.Task, int(st.Run)}
		if r, ok := l.runs[k]; ok {
			// The leader misses a run that the worker once confirmed.
			if r.begun && !r.stop && !l.has(k) {
				r.begun, r.doubt = false, true
				a.work(ctx, k, r)
			}
			continue
		}
		r := &run{start: StartOrder{Task: st.Task, Run: int(st.Run), Spec: st.Spec, Checkpoint: st.Saved}, doubt: !st.Fresh}
		l.runs[k] = r
		a.work(ctx, k, r)
	}
}

// recorded tells whether a run is among the ends that are recorded.
func (a *Agent) recorded(k key) bool {
	for _, e := range a.life.listing.Ends {
		if e.Task == k.task && e.Run == k.run && e.Number <= a.life.seen {
			return true
		}
	}
	return false
}

// work carries an order out, unless that is being done. The caller holds mu.
func (a *Agent) work(ctx context.Context, k key, r *run) {
	if r.working {
		return
	}
	r.working = true
	worker := a.life.worker
	a.group.Go(func() error {
		a.carry(ctx, worker, k, r)
		return nil
	})
}

// carry tries an order until the worker has answered it.
func (a *Agent) carry(ctx context.Context, worker jobs.Worker, k key, r *run) {
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		r.working = false
	}()
	for ctx.Err() == nil {
		a.mu.Lock()
		current := a.life.worker == worker && a.life.runs[k] == r
		over := !current || r.poison > 0 || (r.begun && !r.stop)
		a.mu.Unlock()
		if over {
			return
		}
		if !a.try(ctx, worker, k, r) {
			kern.Sleep(ctx, orderPause)
		}
	}
}

// try gives the order once and tells whether it got an answer.
func (a *Agent) try(ctx context.Context, worker jobs.Worker, k key, r *run) bool {
	a.mu.Lock()
	term, stop := a.term, r.stop
	start := r.start
	start.Term, start.LeaseEnd = term, a.life.lease
	draining := a.told.Draining || a.told.Worker != worker
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch {
	case stop:
		return a.tryStop(ctx, worker, term, k, r)
	case draining:
		return a.refuse(k, r, "worker drains")
	case start.LeaseEnd == 0:
		return false
	}
	v, err := a.worker.Start(ctx, worker, start)
	if err != nil {
		a.log.Warn("start not answered", zap.String("request", taskJob(k.task)), zap.String("task", k.task), zap.Int("run", k.run),
			zap.String("worker", worker.Name), zap.Error(err))
		if !errors.Is(err, ErrNoListener) && !errors.Is(err, ErrOtherWorker) {
			a.mu.Lock()
			r.doubt = true
			a.mu.Unlock()
		}
		return false
	}
	a.log.Info("start answered", zap.String("request", taskJob(k.task)), zap.String("task", k.task), zap.Int("run", k.run),
		zap.String("worker", worker.Name), zap.String("outcome", string(v)), zap.Uint64("term", term), zap.Int64("lease", start.LeaseEnd))
	if v == ResultStarted {
		a.mu.Lock()
		defer a.mu.Unlock()
		r.begun = true
		a.hurry()
		return true
	}
	if v == ResultFenced {
		// A newer leader orders what it wants itself.
		return false
	}
	return a.refuse(k, r, string(v))
}

// refuse ends an order to start that the worker hasn't carried out. While another
// copy of it may be on its way, it is stopped first.
func (a *Agent) refuse(k key, r *run, reason string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.reason = reason
	if r.doubt || reason == string(ResultOutdated) {
		r.stop = true
		return true
	}
	if a.life.runs[k] == r {
		a.life.drop(k, reason)
		a.notify()
	}
	return true
}

func (a *Agent) tryStop(ctx context.Context, worker jobs.Worker, term uint64, k key, r *run) bool {
	err := a.worker.Stop(ctx, worker, term, k.task, k.run)
	if err != nil {
		a.log.Warn("stop not answered", zap.String("request", taskJob(k.task)), zap.String("task", k.task), zap.Int("run", k.run),
			zap.String("worker", worker.Name), zap.Error(err))
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.poison = max(1, a.life.count)
	a.hurry()
	return true
}
