package replog

import "time"

// readRequest is a linearizable read in progress.
type readRequest struct {
	index     uint64 // index that must be applied; 0 until the leader has committed in its term
	round     uint64 // heartbeat round that confirms leadership if the lease has expired
	confirmed bool   // leadership was confirmed after the read began
}

// newRead starts a read on the leader.
func (c *core) newRead() *readRequest {
	return &readRequest{round: c.leaderState.currentRound + 1}
}

// readReady reports whether the state machine may be read: this replica was the
// leader at some time since the read began, and everything that was committed
// by then is applied.
func (c *core) readReady(r *readRequest, now time.Time) bool {
	if r.index == 0 && c.hasCommittedInTerm() {
		r.index = c.commit
	}
	r.confirmed = r.confirmed || c.hasLease(now) || c.leaderState.quorumRound >= r.round
	return r.index > 0 && r.confirmed && c.applied >= r.index
}
