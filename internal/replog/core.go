package replog

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// Role is the current protocol role of a replica.
type Role string

// The roles of a replica.
const (
	Waiting      Role = "waiting" // not a member; announces itself to the members
	Follower     Role = "follower"
	PreCandidate Role = "precandidate" // asks whether it could win an election
	Candidate    Role = "candidate"
	Leader       Role = "leader"
	Refused      Role = "refused" // its data folder lacks entries that it acknowledged
)

// core is the protocol state machine of one replica. It does no I/O: messages,
// time and disk results are passed to its methods, and the requested actions
// are collected in out. Replicas are identified by their incarnations.
type core struct {
	opt  Options
	self string // incarnation of this replica
	boot uint64 // number of times that the data folder has been opened
	rand *rand.Rand
	now  time.Time // latest time passed in; never goes back

	// state is saved before any message that depends on it is sent. savedState
	// is the last one on disk.
	state      hardState
	savedState hardState

	log     entryLog
	history memberHistory
	commit  uint64 // index of the last entry known to be committed
	applied uint64 // index of the last entry that the state machine has applied

	role             Role
	leader           string    // incarnation, empty if unknown
	electionDeadline time.Time // when an election is started if no leader is heard
	// followerLeaseDeadline is the time before which this replica grants no
	// vote, because the leader that it last heard from may still hold a lease.
	followerLeaseDeadline time.Time
	votes                 map[string]bool // received votes, by incarnation
	// lastHeard is the time of each member's last message, by incarnation.
	lastHeard map[string]time.Time
	// memory is how many bytes each member's process may use, as far as they have told, by incarnation.
	memory           map[string]uint64
	lastRejectedVote rejectedVote // last vote request that this replica rejected

	// durable is the highest position that was ever on this replica's disk.
	durable     position
	leaderState leaderState
	join        joinState
	marks       markTable

	// installing is set while a received snapshot replaces the log.
	installing bool
	// pendingRestore is a snapshot that the state machine must be restored
	// from, nil if there is none.
	pendingRestore *wire.LogSnapshot
	diskFull       bool // the last write failed for lack of space
	leaving        bool // this process is about to stop
	queuedBytes    int  // bytes of the leader's proposals that wait for commit

	out outputs
}

// hardState is the state that must survive a restart.
type hardState struct {
	term     uint64 // current term
	vote     string // incarnation voted for in term, empty if none
	accepted uint64 // term of the leader that entries were last accepted from
}

func (s hardState) withTerm(term uint64) hardState {
	s.term, s.vote = term, ""
	return s
}

func (s hardState) withVote(vote string) hardState {
	s.vote = vote
	return s
}

func (s hardState) withAccepted(term uint64) hardState {
	s.accepted = term
	return s
}

func (s hardState) wire() *wire.LogState {
	return &wire.LogState{Term: s.term, Vote: s.vote, Accepted: s.accepted}
}

// outputs collects the actions that core requests.
type outputs struct {
	messages      []*wire.LogMessage // to send immediately
	afterSync     []*wire.LogMessage // to send once the state and entries that they depend on are on disk
	chunksToWrite []*wire.LogMessage // snapshot chunks to write
	chunksToRead  []chunkRequest     // snapshot chunks to read and send
	refuseReason  string             // reason why the data folder must be refused
}

func newCore(opt Options, identity store.Identity, contents store.Contents, now time.Time) (*core, error) {
	c := &core{
		opt: opt, self: identity.Incarnation, boot: identity.Boot, now: now,
		rand: rand.New(rand.NewPCG(opt.Seed, identity.Boot)),
		role: Waiting, lastHeard: make(map[string]time.Time), memory: make(map[string]uint64),
		log: newEntryLog(contents.Entries, contents.Snapshot),
	}
	c.state = hardState{term: contents.State.GetTerm(), vote: contents.State.GetVote(), accepted: contents.State.GetAccepted()}
	c.savedState = c.state
	c.durable = position{c.state.accepted, c.log.saved}
	c.commit = contents.Snapshot.GetIndex()
	c.applied = c.commit
	c.marks = newMarkTable(contents.Marks)
	if contents.Snapshot != nil {
		c.history = memberHistory{{contents.Snapshot.GetMembersIndex(), membersFromWire(contents.Snapshot.GetMembers())}}
	}
	if err := c.recordMembers(contents.Entries); err != nil {
		return nil, err
	}
	if c.hasMembership() {
		c.role = Follower
	}
	if identity.Refused != "" {
		c.role = Refused
	}
	c.join.init(c)
	c.followerLeaseDeadline = now.Add(opt.ElectionTimeout)
	c.resetElectionDeadline()
	return c, nil
}

// hasMembership reports whether this replica's log contains a membership.
func (c *core) hasMembership() bool { return len(c.history) > 0 }

// members returns the membership in effect.
func (c *core) members() Members { return c.history.latest().members }

// recordMembers adds the memberships among the entries to the history.
func (c *core) recordMembers(entries []*wire.LogEntry) error {
	for _, e := range entries {
		if e.GetKind() != wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS || e.GetIndex() <= c.history.latest().index {
			continue
		}
		members, err := decodeMembers(e.GetData())
		if err != nil {
			return errors.Wrapf(err, "entry %d", e.GetIndex())
		}
		c.history = append(c.history, indexedMembers{e.GetIndex(), members})
	}
	return nil
}

func (c *core) resetElectionDeadline() {
	jitter := time.Duration(c.rand.Int64N(int64(c.opt.ElectionTimeout)))
	c.electionDeadline = c.now.Add(c.opt.ElectionTimeout + jitter)
}

// advanceClock moves the core's clock forward. The clock never goes back.
func (c *core) advanceClock(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// tick handles deadlines that have passed.
func (c *core) tick(now time.Time) {
	c.advanceClock(now)
	switch c.role {
	case Refused:
		return
	case Leader:
		c.tickLeader()
		return
	}
	c.join.tick(c)
	if c.role != Waiting && !c.now.Before(c.electionDeadline) {
		c.startPreVote()
	}
}

// step handles a message from a peer.
func (c *core) step(now time.Time, m *wire.LogMessage) {
	c.advanceClock(now)
	if !c.accepts(m) {
		return
	}
	if _, member := c.members().get(m.GetFromIncarnation()); member {
		c.lastHeard[m.GetFromIncarnation()] = c.now
		c.memory[m.GetFromIncarnation()] = m.GetMemory()
	}
	switch m.GetKind() {
	case wire.LogKind_LOG_KIND_HELLO:
		c.stepHello(m)
	case wire.LogKind_LOG_KIND_HELLO_REPLY:
		c.stepHelloReply(m)
	case wire.LogKind_LOG_KIND_PRE_VOTE:
		c.stepPreVote(m)
	case wire.LogKind_LOG_KIND_PRE_VOTE_REPLY:
		c.stepPreVoteReply(m)
	case wire.LogKind_LOG_KIND_VOTE:
		c.stepVote(m)
	case wire.LogKind_LOG_KIND_VOTE_REPLY:
		c.stepVoteReply(m)
	case wire.LogKind_LOG_KIND_APPEND:
		c.stepAppend(m)
	case wire.LogKind_LOG_KIND_APPEND_REPLY:
		c.stepAppendReply(m)
	case wire.LogKind_LOG_KIND_RELEASE:
		c.stepRelease(m)
	case wire.LogKind_LOG_KIND_CHUNK:
		c.stepChunk(m)
	case wire.LogKind_LOG_KIND_CHUNK_REPLY:
		c.stepChunkReply(m)
	}
}

// accepts reports whether a message is meant for this replica. Messages of
// other clusters and those for an earlier incarnation with the same name are
// dropped.
func (c *core) accepts(m *wire.LogMessage) bool {
	if c.role == Refused || m.GetCluster() != c.opt.Cluster || m.GetTo() != c.opt.Name {
		return false
	}
	if m.GetToIncarnation() == "" {
		return m.GetKind() == wire.LogKind_LOG_KIND_HELLO
	}
	return m.GetToIncarnation() == c.self
}

// message returns a message to a member with the common fields set.
func (c *core) message(kind wire.LogKind, to Member) *wire.LogMessage {
	return &wire.LogMessage{
		Kind: kind, Cluster: c.opt.Cluster,
		From: c.opt.Name, FromIncarnation: c.self, Boot: c.boot,
		To: to.Name, ToIncarnation: to.Incarnation,
		Term: c.state.term, Full: c.diskFull, Formed: c.hasMembership(), Leaving: c.leaving,
		Memory: uint64(c.opt.Memory),
	}
}

// reply returns a message to the sender of m.
func (c *core) reply(kind wire.LogKind, m *wire.LogMessage) *wire.LogMessage {
	return c.message(kind, Member{Name: m.GetFrom(), Incarnation: m.GetFromIncarnation()})
}

func (c *core) send(m *wire.LogMessage)          { c.out.messages = append(c.out.messages, m) }
func (c *core) sendAfterSync(m *wire.LogMessage) { c.out.afterSync = append(c.out.afterSync, m) }

// becomeFollower leaves any other role. A new term clears the vote.
func (c *core) becomeFollower(term uint64, leader string) {
	if term > c.state.term {
		c.state = c.state.withTerm(term)
	}
	if c.role == Leader {
		c.leaderState = leaderState{}
		c.queuedBytes = 0
	}
	c.role = Follower
	if !c.hasMembership() {
		c.role = Waiting
	}
	c.leader = leader
	c.votes = nil
	c.resetElectionDeadline()
}

// diskWork is one batch of disk work: a frame to save, nil if there is none,
// then messages to send and snapshot chunks to write.
type diskWork struct {
	frame    *wire.LogFrame
	state    hardState          // state that is on disk once the frame is saved
	messages []*wire.LogMessage // to send after the frame is saved
	chunks   []*wire.LogMessage // snapshot chunks to write
}

func (w diskWork) empty() bool { return w.frame == nil && len(w.messages) == 0 && len(w.chunks) == 0 }

// takeDiskWork returns everything that is waiting for the disk.
func (c *core) takeDiskWork() diskWork {
	w := diskWork{state: c.state, messages: c.out.afterSync, chunks: c.out.chunksToWrite}
	c.out.afterSync, c.out.chunksToWrite = nil, nil
	entries := c.log.takeUnsaved()
	if len(entries) == 0 && c.state == c.savedState {
		return w
	}
	w.frame = &wire.LogFrame{Entries: entries, Marks: c.marks.takeDirty()}
	if c.state != c.savedState {
		w.frame.State = c.state.wire()
	}
	return w
}

// diskWorkSaved records that a batch of disk work has been synced.
func (c *core) diskWorkSaved(now time.Time, w diskWork) {
	c.advanceClock(now)
	if w.frame == nil {
		return
	}
	c.diskFull = false
	c.savedState = w.state
	c.log.markSaved(w.frame.GetEntries())
	c.durable = c.durable.max(position{c.savedState.accepted, c.log.saved})
	if c.role == Leader {
		c.advanceCommit()
	}
}

// committedToApply returns the committed entries to apply next.
func (c *core) committedToApply(maxBytes int) []*wire.LogEntry {
	if c.applied >= c.commit || c.pendingRestore != nil {
		return nil
	}
	entries := c.log.entriesFrom(c.applied+1, maxBytes)
	if n := c.commit - c.applied; uint64(len(entries)) > n {
		entries = entries[:n]
	}
	return entries
}

// compact drops entries that a snapshot covers and returns the index of the
// first one that must be kept on disk.
func (c *core) compact(snapshotIndex uint64) uint64 {
	c.log.compact(min(snapshotIndex, c.log.saved), c.opt.TrailingLogBytes)
	c.history = c.history.compacted(c.log.base)
	return c.log.base
}
