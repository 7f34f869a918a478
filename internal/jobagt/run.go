package jobagt

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobctl"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	orderTimeout       = time.Second            // for the worker's answer to an order
	orderRetryInterval = 100 * time.Millisecond // between two attempts
	// minStartLease is the least time that is left of the lease of a start. A start that reaches the
	// worker's next incarnation has to be found and stopped within it.
	minStartLease = time.Second
	// lateOrderTime is how long after it was sent an unanswered order may still be executed. The platform
	// speaks of seconds.
	lateOrderTime = 15 * time.Second
)

// pendingRun is a run for which the leader has sent an order.
type pendingRun struct {
	order StartOrder
	// grantEnd is the end of the leader's grant when the leader last ordered the start. The start
	// must not use a later grant: the leader may have taken the run for lost in between.
	grantEnd int64
	// startInDoubt is set when an order to start may still reach the worker.
	// The run must then be stopped before it may be reported as gone.
	startInDoubt   bool
	startConfirmed bool        // the worker has confirmed the start
	stopWanted     bool        // the run has to be stopped
	listingsAtStop uint64      // number of listings received when the worker confirmed the stop, at least 1; 0 before
	reason         string      // why the run didn't start
	executing      bool        // a goroutine executes the order
	queue          *orderQueue // where the order waits, nil if it doesn't
}

// awaitsListing reports whether a listing made after a confirmed stop is
// needed.
func (s *workerState) awaitsListing() bool {
	for _, r := range s.runs {
		if r.listingsAtStop > 0 {
			return true
		}
	}
	return false
}

// mayList reports whether the last listing contains a run, running or ended, or may lack only its end.
func (s *workerState) mayList(k runKey) bool { return s.lastListing.MoreEnds || s.lists(k) }

// lists reports whether the last listing contains a run, running or ended.
func (s *workerState) lists(k runKey) bool {
	_, ok := s.listing()[k]
	return ok
}

// listing returns the runs in the last listing with the numbers of their ends, 0 for those that are running.
func (s *workerState) listing() map[runKey]uint64 {
	if s.listedRuns == nil || s.listedAs != s.listingCount {
		s.listedRuns, s.listedAs = make(map[runKey]uint64, len(s.lastListing.Runs)), s.listingCount
		for _, r := range s.lastListing.Runs {
			s.listedRuns[runKey{r.Task, r.Run}] = 0
		}
		for _, e := range s.lastListing.Ends {
			s.listedRuns[runKey{e.Task, e.Run}] = e.Number
		}
	}
	return s.listedRuns
}

// dropStopped drops the runs that can no longer start: the worker has confirmed
// the stop, and a complete listing made after that doesn't contain them. It reports
// whether there were any.
func (s *workerState) dropStopped(log *zap.Logger) bool {
	dropped := false
	for k, r := range s.runs {
		// The first listing received after the confirmation may have been made
		// before it.
		if r.listingsAtStop == 0 || s.listingCount < r.listingsAtStop+2 || s.mayList(k) {
			continue
		}
		if r.reason == "" {
			r.reason = "stopped before it began"
		}
		log.Info("run can no longer start", zap.String("request", jobOf(k.task)), zap.String("task", k.task), zap.Int("run", k.run), zap.String("why", r.reason))
		s.dropRun(k, r.reason)
		dropped = true
	}
	return dropped
}

// inheritRuns adds the runs that an earlier incarnation of the worker was ordered to start, as runs to be
// stopped. Orders name a worker by its id only, so an order for the earlier incarnation may still start a run,
// also one that has ended there.
func (s *workerState) inheritRuns(earlier *workerState, now time.Time) {
	for k, until := range earlier.lateStarts {
		if now.Before(until) {
			s.lateStarts[k] = until
			s.runs[k] = newInheritedRun(k)
		}
	}
	for k := range earlier.runs {
		s.runs[k] = newInheritedRun(k)
	}
}

func newInheritedRun(k runKey) *pendingRun {
	return &pendingRun{order: StartOrder{Task: k.task, Run: k.run}, startInDoubt: true, stopWanted: true, reason: "ordered to an earlier incarnation"}
}

// dropLateStarts forgets the starts that can't come any more.
func (s *workerState) dropLateStarts(now time.Time) {
	maps.DeleteFunc(s.lateStarts, func(_ runKey, until time.Time) bool { return !now.Before(until) })
}

// dropRun removes a run and queues a report that it is gone.
func (s *workerState) dropRun(k runKey, reason string) {
	delete(s.runs, k)
	s.givenUp[k] = reason
	s.reportGone(k)
}

// reportGone queues a report that a run that was given up is gone.
func (s *workerState) reportGone(k runKey) {
	s.goneRuns = append(s.goneRuns, &wire.RunGone{Task: k.task, Run: uint32(k.run), Reason: s.givenUp[k]})
}

// reportGivenUpAgain queues the reports on runs that were given up for a new stream. The leader at its other end may
// not have got those on earlier streams.
func (s *workerState) reportGivenUpAgain() {
	s.goneRuns = nil
	for k := range s.givenUp {
		s.reportGone(k)
	}
}

func jobOf(task string) string {
	id, err := jobs.ParseTaskID(task)
	if err != nil {
		return ""
	}
	return id.Job
}

// applyOrders accepts orders of the leader and queues them for execution. Orders
// of an older term or for another worker are ignored. The caller holds a.mu.
func (a *Agent) applyOrders(orders *wire.HostOrders) {
	if orders.Term < a.term {
		return
	}
	a.term = orders.Term
	a.raiseFence(max(orders.Fence, jobctl.Fence(orders.Term, 0)))
	state := &a.state
	if state.worker != (jobs.Worker{Name: orders.Worker, StartedMs: orders.Born}) {
		return
	}
	a.extendGrant(orders.Lease)
	a.takeEvacuation(orders)
	if orders.Seen > state.recordedEnds {
		state.recordedEnds = orders.Seen
		for k := range state.runs {
			if a.endRecorded(k) {
				delete(state.runs, k)
			}
		}
		a.triggerHold()
	}
	for _, gone := range orders.Gone {
		delete(state.givenUp, runKey{gone.Task, int(gone.Run)})
	}
	for _, stop := range orders.Stops {
		k := runKey{stop.Task, int(stop.Run)}
		r, ok := state.runs[k]
		if !ok {
			r = &pendingRun{order: StartOrder{Task: stop.Task, Run: int(stop.Run)}, startInDoubt: true}
			state.runs[k] = r
		}
		r.stopWanted = true
		a.enqueue(k, r)
	}
	texts := map[string]string{} // the tasks of a job share theirs
	for _, start := range orders.Starts {
		k := runKey{start.Task, int(start.Run)}
		if reason, ok := state.givenUp[k]; ok {
			a.log.Info("start ignored: the run was given up", zap.String("request", jobOf(k.task)), zap.String("task", k.task), zap.Int("run", k.run),
				zap.String("worker", orders.Worker), zap.String("why", reason), zap.Uint64("term", orders.Term))
			state.reportGone(k)
			a.triggerReport()
			continue
		}
		if r, ok := state.runs[k]; ok {
			r.grantEnd = state.grantEnd
			// The leader repeats the order for a run that the worker has
			// confirmed but no longer lists.
			if r.startConfirmed && !r.stopWanted && !state.mayList(k) {
				r.startConfirmed, r.startInDoubt = false, true
				r.order.Spec, r.order.Checkpoint = start.Spec, start.Saved
				a.enqueue(k, r)
			}
			continue
		}
		if _, ok := texts[start.Spec]; !ok {
			texts[start.Spec] = start.Spec
		}
		r := &pendingRun{order: StartOrder{Task: start.Task, Run: int(start.Run), Spec: texts[start.Spec], Checkpoint: start.Saved}, grantEnd: state.grantEnd, startInDoubt: !start.Fresh}
		state.runs[k] = r
		a.enqueue(k, r)
	}
}

// raiseFence raises the fencing token of the orders to the worker. A hold takes it there, so that the worker refuses
// late orders for earlier incarnations from then on. The caller holds a.mu.
func (a *Agent) raiseFence(fence uint64) {
	if fence > a.fence {
		a.fence = fence
		a.triggerHold()
	}
}

// endRecorded reports whether the leader has recorded the end of a run.
func (a *Agent) endRecorded(k runKey) bool {
	number := a.state.listing()[k]
	return number > 0 && number <= a.state.recordedEnds
}

// execute sends an order to the worker until it is answered or obsolete.
func (a *Agent) execute(ctx context.Context, worker jobs.Worker, k runKey, r *pendingRun) {
	for !a.executed(ctx, worker, k, r) {
		if !a.attempt(ctx, worker, k, r) {
			kern.Sleep(ctx, orderRetryInterval)
		}
	}
}

// executed reports whether nothing is left to do for an order, and notes that.
func (a *Agent) executed(ctx context.Context, worker jobs.Worker, k runKey, r *pendingRun) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.state.worker == worker && a.state.runs[k] == r
	done := ctx.Err() != nil || !current || r.listingsAtStop > 0 || (r.startConfirmed && !r.stopWanted)
	r.executing = !done
	return done
}

// attempt sends the order once. It returns false if the caller has to pause
// before it tries again.
func (a *Agent) attempt(ctx context.Context, worker jobs.Worker, k runKey, r *pendingRun) bool {
	a.mu.Lock()
	fence, stop := a.fence, r.stopWanted
	start := r.order
	start.Fence = fence
	if !stop {
		start.LeaseEnd = min(r.grantEnd, a.renewLease())
	}
	evacuated, beginEnd := a.state.evacuated, a.state.beginBefore(start.LeaseEnd)
	draining, otherAnnounced := a.announced.Draining, a.announced.Worker != worker || a.mayHaveRestarted(worker)
	answering, leaseLeft, beginLeft := a.state.misses == 0, a.leaseLeft(start.LeaseEnd), a.leaseLeft(beginEnd)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch {
	case stop:
		return a.attemptStop(ctx, worker, fence, k, r)
	case otherAnnounced:
		// A hold will show which worker is there.
		return false
	case draining:
		return a.rejectStart(k, r, "worker drains")
	case evacuated:
		return a.giveUpEvacuated(k, r)
	case start.LeaseEnd == 0 || !answering:
		// The next incarnation of a worker that doesn't answer would execute the order.
		return false
	case leaseLeft <= 0:
		return a.rejectStart(k, r, string(ResultLeaseEnded))
	case beginLeft < min(minStartLease, a.cfg.leaseTerms().Renewal()/4):
		return false
	}
	start.LeaseEnd = beginEnd
	result, err := a.worker.Start(ctx, worker, start)
	if err != nil {
		a.log.Warn("start not answered", zap.String("request", jobOf(k.task)), zap.String("task", k.task), zap.Int("run", k.run),
			zap.String("worker", worker.Name), zap.Error(err))
		if !errors.Is(err, ErrNoListener) && !errors.Is(err, ErrOtherWorker) {
			a.mu.Lock()
			r.startInDoubt = true
			if a.state.worker == worker {
				a.state.lateStarts[k] = a.env.BootClock.Now().Add(lateOrderTime)
			}
			a.mu.Unlock()
		}
		if errors.Is(err, ErrOtherIncarnation) {
			a.triggerHold()
		}
		return false
	}
	a.log.Info("start answered", zap.String("request", jobOf(k.task)), zap.String("task", k.task), zap.Int("run", k.run),
		zap.String("worker", worker.Name), zap.String("outcome", string(result)), zap.Uint64("fence", fence), zap.Int64("lease", start.LeaseEnd))
	if result == ResultStarted {
		a.mu.Lock()
		defer a.mu.Unlock()
		r.startConfirmed = true
		r.order.Spec, r.order.Checkpoint = "", "" // the leader sends them again if the start has to be repeated
		a.triggerHold()
		return true
	}
	if result == ResultFenced {
		// A newer leader will send its own orders.
		return false
	}
	return a.rejectStart(k, r, string(result))
}

// rejectStart ends an order to start that can't be executed. The run is stopped
// first if an earlier copy of the order may still reach the worker.
func (a *Agent) rejectStart(k runKey, r *pendingRun, reason string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.reason = reason
	if r.startInDoubt || reason == string(ResultOutdated) {
		r.stopWanted = true
		return true
	}
	if a.state.runs[k] == r {
		a.state.dropRun(k, reason)
		a.triggerReport()
	}
	return true
}

func (a *Agent) attemptStop(ctx context.Context, worker jobs.Worker, fence uint64, k runKey, r *pendingRun) bool {
	err := a.worker.Stop(ctx, worker, fence, k.task, k.run)
	if err != nil {
		a.log.Warn("stop not answered", zap.String("request", jobOf(k.task)), zap.String("task", k.task), zap.Int("run", k.run),
			zap.String("worker", worker.Name), zap.Error(err))
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.listingsAtStop = max(1, a.state.listingCount)
	a.triggerHold()
	return true
}
