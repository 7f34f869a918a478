package replog

import (
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// observeLeader follows the sender of a leader's message and postpones the
// election. If the message is of an older term, it rejects the message and
// returns false.
func (c *core) observeLeader(m *wire.LogMessage) bool {
	if m.GetTerm() < c.state.term {
		r := c.reply(wire.LogKind_LOG_KIND_APPEND_REPLY, m)
		r.Reject = true
		c.send(r)
		return false
	}
	if m.GetTerm() > c.state.term || c.role == Candidate || c.role == PreCandidate {
		c.becomeFollower(m.GetTerm(), m.GetFromIncarnation())
	}
	c.leader = m.GetFromIncarnation()
	c.followerLeaseDeadline = c.now.Add(c.opt.ElectionTimeout)
	c.join.hadLeader = true
	c.resetElectionDeadline()
	return true
}

func (c *core) stepAppend(m *wire.LogMessage) {
	if !c.observeLeader(m) || c.installing {
		return
	}
	c.marks.merge(m.GetMarks())
	if m.GetIndex() > c.commit && !c.log.matches(m.GetIndex(), m.GetLogTerm()) {
		c.rejectAppend(m)
		return
	}
	last := m.GetIndex()
	if n := len(m.GetEntries()); n > 0 {
		last = m.GetEntries()[n-1].GetIndex()
	}
	if !c.mergeEntries(m.GetEntries()) {
		return
	}
	c.state = c.state.withAccepted(c.state.term)
	c.commit = max(c.commit, min(m.GetCommit(), last))
	c.acceptAppend(m, last)
}

// acceptAppend acknowledges entries once they are on disk. A reply that doesn't
// depend on unsaved data is sent immediately, so that a slow disk doesn't make
// the leader lose its lease.
func (c *core) acceptAppend(m *wire.LogMessage, last uint64) {
	r := c.reply(wire.LogKind_LOG_KIND_APPEND_REPLY, m)
	r.Round, r.Index = m.GetRound(), last
	if c.state != c.savedState || (len(m.GetEntries()) > 0 && last > c.log.saved) {
		c.sendAfterSync(r)
		return
	}
	r.Index = min(last, c.log.saved)
	c.send(r)
}

func (c *core) rejectAppend(m *wire.LogMessage) {
	r := c.reply(wire.LogKind_LOG_KIND_APPEND_REPLY, m)
	r.Reject, r.Round, r.Index = true, m.GetRound(), m.GetIndex()
	r.Hint = min(m.GetIndex()-1, c.log.lastIndex())
	if term, ok := c.log.term(r.GetHint()); ok && r.GetHint() < c.log.lastIndex() {
		// Skip all entries of the conflicting term.
		for r.Hint > c.commit && c.log.matches(r.GetHint(), term) {
			r.Hint--
		}
	}
	c.send(r)
}

// mergeEntries appends entries to the log and replaces those that conflict. It
// returns false if a membership entry can't be decoded.
func (c *core) mergeEntries(entries []*wire.LogEntry) bool {
	for len(entries) > 0 {
		e := entries[0]
		if e.GetIndex() > c.commit && !c.log.matches(e.GetIndex(), e.GetTerm()) {
			break
		}
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return true
	}
	if first := entries[0].GetIndex(); first <= c.log.lastIndex() {
		c.log.truncate(first)
		c.history = c.history.truncated(first)
	}
	if err := c.recordMembers(entries); err != nil {
		return false
	}
	c.log.append(entries...)
	if c.role == Waiting && c.hasMembership() {
		c.role = Follower
		c.join.membershipReceived(c)
	}
	return true
}
