package replog

import "time"

// readRequest is a linearizable read under way.
type readRequest struct {
	index uint64 // what the state machine must hold; 0 until the leader is ready
	round uint64 // confirms leadership if the lease has run out
	valid bool   // leadership was confirmed after the read began
}

// newRead begins a read on the leader.
func (c *core) newRead() *readRequest {
	return &readRequest{round: c.leading.round + 1}
}

// readReady tells whether the state machine may be read: this replica was the
// leader at some time since the read began, and all that was committed by
// then is applied.
func (c *core) readReady(r *readRequest, now time.Time) bool {
	if r.index == 0 && c.ready() {
		r.index = c.commit
	}
	r.valid = r.valid || c.hasLease(now) || c.leading.quorumRound >= r.round
	return r.index > 0 && r.valid && c.applied >= r.index
}
