package replog

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// leading is the state that only a leader keeps.
type leading struct {
	peers         map[string]*progress
	heartbeat     time.Time // when the next heartbeat is due
	round         uint64
	rounds        []round   // rounds that a majority has not acknowledged
	quorumRound   uint64    // last round that a majority acknowledged
	quorumTime    time.Time // when that round was sent
	leaseDeadline time.Time
	termStart     uint64 // index of the leader's first entry in its term
}

// round is one heartbeat broadcast. A peer that acknowledges it was this
// leader's follower at some time after it was sent.
type round struct {
	number uint64
	sent   time.Time
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
	state    PeerState
	match    uint64 // index of the last entry that the peer holds on disk
	next     uint64 // index of the first entry to send
	inflight []flight
	bytes    int  // unacknowledged bytes
	window   int  // maximum unacknowledged bytes to a learner, or size of a snapshot chunk
	paused   bool // in Probe: wait for the reply or the next heartbeat
	round    uint64
	heard    time.Time
	boot     uint64
	full     bool
	leaving  bool // the peer's process is about to stop
	refused  bool // the peer has lost entries that it acknowledged
	transfer transfer
	// target is the commit index at the time targetSet. A peer that reaches it
	// within an election timeout counts as caught up until caughtUpDeadline.
	target           uint64
	targetSet        time.Time
	caughtUpDeadline time.Time
}

// flight is an unacknowledged append message.
type flight struct {
	last  uint64
	bytes int
	sent  time.Time
}

func (p *progress) probe(next uint64) {
	p.state, p.next = Probe, max(next, p.match+1)
	p.inflight, p.bytes, p.paused = nil, 0, false
}

// leastWindow takes 130 ms on a link of 2 Mbit/s, a fifth of an election timeout.
const leastWindow = 32 << 10

// adapt changes the window according to the round-trip time of the last append
// or chunk, so that catch-up traffic doesn't delay heartbeats on the same link.
func (p *progress) adapt(took, heartbeat time.Duration, most int) {
	switch {
	case took < heartbeat:
		p.window = min(2*p.window, most)
	case took > 2*heartbeat:
		p.window = max(p.window/2, min(leastWindow, most))
	}
}

// acknowledge records that the peer holds all entries up to an index.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0].last <= p.match {
		p.bytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}

func newLeading(c *core) leading {
	l := leading{
		peers: make(map[string]*progress), quorumTime: c.now, heartbeat: c.now,
		termStart: c.log.lastIndex() + 1,
	}
	return l
}

// peer returns the progress of a member. It returns nil for this replica, for a
// replica that is not a member, and if this replica is not the leader.
func (c *core) peer(inc string) *progress {
	if _, ok := c.members().get(inc); !ok || inc == c.self || c.role != Leader {
		return nil
	}
	p, ok := c.leading.peers[inc]
	if !ok {
		p = &progress{state: Probe, next: c.log.lastIndex() + 1, heard: c.now, targetSet: c.now, window: min(leastWindow, c.opt.InflightBytes)}
		p.target = max(c.commit, c.leading.termStart)
		c.leading.peers[inc] = p
	}
	return p
}

func (c *core) tickLeader() {
	if !c.members().isVoter(c.self) && c.history.latest().index <= c.commit {
		c.becomeFollower(c.state.term, "")
		return
	}
	c.updateQuorum()
	if c.now.Sub(c.leading.quorumTime) >= c.opt.Election {
		// A majority is unreachable and may have elected a new leader.
		c.becomeFollower(c.state.term, "")
		return
	}
	if c.full && c.othersCanWrite() {
		c.becomeFollower(c.state.term, "")
		return
	}
	if !c.now.Before(c.leading.heartbeat) {
		c.beginRound()
	}
	c.maintainMembers()
}

// othersCanWrite reports whether a quorum of the other voters is reachable and
// has disk space.
func (c *core) othersCanWrite() bool {
	n := 0
	for _, m := range c.members().voters() {
		if p := c.peer(m.Incarnation); p != nil && !p.full && c.reachable(p) {
			n++
		}
	}
	return n >= c.members().quorum()
}

// reachable reports whether a peer has replied within an election timeout.
func (c *core) reachable(p *progress) bool { return c.now.Sub(p.heard) < c.opt.Election }

// beginRound sends a heartbeat to every peer.
func (c *core) beginRound() {
	l := &c.leading
	l.round++
	l.rounds = append(l.rounds, round{l.round, c.now})
	l.heartbeat = c.now.Add(c.opt.Heartbeat)
	marks := c.ownMarks()
	for _, m := range c.members() {
		if p := c.peer(m.Incarnation); p != nil {
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
		// The peer needs a snapshot; a heartbeat with any entry renews the lease.
		prev, term = c.log.base, c.log.baseTerm
	}
	m := c.message(wire.LogKind_LOG_KIND_APPEND, to)
	m.Index, m.LogTerm, m.Commit = prev, term, c.commit
	m.Round, m.Marks = c.leading.round, marks
	c.send(m)
}

// updateQuorum finds the last round that a majority acknowledged and extends
// the lease, which starts at the time when that round was sent.
func (c *core) updateQuorum() {
	l := &c.leading
	l.quorumRound = c.members().quorumValue(func(inc string) uint64 {
		if inc == c.self {
			return l.round
		}
		return c.peer(inc).round
	})
	for len(l.rounds) > 0 && l.rounds[0].number <= l.quorumRound {
		l.quorumTime = l.rounds[0].sent
		l.rounds = l.rounds[1:]
	}
	if l.quorumRound > 0 {
		l.leaseDeadline = l.quorumTime.Add(c.opt.leaseTime())
	}
}

// hasLease reports whether this leader's lease is valid, so that no other
// leader can have been elected.
func (c *core) hasLease(now time.Time) bool {
	return c.role == Leader && now.Before(c.leading.leaseDeadline)
}

// ready reports whether this leader has committed an entry of its own term, and
// so knows the commit index of earlier leaders.
func (c *core) ready() bool {
	return c.role == Leader && c.commit >= c.leading.termStart
}

// appendOwn appends a new entry in the current term and returns its index.
func (c *core) appendOwn(kind wire.LogEntryKind, data []byte) uint64 {
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
	case c.full:
		return 0, ErrDiskFull
	case c.queued > 0 && c.queued+len(data)+entryOverhead > c.opt.MaxQueueBytes:
		return 0, ErrBusy
	}
	c.queued += len(data) + entryOverhead
	return c.appendOwn(wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND, data), nil
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
		if p := c.peer(m.Incarnation); p != nil {
			c.replicateTo(m, p)
		}
	}
}

func (c *core) replicateTo(to Member, p *progress) {
	for p.state != Transfer && !p.paused && p.next <= c.log.lastIndex() && p.bytes < c.windowOf(to, p) {
		if p.next <= c.log.base {
			c.startTransfer(to, p)
			return
		}
		c.sendEntries(to, p)
	}
}

// windowOf returns the maximum unacknowledged bytes to a peer. A learner has an
// adaptive window because it may lack many entries and no commit depends on it.
func (c *core) windowOf(to Member, p *progress) int {
	if to.Role == Learner {
		return p.window
	}
	return c.opt.InflightBytes
}

func (c *core) sendEntries(to Member, p *progress) {
	entries := c.log.from(p.next, min(c.opt.AppendBytes, c.windowOf(to, p)))
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
	p.inflight = append(p.inflight, flight{p.next - 1, size, c.now})
	p.bytes += size
}

func (c *core) stepAppendReply(m *wire.LogMessage) {
	if m.GetTerm() > c.state.term {
		c.becomeFollower(m.GetTerm(), "")
		return
	}
	p := c.peer(m.GetFromIncarnation())
	if p == nil || m.GetTerm() != c.state.term || m.GetBoot() < p.boot || p.refused {
		return
	}
	p.boot, p.heard, p.full, p.leaving = m.GetBoot(), c.now, m.GetFull(), m.GetLeaving()
	if m.GetRound() > p.round {
		p.round = m.GetRound()
		c.updateQuorum()
	}
	if m.GetReject() {
		c.rejected(m, p)
		return
	}
	if m.GetIndex() > c.log.lastIndex() {
		return
	}
	if len(p.inflight) > 0 && p.inflight[0].last <= m.GetIndex() {
		p.adapt(c.now.Sub(p.inflight[0].sent), c.opt.Heartbeat, c.opt.InflightBytes)
	}
	p.acknowledge(m.GetIndex())
	c.measureLag(p)
	if p.state == Probe && m.GetIndex() > 0 {
		p.state, p.paused = Replicate, false
	}
	c.marks.note(m.GetFromIncarnation(), m.GetBoot(), c.state.term, p.match)
	c.advanceCommit()
}

// measureLag determines whether a peer is less than an election timeout behind.
// Under continuous load a peer may be close behind and still never hold the
// last committed entry at the time of the check.
func (c *core) measureLag(p *progress) {
	if p.match < p.target {
		return
	}
	if c.now.Sub(p.targetSet) < c.opt.Election {
		p.caughtUpDeadline = c.now.Add(c.opt.Election)
	}
	p.target, p.targetSet = c.commit, c.now
}

func (c *core) rejected(m *wire.LogMessage, p *progress) {
	if p.state == Transfer || m.GetIndex() <= p.match || m.GetIndex() >= p.next {
		return
	}
	p.probe(m.GetHint() + 1)
}

// advanceCommit commits the entries that a majority of the voters has on disk.
// Entries of earlier terms are committed only together with an entry of the
// current term.
func (c *core) advanceCommit() {
	index := c.members().quorumValue(func(inc string) uint64 {
		if inc == c.self {
			return c.log.saved
		}
		return c.peer(inc).match
	})
	if index <= c.commit {
		return
	}
	if term, ok := c.log.term(index); !ok || term != c.state.term {
		return
	}
	for i := c.commit + 1; i <= index; i++ {
		if e := c.log.at(i); e.GetTerm() == c.state.term && e.GetKind() == wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND {
			c.queued -= entryBytes(e)
		}
	}
	c.commit = index
}
