package replog

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// leaderState is the state that only a leader keeps.
type leaderState struct {
	peers             map[string]*progress // by incarnation
	nextHeartbeat     time.Time            // when the next heartbeat is due
	currentRound      uint64               // number of the latest heartbeat round
	pendingRounds     []heartbeatRound     // rounds that a majority has not acknowledged
	quorumRound       uint64               // last round that a majority acknowledged
	quorumRoundSentAt time.Time            // when that round was sent
	leaseDeadline     time.Time            // time until which no other leader can have been elected
	termStartIndex    uint64               // index of the leader's first entry in its term
}

// heartbeatRound is one heartbeat broadcast. A peer that acknowledges it was
// this leader's follower at some time after it was sent.
type heartbeatRound struct {
	number uint64
	sentAt time.Time
}

// PeerState is the mode in which a leader sends to a peer.
type PeerState string

// The states of a peer.
const (
	Probe     PeerState = "probe"     // finds the last index at which the logs match
	Replicate PeerState = "replicate" // sends entries without waiting for acknowledgements
	Transfer  PeerState = "transfer"  // sends a snapshot
)

// progress is the replication progress of a peer, kept by the leader.
type progress struct {
	state         PeerState
	match         uint64 // index of the last entry that the peer holds on disk
	next          uint64 // index of the first entry to send
	inflight      []inflightAppend
	inflightBytes int       // unacknowledged bytes
	window        int       // maximum unacknowledged bytes to a learner, or size of a snapshot chunk
	paused        bool      // in Probe: wait for the reply or the next heartbeat
	ackedRound    uint64    // last heartbeat round that the peer acknowledged
	lastHeard     time.Time // time of the last append or chunk reply
	boot          uint64    // boot count of the peer in its last message
	diskFull      bool      // the peer's disk is full
	leaving       bool      // the peer's process is about to stop
	lostEntries   bool      // the peer has lost entries that it acknowledged
	transfer      snapshotTransfer
	// catchUpTarget is the commit index at the time targetSetAt. A peer that
	// reaches it within an election timeout counts as caught up until
	// caughtUpDeadline.
	catchUpTarget    uint64
	targetSetAt      time.Time
	caughtUpDeadline time.Time
}

// inflightAppend is an unacknowledged append message.
type inflightAppend struct {
	lastIndex uint64
	bytes     int
	sentAt    time.Time
}

func (p *progress) startProbe(next uint64) {
	p.state, p.next = Probe, max(next, p.match+1)
	p.inflight, p.inflightBytes, p.paused = nil, 0, false
}

// minWindowBytes is the initial and minimum value of progress.window, unless
// MaxInflightBytes is smaller. It takes 130 ms on a link of 2 Mbit/s, a fifth of
// an election timeout.
const minWindowBytes = 32 << 10

// adaptWindow changes the window according to the round-trip time of the last
// append or chunk, so that catch-up traffic doesn't delay heartbeats on the
// same link.
func (p *progress) adaptWindow(elapsed, heartbeatInterval time.Duration, maxWindow int) {
	switch {
	case elapsed < heartbeatInterval:
		p.window = min(2*p.window, maxWindow)
	case elapsed > 2*heartbeatInterval:
		p.window = max(p.window/2, min(minWindowBytes, maxWindow))
	}
}

// acknowledge records that the peer holds all entries up to an index.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0].lastIndex <= p.match {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}

func newLeaderState(c *core) leaderState {
	state := leaderState{
		peers: make(map[string]*progress), quorumRoundSentAt: c.now, nextHeartbeat: c.now,
		termStartIndex: c.log.lastIndex() + 1,
	}
	return state
}

// peerProgress returns the progress of a member. It returns nil for this
// replica, for a replica that is not a member, and if this replica is not the
// leader.
func (c *core) peerProgress(incarnation string) *progress {
	if _, ok := c.members().get(incarnation); !ok || incarnation == c.self || c.role != Leader {
		return nil
	}
	p, ok := c.leaderState.peers[incarnation]
	if !ok {
		p = &progress{state: Probe, next: c.log.lastIndex() + 1, lastHeard: c.now, targetSetAt: c.now, window: min(minWindowBytes, c.opt.MaxInflightBytes)}
		p.catchUpTarget = max(c.commit, c.leaderState.termStartIndex)
		c.leaderState.peers[incarnation] = p
	}
	return p
}

func (c *core) tickLeader() {
	if !c.members().isVoter(c.self) && c.history.latest().index <= c.commit {
		c.becomeFollower(c.state.term, "")
		return
	}
	c.updateQuorum()
	if c.now.Sub(c.leaderState.quorumRoundSentAt) >= c.opt.ElectionTimeout {
		// A majority is unreachable and may have elected a new leader.
		c.becomeFollower(c.state.term, "")
		return
	}
	if c.diskFull && c.othersCanWrite() {
		c.becomeFollower(c.state.term, "")
		return
	}
	if !c.now.Before(c.leaderState.nextHeartbeat) {
		c.beginHeartbeatRound()
	}
	c.advanceReplacements()
}

// othersCanWrite reports whether a quorum of the other voters is reachable and
// has disk space.
func (c *core) othersCanWrite() bool {
	n := 0
	for _, m := range c.members().voters() {
		if p := c.peerProgress(m.Incarnation); p != nil && !p.diskFull && c.reachable(p) {
			n++
		}
	}
	return n >= c.members().quorum()
}

// reachable reports whether a peer has replied within an election timeout.
func (c *core) reachable(p *progress) bool { return c.now.Sub(p.lastHeard) < c.opt.ElectionTimeout }

// beginHeartbeatRound sends a heartbeat to every peer.
func (c *core) beginHeartbeatRound() {
	l := &c.leaderState
	l.currentRound++
	l.pendingRounds = append(l.pendingRounds, heartbeatRound{l.currentRound, c.now})
	l.nextHeartbeat = c.now.Add(c.opt.HeartbeatInterval)
	marks := c.memberMarks()
	for _, m := range c.members() {
		if p := c.peerProgress(m.Incarnation); p != nil {
			c.sendHeartbeat(m, p, marks)
		}
	}
	c.updateQuorum()
}

func (c *core) sendHeartbeat(to Member, p *progress, marks []*wire.LogMark) {
	p.paused = false
	c.retryTransfer(to, p)
	prev := p.next - 1
	term, ok := c.log.term(prev)
	if !ok {
		// The peer needs a snapshot; a heartbeat with any entry renews the
		// lease.
		prev, term = c.log.base, c.log.baseTerm
	}
	m := c.message(wire.LogKind_LOG_KIND_APPEND, to)
	m.Index, m.LogTerm, m.Commit = prev, term, c.commit
	m.Round, m.Marks = c.leaderState.currentRound, marks
	c.send(m)
}

// updateQuorum finds the last round that a majority acknowledged and extends
// the lease, which starts at the time when that round was sent.
func (c *core) updateQuorum() {
	l := &c.leaderState
	l.quorumRound = c.members().quorumValue(func(incarnation string) uint64 {
		if incarnation == c.self {
			return l.currentRound
		}
		return c.peerProgress(incarnation).ackedRound
	})
	for len(l.pendingRounds) > 0 && l.pendingRounds[0].number <= l.quorumRound {
		l.quorumRoundSentAt = l.pendingRounds[0].sentAt
		l.pendingRounds = l.pendingRounds[1:]
	}
	if l.quorumRound > 0 {
		l.leaseDeadline = l.quorumRoundSentAt.Add(c.opt.leaseTime())
	}
}

// hasLease reports whether this leader's lease is valid, so that no other
// leader can have been elected.
func (c *core) hasLease(now time.Time) bool {
	return c.role == Leader && now.Before(c.leaderState.leaseDeadline)
}

// hasCommittedInTerm reports whether this leader has committed an entry of its
// own term, and so knows the commit index of earlier leaders.
func (c *core) hasCommittedInTerm() bool {
	return c.role == Leader && c.commit >= c.leaderState.termStartIndex
}

// appendEntry appends a new entry in the current term and returns its index.
func (c *core) appendEntry(kind wire.LogEntryKind, data []byte) uint64 {
	e := &wire.LogEntry{Term: c.state.term, Index: c.log.lastIndex() + 1, Kind: kind, Data: data}
	c.log.append(e)
	return e.GetIndex()
}

// propose appends a command and returns its index.
func (c *core) propose(data []byte) (uint64, error) {
	switch {
	case c.role != Leader:
		return 0, &NotLeaderError{Leader: c.leaderName()}
	case len(data) > c.opt.MaxCommandBytes:
		return 0, ErrTooLarge
	case c.diskFull:
		return 0, ErrDiskFull
	case c.queuedBytes > 0 && c.queuedBytes+len(data)+entryOverhead > c.opt.MaxQueueBytes:
		return 0, ErrBusy
	}
	c.queuedBytes += len(data) + entryOverhead
	return c.appendEntry(wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND, data), nil
}

func (c *core) leaderName() string {
	m, _ := c.members().get(c.leader)
	return m.Name
}

// replicate sends each peer the entries that it lacks, up to its window.
func (c *core) replicate() {
	if c.role != Leader {
		return
	}
	for _, m := range c.members() {
		if p := c.peerProgress(m.Incarnation); p != nil {
			c.replicateTo(m, p)
		}
	}
}

func (c *core) replicateTo(to Member, p *progress) {
	for p.state != Transfer && !p.paused && p.next <= c.log.lastIndex() && p.inflightBytes < c.sendWindow(to, p) {
		if p.next <= c.log.base {
			c.startTransfer(to, p)
			return
		}
		c.sendEntries(to, p)
	}
}

// sendWindow returns the maximum unacknowledged bytes to a peer. A learner has
// an adaptive window because it may lack many entries and no commit depends on
// it.
func (c *core) sendWindow(to Member, p *progress) int {
	if to.Role == Learner {
		return p.window
	}
	return c.opt.MaxInflightBytes
}

func (c *core) sendEntries(to Member, p *progress) {
	entries := c.log.entriesFrom(p.next, min(c.opt.MaxAppendBytes, c.sendWindow(to, p)))
	m := c.message(wire.LogKind_LOG_KIND_APPEND, to)
	m.Index, m.Commit, m.Entries = p.next-1, c.commit, entries
	m.LogTerm, _ = c.log.term(p.next - 1)
	c.send(m)
	if p.state == Probe {
		p.paused = true
		return
	}
	size := 0
	for _, e := range entries {
		size += entryBytes(e)
	}
	p.next = entries[len(entries)-1].GetIndex() + 1
	p.inflight = append(p.inflight, inflightAppend{p.next - 1, size, c.now})
	p.inflightBytes += size
}

func (c *core) stepAppendReply(m *wire.LogMessage) {
	if m.GetTerm() > c.state.term {
		c.becomeFollower(m.GetTerm(), "")
		return
	}
	p := c.peerProgress(m.GetFromIncarnation())
	if p == nil || m.GetTerm() != c.state.term || m.GetBoot() < p.boot || p.lostEntries {
		return
	}
	p.boot, p.lastHeard, p.diskFull, p.leaving = m.GetBoot(), c.now, m.GetFull(), m.GetLeaving()
	if m.GetRound() > p.ackedRound {
		p.ackedRound = m.GetRound()
		c.updateQuorum()
	}
	if m.GetReject() {
		c.handleAppendReject(m, p)
		return
	}
	if m.GetIndex() > c.log.lastIndex() {
		return
	}
	if len(p.inflight) > 0 && p.inflight[0].lastIndex <= m.GetIndex() {
		p.adaptWindow(c.now.Sub(p.inflight[0].sentAt), c.opt.HeartbeatInterval, c.opt.MaxInflightBytes)
	}
	p.acknowledge(m.GetIndex())
	c.updateCaughtUp(p)
	if p.state == Probe && m.GetIndex() > 0 {
		p.state, p.paused = Replicate, false
	}
	c.marks.record(m.GetFromIncarnation(), m.GetBoot(), c.state.term, p.match)
	c.advanceCommit()
}

// updateCaughtUp determines whether a peer is less than an election timeout
// behind. Under continuous load a peer may be close behind and still never hold
// the last committed entry at the time of the check.
func (c *core) updateCaughtUp(p *progress) {
	if p.match < p.catchUpTarget {
		return
	}
	if c.now.Sub(p.targetSetAt) < c.opt.ElectionTimeout {
		p.caughtUpDeadline = c.now.Add(c.opt.ElectionTimeout)
	}
	p.catchUpTarget, p.targetSetAt = c.commit, c.now
}

func (c *core) handleAppendReject(m *wire.LogMessage, p *progress) {
	if p.state == Transfer || m.GetIndex() <= p.match || m.GetIndex() >= p.next {
		return
	}
	p.startProbe(m.GetHint() + 1)
}

// advanceCommit commits the entries that a majority of the voters has on disk.
// Entries of earlier terms are committed only together with an entry of the
// current term.
func (c *core) advanceCommit() {
	index := c.members().quorumValue(func(incarnation string) uint64 {
		if incarnation == c.self {
			return c.log.saved
		}
		return c.peerProgress(incarnation).match
	})
	if index <= c.commit {
		return
	}
	if term, ok := c.log.term(index); !ok || term != c.state.term {
		return
	}
	for i := c.commit + 1; i <= index; i++ {
		if e := c.log.entryAt(i); e.GetTerm() == c.state.term && e.GetKind() == wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND {
			c.queuedBytes -= entryBytes(e)
		}
	}
	c.commit = index
}
