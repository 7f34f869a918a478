package jobagt

import "time"

// renewLease returns the end of the lease that an order to the worker carries, and records it. It
// is the end of the grant at most. For a worker that doesn't answer it is the same as in earlier
// orders, so that the lease ends at a time that is known. The caller holds a.mu.
func (a *Agent) renewLease() int64 {
	state := &a.state
	if state.listed && state.misses == 0 {
		clockMs := state.lastListing.ClockMs + a.env.BootClock.Now().Sub(state.listedAt).Milliseconds()
		state.leaseEnd = max(state.leaseEnd, min(state.grantEnd, clockMs+a.cfg.leaseTerms().Renewal().Milliseconds()))
	}
	return state.leaseEnd
}

// leaseCertainlyEnded returns when the worker's lease has ended for certain if the worker doesn't
// answer, false if that isn't known. The caller holds a.mu.
func (a *Agent) leaseCertainlyEnded() (time.Time, bool) {
	state := &a.state
	if !state.listed {
		return time.Time{}, false
	}
	terms := a.cfg.leaseTerms()
	lease := max(0, time.Duration(max(state.leaseEnd, state.earlierLease)-state.lastListing.ClockMs)*time.Millisecond)
	ended := terms.CertainEnd(state.listedAt, lease)
	// An earlier process of this agent may have sent any lease up to its last grant.
	if predecessorEnded := terms.CertainEnd(a.startedAt, terms.Grant(false)); predecessorEnded.After(ended) {
		return predecessorEnded, true
	}
	return ended, true
}

// markLost notes that the runs on the worker have ended for certain. The leader gives its tasks to other workers then.
// If the worker answers again after all, an order that the leader sent before must not start any of them, so nothing
// starts before a grant that the leader gives afterwards. The caller holds a.mu.
func (a *Agent) markLost() {
	state := &a.state
	state.lost = true
	state.lostClock = state.lastListing.ClockMs
	state.grantEnd = min(state.grantEnd, state.lostClock)
}

// endLease handles the end of the lease of a worker that doesn't answer. The runs on it have
// ended, and orders that it hasn't answered must not start any when it answers again. The caller
// holds a.mu.
func (a *Agent) endLease() {
	for k, r := range a.state.runs {
		r.reason, r.startInDoubt, r.stopWanted = "the worker's lease ended", true, true
		a.enqueue(k, r)
	}
}

// leaseLeft returns how long a lease still lasts that ends at a time on the worker's clock. The caller holds
// a.mu.
func (a *Agent) leaseLeft(end int64) time.Duration {
	left := time.Duration(end-a.state.lastListing.ClockMs) * time.Millisecond
	return left - a.env.BootClock.Now().Sub(a.state.listedAt)
}

// draining reports whether the worker that answers is draining. The caller holds a.mu.
func (a *Agent) draining() bool {
	return a.announced.Draining && a.announced.Worker == a.state.worker
}

// extendGrant takes a grant of the leader. While the worker drains, it ignores an answer to a report
// that didn't say so yet: the leader expects that the lease ends sooner. It also ignores an answer to
// a report from before the worker was lost. The caller holds a.mu.
func (a *Agent) extendGrant(end int64) {
	if a.state.lostClock > 0 && end <= a.state.lostClock+a.cfg.leaseTerms().Grant(false).Milliseconds() {
		return
	}
	if a.draining() && end > a.state.drainClock+a.cfg.leaseTerms().Grant(true).Milliseconds() {
		return
	}
	a.state.grantEnd = max(a.state.grantEnd, end)
}

// cutGrant gives up what is left of the grant when the worker begins to drain. The caller holds a.mu.
func (a *Agent) cutGrant() {
	a.state.grantEnd = min(a.state.grantEnd, a.state.leaseEnd)
}
