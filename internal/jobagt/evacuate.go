package jobagt

import (
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// takeEvacuation takes from orders of the leader whether the worker's failure domain is evacuated and until when runs
// may begin. An agent that is cut off from the leader begins none after that: it may not have heard of an evacuation.
// The caller holds a.mu.
func (a *Agent) takeEvacuation(orders *wire.HostOrders) {
	state := &a.state
	if orders.Evacuated != state.evacuated {
		state.evacuated = orders.Evacuated
		a.log.Info("failure domain evacuated", zap.String("worker", state.worker.Name), zap.Bool("evacuated", state.evacuated),
			zap.Int("runs", len(state.runs)), zap.Uint64("term", orders.Term))
	}
	if orders.Lease > 0 {
		state.beginEnd = orders.Begin
	}
}

// beginBefore returns the deadline of a start on the worker's clock, with which the worker refuses it later. It is the
// end of the lease at most.
func (s *workerState) beginBefore(leaseEnd int64) int64 {
	if s.beginEnd == 0 {
		return leaseEnd
	}
	return min(leaseEnd, s.beginEnd)
}

// giveUpEvacuated ends an order to start a run in an evacuated failure domain, unless the worker has begun the run.
func (a *Agent) giveUpEvacuated(k runKey, r *pendingRun) bool {
	a.mu.Lock()
	begun := a.state.lists(k)
	if begun {
		r.startConfirmed = true
	}
	a.mu.Unlock()
	return begun || a.rejectStart(k, r, jobs.RefusedEvacuated)
}
