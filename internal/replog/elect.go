package replog

import (
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// canCampaign reports whether this replica may become leader.
func (c *core) canCampaign() bool {
	return c.members().isVoter(c.self) && c.join.votingAllowed && !c.diskFull && !c.installing
}

// startPreVote asks the voters whether an election could be won before
// starting one in a new term, so that a replica that reconnects doesn't
// disrupt the current leader.
func (c *core) startPreVote() {
	c.resetElectionDeadline()
	if !c.canCampaign() {
		return
	}
	c.role = PreCandidate
	c.leader = ""
	c.votes = make(map[string]bool)
	c.requestVotes(wire.LogKind_LOG_KIND_PRE_VOTE)
	c.recordPreVote(c.self)
}

// startElection starts a new term. The replica's own vote is counted once it
// is on disk, like those of the others.
func (c *core) startElection() {
	c.state = c.state.withTerm(c.state.term + 1).withVote(c.self)
	c.role = Candidate
	c.leader = ""
	c.votes = make(map[string]bool)
	c.resetElectionDeadline()
	c.requestVotes(wire.LogKind_LOG_KIND_VOTE)
	ownVote := c.message(wire.LogKind_LOG_KIND_VOTE_REPLY, Member{Name: c.opt.Name, Incarnation: c.self})
	c.sendAfterSync(ownVote)
}

func (c *core) requestVotes(kind wire.LogKind) {
	for _, m := range c.members().voters() {
		if m.Incarnation == c.self {
			continue
		}
		msg := c.message(kind, m)
		msg.Index, msg.LogTerm = c.log.lastIndex(), c.log.lastTerm()
		if kind == wire.LogKind_LOG_KIND_PRE_VOTE {
			msg.Term = c.state.term + 1
			c.send(msg)
			continue
		}
		c.sendAfterSync(msg)
	}
}

// candidateUpToDate reports whether a candidate's log is at least as up to date
// as the local one.
func (c *core) candidateUpToDate(m *wire.LogMessage) bool {
	if m.GetLogTerm() != c.log.lastTerm() {
		return m.GetLogTerm() > c.log.lastTerm()
	}
	return m.GetIndex() >= c.log.lastIndex()
}

// boundByLease reports whether a leader may still hold a lease that relies on
// this replica granting no votes.
func (c *core) boundByLease() bool {
	if c.role == Leader {
		return c.now.Before(c.leaderState.leaseDeadline)
	}
	return c.now.Before(c.followerLeaseDeadline)
}

// RejectReason is the reason why a replica rejects a vote request.
type RejectReason string

// The reasons for rejecting a vote request.
const (
	RejectUnconfirmed  RejectReason = "unvouched" // peers haven't confirmed yet that the data folder is complete
	RejectLeaseHeld    RejectReason = "bound"     // a leader may hold a lease from this replica
	RejectOldTerm      RejectReason = "oldterm"   // the candidate's term is outdated
	RejectShortLog     RejectReason = "shortlog"  // the candidate's log lacks entries
	RejectAlreadyVoted RejectReason = "voted"     // this replica voted for another candidate in this term
)

// rejectedVote is a rejected vote request.
type rejectedVote struct {
	candidate string // name
	reason    RejectReason
}

// recordRejection records why a candidate's vote request was rejected.
func (c *core) recordRejection(m *wire.LogMessage, reason RejectReason) {
	c.lastRejectedVote = rejectedVote{m.GetFrom(), reason}
}

// mayVote reports whether this replica may vote for another one. A learner and
// a replica without a membership may vote too: a candidate counts only the
// votes of those that are voters in its own log.
func (c *core) mayVote(m *wire.LogMessage) bool {
	switch {
	case !c.join.votingAllowed:
		c.recordRejection(m, RejectUnconfirmed)
	case c.boundByLease():
		c.recordRejection(m, RejectLeaseHeld)
	default:
		return true
	}
	return false
}

func (c *core) stepPreVote(m *wire.LogMessage) {
	if !c.mayVote(m) {
		return
	}
	r := c.reply(wire.LogKind_LOG_KIND_PRE_VOTE_REPLY, m)
	switch {
	case m.GetTerm() <= c.state.term:
		// The reply carries the current term, so that the candidate can adopt
		// it.
		c.recordRejection(m, RejectOldTerm)
		r.Reject = true
	case !c.candidateUpToDate(m):
		c.recordRejection(m, RejectShortLog)
		return
	default:
		r.Term = m.GetTerm()
	}
	c.send(r)
}

func (c *core) stepPreVoteReply(m *wire.LogMessage) {
	if c.role != PreCandidate {
		return
	}
	if m.GetReject() && m.GetTerm() > c.state.term {
		c.becomeFollower(m.GetTerm(), "")
		return
	}
	if m.GetReject() || m.GetTerm() != c.state.term+1 {
		return
	}
	c.recordPreVote(m.GetFromIncarnation())
}

func (c *core) recordPreVote(from string) {
	c.votes[from] = true
	if c.hasVoteMajority() {
		c.startElection()
	}
}

func (c *core) hasVoteMajority() bool {
	n := 0
	for _, m := range c.members().voters() {
		if c.votes[m.Incarnation] {
			n++
		}
	}
	return n >= c.members().quorum()
}

func (c *core) stepVote(m *wire.LogMessage) {
	if !c.mayVote(m) {
		return
	}
	if m.GetTerm() < c.state.term {
		c.recordRejection(m, RejectOldTerm)
		return
	}
	if m.GetTerm() > c.state.term {
		c.becomeFollower(m.GetTerm(), "")
	}
	voteAvailable := c.state.vote == "" || c.state.vote == m.GetFromIncarnation()
	switch {
	case (c.role != Follower && c.role != Waiting) || !voteAvailable:
		c.recordRejection(m, RejectAlreadyVoted)
		return
	case !c.candidateUpToDate(m):
		c.recordRejection(m, RejectShortLog)
		return
	}
	c.state = c.state.withVote(m.GetFromIncarnation())
	c.resetElectionDeadline()
	c.sendAfterSync(c.reply(wire.LogKind_LOG_KIND_VOTE_REPLY, m))
}

func (c *core) stepVoteReply(m *wire.LogMessage) {
	if c.role != Candidate || m.GetTerm() != c.state.term {
		return
	}
	c.votes[m.GetFromIncarnation()] = true
	if c.hasVoteMajority() {
		c.becomeLeader()
	}
}

func (c *core) becomeLeader() {
	c.role = Leader
	c.leader = c.self
	c.votes = nil
	c.state = c.state.withAccepted(c.state.term)
	c.leaderState = newLeaderState(c)
	c.join.hadLeader = true
	c.appendEntry(wire.LogEntryKind_LOG_ENTRY_KIND_EMPTY, nil)
	c.beginHeartbeatRound()
}
