package jobagt

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const (
	// holdWait is how long a worker delays its answer to a hold while no run
	// ends. It limits the age of the clock value that a lease is computed from.
	holdWait = 400 * time.Millisecond
	// firstHoldWait takes its place during the first firstHoldsTime of an incarnation, so that the leader's fencing
	// token for it reaches the worker soon.
	firstHoldWait  = 50 * time.Millisecond
	firstHoldsTime = 500 * time.Millisecond
	// holdTimeout is how long an answer may take beyond holdWait.
	holdTimeout = time.Second
	// minHoldTimeout is the least time for an answer. Workers answer in a few milliseconds.
	minHoldTimeout = 50 * time.Millisecond
	// holdPause is the pause between two holds. A worker answers at once while
	// it has run ends that aren't committed yet; without a pause the agent
	// would send holds continuously.
	holdPause = 20 * time.Millisecond
	// missedHoldPause is the pause after a hold without an answer.
	missedHoldPause = 150 * time.Millisecond
	// exitConfirmTime is how long nothing must listen at the address of a
	// worker that has reported its exit before the worker counts as gone.
	exitConfirmTime = 200 * time.Millisecond
)

// sendHolds sends holds to the worker until ctx is done.
func (a *Agent) sendHolds(ctx context.Context) error {
	for ctx.Err() == nil {
		worker := a.nextHold()
		if worker.Zero() {
			a.pause(ctx, holdWait)
			continue
		}
		if a.sendHold(ctx, worker) {
			a.pause(ctx, holdPause)
		} else {
			a.pause(ctx, missedHoldPause)
		}
	}
	return nil
}

// nextHold returns the worker that the next hold is for. Candidates come before the worker in use, first of all another
// incarnation of it, which must not get a hold that is meant for the earlier one. But after a candidate, and one more if
// that is such an incarnation, it is the turn of the worker in use, so that no number of candidates keeps its lease from
// being renewed.
func (a *Agent) nextHold() jobs.Worker {
	a.mu.Lock()
	defer a.mu.Unlock()
	inUse := a.announced.Worker
	next := inUse
	restarted := slices.IndexFunc(a.candidates, func(c candidate) bool { return c.ann.Worker.Name == inUse.Name })
	switch {
	case restarted >= 0 && a.probed != inUse.Name:
		next = a.candidates[restarted].ann.Worker
	case len(a.candidates) > 0 && (a.probed == "" || inUse.Zero()):
		next = a.candidates[0].ann.Worker
	}
	a.probed = ""
	if next != inUse {
		a.probed = next.Name
	}
	return next
}

// pause waits for d, or less if a hold becomes due.
func (a *Agent) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-a.holdDue:
		kern.Sleep(ctx, time.Millisecond) // one hold serves all orders that arrive together
	}
}

// sendHold sends a hold, which extends the worker's lease, and stores the
// listing in its answer. It reports whether there was an answer.
func (a *Agent) sendHold(ctx context.Context, worker jobs.Worker) bool {
	a.mu.Lock()
	h := HoldOrder{Fence: a.fence, WaitMs: holdWait.Milliseconds()}
	// A worker that left a hold unanswered may have been replaced by its next incarnation, for which neither
	// the lease nor the numbers of the ends are meant.
	if a.state.worker == worker && a.state.misses == 0 {
		h.LeaseEnd, h.RecordedEnds = a.renewLease(), a.state.recordedEnds
		if !a.state.listed || len(a.state.lastListing.Ends) > 0 && a.state.lastListing.Ends[len(a.state.lastListing.Ends)-1].Number <= h.RecordedEnds || a.state.awaitsListing() {
			h.WaitMs = 0
		}
	} else {
		h.WaitMs = 0
	}
	if a.env.BootClock.Now().Before(a.state.firstHolds) {
		h.WaitMs = min(h.WaitMs, firstHoldWait.Milliseconds())
	}
	timeout := a.holdTimeout()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	listing, err := a.worker.Hold(ctx, worker, h)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.holdFailed(worker, err)
		return false
	}
	a.holdAnswered(worker.Name, listing)
	return true
}

// holdTimeout returns how long the next hold may take. If the worker's lease ends for certain
// before, the hold takes only until then. The caller holds a.mu.
func (a *Agent) holdTimeout() time.Duration {
	timeout := holdWait + holdTimeout
	if ended, ok := a.leaseCertainlyEnded(); ok && a.state.misses > 0 && !a.state.lost {
		timeout = min(timeout, max(minHoldTimeout, ended.Sub(a.env.BootClock.Now())))
	}
	return timeout
}

// holdFailed handles a hold without an answer. The caller holds a.mu.
func (a *Agent) holdFailed(worker jobs.Worker, err error) {
	a.log.Debug("worker did not answer", zap.String("worker", worker.Name), zap.Error(err))
	if errors.Is(err, ErrOtherWorker) && a.withdraw(worker.Name) {
		return
	}
	a.noteProbeFailed(worker.Name)
	state := &a.state
	if state.worker != worker || state.lost {
		return
	}
	wasUsable := state.usable()
	state.misses++
	defer func() {
		if state.usable() != wasUsable {
			a.log.Warn("worker gets no new runs until it answers", zap.String("worker", worker.Name), zap.Error(err))
			a.triggerReport()
		}
	}()
	now := a.env.BootClock.Now()
	if ended, ok := a.leaseCertainlyEnded(); ok && !now.Before(ended) {
		a.markLost()
		a.log.Warn("worker's lease has ended without an answer", zap.String("worker", worker.Name), zap.Int64("born", worker.StartedMs),
			zap.Int("runs", len(state.runs)), zap.Duration("silent", now.Sub(state.listedAt)))
		a.endLease()
		a.triggerReport()
		return
	}
	switch {
	case errors.Is(err, ErrNoListener):
		if state.refusals == 0 {
			state.refusedSince = now
			a.log.Warn("worker does not listen", zap.String("worker", worker.Name), zap.Bool("left", a.exitReported))
		}
		state.refusals++
		// Only a worker that has reported its exit is certain to be gone. For
		// any other, the leader has to wait for the end of the lease.
		if !a.exitReported || now.Sub(state.refusedSince) < exitConfirmTime {
			return
		}
	default:
		state.refusals = 0
		return
	}
	a.markLost()
	a.log.Warn("worker gone", zap.String("worker", worker.Name), zap.Int64("born", worker.StartedMs), zap.Int("runs", len(state.runs)))
	a.triggerReport()
}

// maxMisses is the highest number of consecutive unanswered holds at which
// the worker still gets new runs. A single lost packet causes one.
const maxMisses = 1

// usable reports whether the worker answers and may get new runs.
func (s *workerState) usable() bool { return s.listed && s.refusals == 0 && s.misses <= maxMisses }

// beginIncarnation begins the state of the worker that has answered for the first time. The caller holds a.mu.
func (a *Agent) beginIncarnation(listing Listing) {
	earlier := a.state
	a.noteReplaced(earlier.worker)
	a.state = workerState{worker: listing.Worker, firstHolds: a.env.BootClock.Now().Add(firstHoldsTime), runs: map[runKey]*pendingRun{}, lateStarts: map[runKey]time.Time{}, givenUp: map[runKey]string{}}
	if earlier.worker.Name != listing.Worker.Name {
		return // the new worker rejects orders for the earlier one
	}
	a.state.earlierLease = listing.ClockMs + a.cfg.leaseTerms().RenewalTimeout.Milliseconds()
	a.state.inheritRuns(&earlier, a.env.BootClock.Now())
	for k, r := range a.state.runs {
		a.enqueue(k, r)
	}
}

// holdAnswered stores a worker's listing, which is the answer to a hold to a name. The caller holds a.mu.
func (a *Agent) holdAnswered(name string, listing Listing) {
	state := &a.state
	if state.worker != listing.Worker {
		a.log.Info("worker answers", zap.String("worker", listing.Worker.Name), zap.Int64("born", listing.Worker.StartedMs),
			zap.String("before", state.worker.Name), zap.Int("runs", len(listing.Runs)), zap.Int("ends", len(listing.Ends)))
		a.beginIncarnation(listing)
	}
	becameUsable := !state.usable()
	newEnds := len(listing.Ends) > 0 && (len(state.lastListing.Ends) == 0 || listing.Ends[len(listing.Ends)-1].Number > state.lastListing.Ends[len(state.lastListing.Ends)-1].Number)
	state.listed, state.misses, state.refusals, state.lost = true, 0, 0, false
	a.noteAnswer(name, listing.Worker)
	state.lastListing, state.listedAt = listing, a.env.BootClock.Now()
	state.listingCount++
	state.dropLateStarts(state.listedAt)
	dropped := state.dropStopped(a.log)
	if becameUsable || newEnds || dropped {
		a.triggerReport()
	}
}
