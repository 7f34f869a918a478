package replog

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// Role is what a replica is doing at the moment.
type Role string

// The roles of a replica.
const (
	Waiting      Role = "waiting" // not a member; announces itself
	Follower     Role = "follower"
	PreCandidate Role = "precandidate" // asks whether an election could be won
	Candidate    Role = "candidate"
	Leader       Role = "leader"
	Refused      Role = "refused" // its folder is older than what it acknowledged
)

// core is the protocol of one replica, without input and output: messages,
// time and results of the disk come in through its methods, and what is to be
// done piles up in out. Replicas are known by their incarnations.
type core struct {
	opt  Options
	self string // own incarnation
	boot uint64
	rand *rand.Rand
	now  time.Time

	// Hard state: saved before any message that relies on it is sent.
	state      hardState
	savedState hardState

	log     entryLog
	history memberHistory
	commit  uint64
	applied uint64

	role             Role
	leader           string
	electionDeadline time.Time
	// promiseDeadline is when a vote may be granted: until then the last
	// heard leader may hold a lease.
	promiseDeadline time.Time
	votes           map[string]bool
	// heard is when each member's last message came, by incarnation; withheld is the last
	// vote that wasn't granted.
	heard    map[string]time.Time
	withheld withheld

	// durable is the furthest position that was ever on the own disk.
	durable position
	leading leading
	hello   helloState
	marks   markTable

	// installing is set while a received snapshot replaces the log.
	installing bool
	// restore is a snapshot that the state machine must be restored from.
	restore *wire.LogSnapshot
	full    bool
	leaving bool // the process is about to end
	queued  int  // bytes of own proposals that wait for commit

	out outputs
}

// hardState is what a replica must not forget.
type hardState struct {
	term     uint64
	vote     string
	accepted uint64
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

// outputs is what the core wants done.
type outputs struct {
	messages []*wire.LogMessage // to be sent at once
	synced   []*wire.LogMessage // to be sent once all before them is on disk
	received []*wire.LogMessage // snapshot chunks to be written
	chunks   []chunkRequest     // snapshot chunks to be read and sent
	refuse   string             // reason why the folder must be refused
}

func newCore(opt Options, id store.Identity, held store.Contents, now time.Time) (*core, error) {
	c := &core{
		opt: opt, self: id.Incarnation, boot: id.Boot, now: now,
		rand: rand.New(rand.NewPCG(opt.Seed, id.Boot)),
		role: Waiting, heard: make(map[string]time.Time),
		log: newEntryLog(held.Entries, held.Snapshot),
	}
	c.state = hardState{term: held.State.GetTerm(), vote: held.State.GetVote(), accepted: held.State.GetAccepted()}
	c.savedState = c.state
	c.durable = position{c.state.accepted, c.log.saved}
	c.commit = held.Snapshot.GetIndex()
	c.applied = c.commit
	c.marks = newMarkTable(held.Marks)
	if held.Snapshot != nil {
		c.history = memberHistory{{held.Snapshot.GetMembersIndex(), membersFromWire(held.Snapshot.GetMembers())}}
	}
	if err := c.noteMembers(held.Entries); err != nil {
		return nil, err
	}
	if c.formed() {
		c.role = Follower
	}
	if id.Refused != "" {
		c.role = Refused
	}
	c.hello.begin(c)
	c.promiseDeadline = now.Add(opt.Election)
	c.resetElection()
	return c, nil
}

// formed tells whether this replica holds a membership.
func (c *core) formed() bool { return len(c.history) > 0 }

func (c *core) members() Members { return c.history.latest().members }

func (c *core) noteMembers(entries []*wire.LogEntry) error {
	for _, e := range entries {
		if e.GetKind() != wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS || e.GetIndex() <= c.history.latest().index {
			continue
		}
		members, err := decodeMembers(e.GetData())
		if err != nil {
			return errors.Wrapf(err, "entry %d", e.GetIndex())
		}
		c.history = append(c.history, membersAt{e.GetIndex(), members})
	}
	return nil
}

func (c *core) resetElection() {
	spread := time.Duration(c.rand.Int64N(int64(c.opt.Election)))
	c.electionDeadline = c.now.Add(c.opt.Election + spread)
}

// advance moves the core's clock, which never goes back.
func (c *core) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// tick lets deadlines take effect.
func (c *core) tick(now time.Time) {
	c.advance(now)
	switch c.role {
	case Refused:
		return
	case Leader:
		c.tickLeader()
		return
	}
	c.hello.tick(c)
	if c.role != Waiting && !c.now.Before(c.electionDeadline) {
		c.startPreVote()
	}
}

// step takes a message from a peer.
func (c *core) step(now time.Time, m *wire.LogMessage) {
	c.advance(now)
	if !c.accepts(m) {
		return
	}
	if _, member := c.members().get(m.GetFromIncarnation()); member {
		c.heard[m.GetFromIncarnation()] = c.now
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

// accepts drops messages of other clusters and those for an earlier owner of
// this name.
func (c *core) accepts(m *wire.LogMessage) bool {
	if c.role == Refused || m.GetCluster() != c.opt.Cluster || m.GetTo() != c.opt.Name {
		return false
	}
	if m.GetToIncarnation() == "" {
		return m.GetKind() == wire.LogKind_LOG_KIND_HELLO
	}
	return m.GetToIncarnation() == c.self
}

// message returns a message to a member, filled in as far as is common.
func (c *core) message(kind wire.LogKind, to Member) *wire.LogMessage {
	return &wire.LogMessage{
		Kind: kind, Cluster: c.opt.Cluster,
		From: c.opt.Name, FromIncarnation: c.self, Boot: c.boot,
		To: to.Name, ToIncarnation: to.Incarnation,
		Term: c.state.term, Full: c.full, Formed: c.formed(), Leaving: c.leaving,
	}
}

// reply returns an answer to a message.
func (c *core) reply(kind wire.LogKind, m *wire.LogMessage) *wire.LogMessage {
	return c.message(kind, Member{Name: m.GetFrom(), Incarnation: m.GetFromIncarnation()})
}

func (c *core) send(m *wire.LogMessage)       { c.out.messages = append(c.out.messages, m) }
func (c *core) sendSynced(m *wire.LogMessage) { c.out.synced = append(c.out.synced, m) }

// becomeFollower gives up any other role. A new term forgets the vote.
func (c *core) becomeFollower(term uint64, leader string) {
	if term > c.state.term {
		c.state = c.state.withTerm(term)
	}
	if c.role == Leader {
		c.leading = leading{}
		c.queued = 0
	}
	c.role = Follower
	if !c.formed() {
		c.role = Waiting
	}
	c.leader = leader
	c.votes = nil
	c.resetElection()
}

// work is one round for the disk: a frame to save, if it holds anything, and
// then messages to send and chunks to write.
type work struct {
	frame    *wire.LogFrame
	state    hardState
	messages []*wire.LogMessage
	received []*wire.LogMessage
}

func (w work) empty() bool { return w.frame == nil && len(w.messages) == 0 && len(w.received) == 0 }

// takeWork returns all that waits for the disk.
func (c *core) takeWork() work {
	w := work{state: c.state, messages: c.out.synced, received: c.out.received}
	c.out.synced, c.out.received = nil, nil
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

// saved notes that a round has reached the disk.
func (c *core) saved(now time.Time, w work) {
	c.advance(now)
	if w.frame == nil {
		return
	}
	c.full = false
	c.savedState = w.state
	c.log.markSaved(w.frame.GetEntries())
	c.durable = c.durable.max(position{c.savedState.accepted, c.log.saved})
	if c.role == Leader {
		c.advanceCommit()
	}
}

// takeCommitted returns committed entries that are to be applied next.
func (c *core) takeCommitted(maxBytes int) []*wire.LogEntry {
	if c.applied >= c.commit || c.restore != nil {
		return nil
	}
	entries := c.log.from(c.applied+1, maxBytes)
	if n := c.commit - c.applied; uint64(len(entries)) > n {
		entries = entries[:n]
	}
	return entries
}

// compact drops entries that a snapshot covers and returns the first one that
// is still wanted on disk.
func (c *core) compact(snapshot uint64) uint64 {
	c.log.compact(min(snapshot, c.log.saved), c.opt.TailBytes)
	c.history = c.history.compacted(c.log.base)
	return c.log.base
}
