package replog

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/store/memdisk"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	simTick  = 10 * time.Millisecond   // interval at which all hosts tick
	simDelay = 1500 * time.Microsecond // one-way delay of a message
	// forever is longer than the simulated time of any test.
	forever = time.Hour
)

// failReporter is the subset of rapid.T and testing.T that a simulation uses.
type failReporter interface {
	Fatalf(format string, args ...any)
}

// sim runs replicas with a simulated network, disks and clocks, whose behavior
// is determined by a seed.
type sim struct {
	t             failReporter
	rand          *rand.Rand
	now           time.Duration
	hosts         []*simHost
	inTransit     []simMessage
	blockedLinks  map[[2]string]bool
	lossRate      float64       // share of messages that are lost
	duplicateRate float64       // share of messages that are delivered twice
	maxExtraDelay time.Duration // maximum random extra delay

	leaderByTerm   map[uint64]string            // incarnations
	seenEntries    map[[2]uint64]*wire.LogEntry // by index and term
	prevTerm       map[[2]uint64]uint64         // term of the entry before, by index and term
	appliedEntries map[uint64]*wire.LogEntry    // by index
	appliedInTerm  map[uint64]uint64            // term in which each index was first applied
	stateAfter     map[uint64]simState          // state after each index
	ops            []*simOp
	boots          map[string]int // number of starts, by host
	disksLost      int            // number of disks wiped by wipeRandomDisk
	// replacements is the number of replacements that maintainMembership has
	// started.
	replacements int
	sentBytes    map[string]int   // bytes sent, by host
	onStep       func(h *simHost) // called after each step of a host
}

// simMessage is a message on its way.
type simMessage struct {
	deliverAt time.Duration
	from      string
	message   *wire.LogMessage
}

// simState is the state machine: a register and a digest of all applied
// entries.
type simState struct {
	Index  uint64
	Value  string
	Digest string
}

// simHost is a host with a replica. It is down while core is nil.
type simHost struct {
	name string
	// incarnation is the one of the host's last run.
	incarnation        string
	disk               *memdisk.Disk
	linkBytesPerSecond int           // outgoing bandwidth in bytes per second, 0 for unlimited
	linkBusyUntil      time.Duration // time until which its link is busy
	addedLater         bool          // not one of the initial voters
	firstStart         bool          // if addedLater: started together with the initial voters
	st                 *store.Store
	core               *core
	clockRate          float64       // speed of its clock, 1 for an exact one
	frozenUntil        time.Duration // time until which the host is frozen
	writeDelay         time.Duration // extra duration of each write
	state              simState
	writing            *diskWork     // disk work in progress
	writeStepEnds      time.Duration // when its next step ends
	frameSaved         bool          // the frame is on disk but the core hasn't been told yet
	reads              []*simOp
}

// simOp is an operation of a client.
type simOp struct {
	isWrite   bool
	value     string       // value written or read
	index     uint64       // index of a write
	term      uint64       // term of the leader when the operation started
	read      *readRequest // nil for a write
	host      *simHost
	startedAt time.Duration
	doneAt    time.Duration
	succeeded bool
	failed    bool // it certainly had no effect
}

func newSim(t failReporter, seed uint64, n int) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), blockedLinks: make(map[[2]string]bool),
		leaderByTerm: make(map[uint64]string), seenEntries: make(map[[2]uint64]*wire.LogEntry),
		prevTerm: make(map[[2]uint64]uint64), appliedEntries: make(map[uint64]*wire.LogEntry),
		stateAfter: make(map[uint64]simState), appliedInTerm: make(map[uint64]uint64), boots: make(map[string]int), sentBytes: make(map[string]int),
	}
	for i := range n {
		h := &simHost{name: string(rune('a' + i)), disk: memdisk.New()}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		s.startHost(h)
	}
	return s
}

func (s *sim) options(name string) Options {
	opt := Options{Name: name, Cluster: "sim", TrailingLogBytes: 1000, ChunkBytes: 64, Seed: uint64(name[0])}
	for _, h := range s.hosts {
		if !h.addedLater {
			opt.Voters = append(opt.Voters, Peer{Name: h.name})
		}
		if h.name == name && (!h.addedLater || h.firstStart) {
			opt.FirstStart = s.boots[name] == 1
		}
	}
	return opt.WithDefaults()
}

// localTime returns the time of a host's clock, which runs slightly fast or
// slow.
func (s *sim) localTime(h *simHost) time.Time {
	return time.Unix(0, int64(float64(s.now)*h.clockRate)).Add(time.Hour)
}

func (s *sim) startHost(h *simHost) {
	s.boots[h.name]++
	h.clockRate = 1 + DefaultClockDrift*(2*s.rand.Float64()-1)
	st, err := store.Open(h.disk, store.Options{
		Cluster: "sim", Name: h.name, Incarnation: fmt.Sprintf("%s-%d", h.name, s.boots[h.name]), SegmentBytes: 2000,
	})
	if err != nil {
		s.t.Fatalf("%s could not open its data folder: %v", h.name, err)
	}
	core, err := newCore(s.options(h.name), st.Identity(), st.Contents(), s.localTime(h))
	if err != nil {
		s.t.Fatalf("%s could not start: %v", h.name, err)
	}
	h.incarnation = core.self
	h.st, h.core, h.writing, h.frameSaved, h.frozenUntil, h.state = st, core, nil, false, 0, simState{}
	if st.Snapshot() != nil {
		s.restore(h)
	}
}

func (s *sim) isRunning(h *simHost) bool { return h.core != nil && s.now >= h.frozenUntil }

// crashHost stops a host. Unsynced writes are lost or partially written.
func (s *sim) crashHost(h *simHost) {
	if h.core == nil {
		return
	}
	if h.writing != nil && !h.frameSaved && h.writing.frame != nil {
		h.disk.FailNthSync(1)
		if err := h.st.Save(h.writing.frame); !errors.Is(err, memdisk.ErrCrashed) {
			s.t.Fatalf("save during a crash: got error %v, want ErrCrashed", err)
		}
	}
	h.disk.Crash(s.rand)
	h.core, h.st = nil, nil
	for _, op := range h.reads {
		op.failed = true
	}
	h.reads = nil
}

func (s *sim) host(name string) *simHost {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// run advances the time and processes everything due until then.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		next := s.now + simTick - s.now%simTick
		for s.deliverNext(next) {
		}
		s.now = next
		for _, h := range s.hosts {
			if s.isRunning(h) {
				h.core.tick(s.localTime(h))
				s.processOutputs(h)
			}
		}
	}
	s.checkLogs()
}

// deliverNext delivers the next message or completes the next step of a write,
// whichever is due first. It returns false if none is due until the given time.
func (s *sim) deliverNext(deadline time.Duration) bool {
	var writer *simHost
	for _, h := range s.hosts {
		if h.writing != nil && s.isRunning(h) && h.writeStepEnds <= deadline && (writer == nil || h.writeStepEnds < writer.writeStepEnds) {
			writer = h
		}
	}
	messageDue := len(s.inTransit) > 0 && s.inTransit[0].deliverAt <= deadline
	if writer != nil && (!messageDue || writer.writeStepEnds <= s.inTransit[0].deliverAt) {
		s.now = max(s.now, writer.writeStepEnds)
		s.finishWriteStep(writer)
		return true
	}
	if !messageDue {
		return false
	}
	next := s.inTransit[0]
	s.inTransit = s.inTransit[1:]
	s.now = max(s.now, next.deliverAt)
	to := s.host(next.message.GetTo())
	switch {
	case to == nil || to.core == nil || s.blockedLinks[[2]string{next.from, to.name}]:
	case !s.isRunning(to):
		next.deliverAt = to.frozenUntil
		s.enqueueMessage(next)
	default:
		to.core.step(s.localTime(to), next.message)
		s.processOutputs(to)
	}
	return true
}

func (s *sim) enqueueMessage(msg simMessage) {
	i := sort.Search(len(s.inTransit), func(i int) bool { return s.inTransit[i].deliverAt > msg.deliverAt })
	s.inTransit = append(s.inTransit, simMessage{})
	copy(s.inTransit[i+1:], s.inTransit[i:])
	s.inTransit[i] = msg
}

func (s *sim) send(h *simHost, messages []*wire.LogMessage) {
	for _, m := range messages {
		s.sentBytes[h.name] += proto.Size(m)
		copies := 1
		if s.rand.Float64() < s.lossRate {
			copies = 0
		} else if s.rand.Float64() < s.duplicateRate {
			copies = 2
		}
		for range copies {
			at := s.now + simDelay
			if h.linkBytesPerSecond > 0 {
				h.linkBusyUntil = max(h.linkBusyUntil, s.now) + time.Duration(proto.Size(m))*time.Second/time.Duration(h.linkBytesPerSecond)
				at = h.linkBusyUntil + simDelay
			}
			if s.maxExtraDelay > 0 {
				at += time.Duration(s.rand.Int64N(int64(s.maxExtraDelay)))
			}
			s.enqueueMessage(simMessage{deliverAt: at, from: h.name, message: proto.CloneOf(m)})
		}
	}
}

// processOutputs performs the actions that a host's core requests.
func (s *sim) processOutputs(h *simHost) {
	c := h.core
	c.replicate()
	if s.onStep != nil {
		s.onStep(h)
	}
	for _, r := range c.out.chunksToRead {
		chunk, err := h.st.ReadChunk(r.id, r.offset, r.bytes)
		if err != nil {
			chunk, err = h.st.ReadChunk(h.st.Snapshot().GetId(), 0, r.bytes)
		}
		if err != nil {
			s.t.Fatalf("%s could not read a chunk: %v", h.name, err)
		}
		c.sendChunk(r.to, chunk)
	}
	c.out.chunksToRead = nil
	if c.out.refuseReason != "" {
		if err := h.st.MarkRefused(c.out.refuseReason); err != nil {
			s.t.Fatalf("%s could not refuse its data folder: %v", h.name, err)
		}
		c.out.refuseReason = ""
	}
	s.send(h, c.out.messages)
	c.out.messages = nil
	if h.writing == nil {
		if w := c.takeDiskWork(); !w.empty() {
			h.writing, h.writeStepEnds = &w, s.now+h.writeDelay+time.Duration(s.rand.Int64N(int64(5*time.Millisecond)))
		}
	}
	s.applyCommitted(h)
	s.finishReads(h)
	s.checkHost(h)
}

// finishWriteStep completes disk work in two steps: first the frame is saved,
// then the core is told. A crash may happen in between.
func (s *sim) finishWriteStep(h *simHost) {
	w := *h.writing
	if !h.frameSaved {
		if w.frame != nil {
			if err := h.st.Save(w.frame); err != nil {
				s.t.Fatalf("%s could not save a frame: %v", h.name, err)
			}
		}
		h.frameSaved = true
		h.writeStepEnds = s.now + time.Duration(s.rand.Int64N(int64(time.Millisecond)))
		return
	}
	h.writing, h.frameSaved = nil, false
	c := h.core
	c.diskWorkSaved(s.localTime(h), w)
	var remote []*wire.LogMessage
	for _, m := range w.messages {
		if m.GetToIncarnation() == c.self {
			c.step(s.localTime(h), m)
			continue
		}
		remote = append(remote, m)
	}
	s.send(h, remote)
	for _, m := range w.chunks {
		s.receiveChunk(h, m)
	}
	s.processOutputs(h)
}

func (s *sim) receiveChunk(h *simHost, m *wire.LogMessage) {
	snap := m.GetChunk().GetSnapshot()
	next, done, err := h.st.ReceiveChunk(m.GetChunk())
	if err != nil {
		s.t.Fatalf("%s could not receive a chunk: %v", h.name, err)
	}
	if done && h.core.beginInstall(snap) {
		if err := h.st.ResetLog(); err != nil {
			s.t.Fatalf("%s could not reset its log: %v", h.name, err)
		}
		h.core.snapshotInstalled(s.localTime(h), snap)
	}
	h.core.acknowledgeChunk(m, next)
}

func (s *sim) restore(h *simHost) {
	err := h.st.ReadSnapshot(func(meta *wire.LogSnapshot, r io.Reader) error {
		if err := json.NewDecoder(r).Decode(&h.state); err != nil {
			return err
		}
		h.core.snapshotRestored(meta)
		if h.state.Index != meta.GetIndex() || h.state != s.stateAfter[meta.GetIndex()] {
			s.t.Fatalf("%s restored %+v from snapshot %d, want %+v", h.name, h.state, meta.GetIndex(), s.stateAfter[meta.GetIndex()])
		}
		return nil
	})
	if err != nil {
		s.t.Fatalf("%s could not restore its snapshot: %v", h.name, err)
	}
}

func (s *sim) applyCommitted(h *simHost) {
	if h.core.pendingRestore != nil {
		s.restore(h)
	}
	for _, e := range h.core.committedToApply(1 << 20) {
		h.state.Index = e.GetIndex()
		if e.GetKind() == wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND {
			h.state.Value = string(e.GetData())
		}
		h.state.Digest = fmt.Sprintf("%x", rand.NewPCG(uint64(len(h.state.Digest)), digestEntry(h.state.Digest, e)).Uint64())
		h.core.applied = e.GetIndex()
		s.checkApplied(h, e)
		for _, op := range s.ops {
			if op.isWrite && op.host == h && op.index == e.GetIndex() && op.term == e.GetTerm() && op.doneAt == 0 {
				op.doneAt, op.succeeded = s.now, true
			}
		}
	}
}

// digestEntry returns an FNV-1a hash of a digest and the entry that follows it.
func digestEntry(prevDigest string, e *wire.LogEntry) uint64 {
	sum := uint64(14695981039346656037)
	for _, b := range fmt.Appendf(nil, "%s/%d/%d/%s", prevDigest, e.GetIndex(), e.GetTerm(), e.GetData()) {
		sum = (sum ^ uint64(b)) * 1099511628211
	}
	return sum
}
