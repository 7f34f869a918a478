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
	simTick  = 10 * time.Millisecond
	simDelay = 1500 * time.Microsecond
	// never is longer than the simulated time of any test.
	never = time.Hour
)

// fataler is the subset of rapid.T and testing.T that a simulation uses.
type fataler interface {
	Fatalf(format string, args ...any)
}

// sim runs replicas with a simulated network, disks and clocks, whose behavior
// is determined by a seed.
type sim struct {
	t     fataler
	rand  *rand.Rand
	now   time.Duration
	hosts []*simHost
	queue []simMail
	cut   map[[2]string]bool
	loss  float64
	dup   float64
	delay time.Duration // maximum random extra delay

	leaders  map[uint64]string            // by term
	entries  map[[2]uint64]*wire.LogEntry // by index and term
	prev     map[[2]uint64]uint64         // term of the entry before
	chosen   map[uint64]*wire.LogEntry    // committed, by index
	chosenIn map[uint64]uint64            // term in which it was first applied
	states   map[uint64]simState          // state after each index
	clients  []*simOp
	made     map[string]int
	lost     int
	// replacements is the number of replacements that tend has started.
	replacements int
	sent         map[string]int   // bytes sent, by host
	watch        func(h *simHost) // called after each step of a host
}

type simMail struct {
	at   time.Duration
	from string
	m    *wire.LogMessage
}

// simState is the state machine: a register and a digest of all applied
// entries.
type simState struct {
	Index  uint64
	Value  string
	Digest string
}

type simHost struct {
	name string
	// incarnation is the one of the host's last run.
	incarnation string
	disk        *memdisk.Disk
	link        int           // outgoing bandwidth in bytes per second, 0 for unlimited
	sending     time.Duration // time until which its link is busy
	late        bool          // not one of the initial voters
	first       bool          // if late: started together with the initial voters
	st          *store.Store
	core        *core
	rate        float64
	frozen      time.Duration // time until which the host is frozen
	slow        time.Duration // extra duration of each write
	state       simState
	busy        *diskWork     // disk work in progress
	busyAt      time.Duration // when its next step ends
	saving      bool          // the frame is on disk but the core hasn't been told yet
	reads       []*simOp
}

// simOp is an operation of a client.
type simOp struct {
	write  bool
	value  string
	index  uint64
	term   uint64
	read   *readRequest
	host   *simHost
	call   time.Duration
	done   time.Duration
	ok     bool
	failed bool // it certainly had no effect
}

func newSim(t fataler, seed uint64, n int) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), cut: make(map[[2]string]bool),
		leaders: make(map[uint64]string), entries: make(map[[2]uint64]*wire.LogEntry),
		prev: make(map[[2]uint64]uint64), chosen: make(map[uint64]*wire.LogEntry),
		states: make(map[uint64]simState), chosenIn: make(map[uint64]uint64), made: make(map[string]int), sent: make(map[string]int),
	}
	for i := range n {
		h := &simHost{name: string(rune('a' + i)), disk: memdisk.New()}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		s.boot(h)
	}
	return s
}

func (s *sim) options(name string) Options {
	opt := Options{Name: name, Cluster: "sim", TailBytes: 1000, ChunkBytes: 64, Seed: uint64(name[0])}
	for _, h := range s.hosts {
		if !h.late {
			opt.Voters = append(opt.Voters, Peer{Name: h.name})
		}
		if h.name == name && (!h.late || h.first) {
			opt.First = s.made[name] == 1
		}
	}
	return opt.WithDefaults()
}

// local returns the time of a host's clock, which runs slightly fast or slow.
func (s *sim) local(h *simHost) time.Time {
	return time.Unix(0, int64(float64(s.now)*h.rate)).Add(time.Hour)
}

func (s *sim) boot(h *simHost) {
	s.made[h.name]++
	h.rate = 1 + DefaultClockDrift*(2*s.rand.Float64()-1)
	st, err := store.Open(h.disk, store.Options{
		Cluster: "sim", Name: h.name, Incarnation: fmt.Sprintf("%s-%d", h.name, s.made[h.name]), SegmentBytes: 2000,
	})
	if err != nil {
		s.t.Fatalf("%s could not open its data folder: %v", h.name, err)
	}
	core, err := newCore(s.options(h.name), st.Identity(), st.Contents(), s.local(h))
	if err != nil {
		s.t.Fatalf("%s could not start: %v", h.name, err)
	}
	h.incarnation = core.self
	h.st, h.core, h.busy, h.saving, h.frozen, h.state = st, core, nil, false, 0, simState{}
	if st.Snapshot() != nil {
		s.restore(h)
	}
}

func (s *sim) up(h *simHost) bool { return h.core != nil && s.now >= h.frozen }

// crash stops a host. Unsynced writes are lost or partially written.
func (s *sim) crash(h *simHost) {
	if h.core == nil {
		return
	}
	if h.busy != nil && !h.saving && h.busy.frame != nil {
		h.disk.FailSync(1)
		if err := h.st.Save(h.busy.frame); !errors.Is(err, memdisk.ErrCrashed) {
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
		for s.deliver(next) {
		}
		s.now = next
		for _, h := range s.hosts {
			if s.up(h) {
				h.core.tick(s.local(h))
				s.settle(h)
			}
		}
	}
	s.checkLogs()
}

// deliver delivers the next message or completes the next step of a write,
// whichever is due first. It returns false if none is due until the given time.
func (s *sim) deliver(before time.Duration) bool {
	var disk *simHost
	for _, h := range s.hosts {
		if h.busy != nil && s.up(h) && h.busyAt <= before && (disk == nil || h.busyAt < disk.busyAt) {
			disk = h
		}
	}
	mail := len(s.queue) > 0 && s.queue[0].at <= before
	if disk != nil && (!mail || disk.busyAt <= s.queue[0].at) {
		s.now = max(s.now, disk.busyAt)
		s.finishWork(disk)
		return true
	}
	if !mail {
		return false
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	s.now = max(s.now, next.at)
	to := s.host(next.m.GetTo())
	switch {
	case to == nil || to.core == nil || s.cut[[2]string{next.from, to.name}]:
	case !s.up(to):
		next.at = to.frozen
		s.post(next)
	default:
		to.core.step(s.local(to), next.m)
		s.settle(to)
	}
	return true
}

func (s *sim) post(mail simMail) {
	i := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at > mail.at })
	s.queue = append(s.queue, simMail{})
	copy(s.queue[i+1:], s.queue[i:])
	s.queue[i] = mail
}

func (s *sim) send(h *simHost, messages []*wire.LogMessage) {
	for _, m := range messages {
		s.sent[h.name] += proto.Size(m)
		copies := 1
		if s.rand.Float64() < s.loss {
			copies = 0
		} else if s.rand.Float64() < s.dup {
			copies = 2
		}
		for range copies {
			at := s.now + simDelay
			if h.link > 0 {
				h.sending = max(h.sending, s.now) + time.Duration(proto.Size(m))*time.Second/time.Duration(h.link)
				at = h.sending + simDelay
			}
			if s.delay > 0 {
				at += time.Duration(s.rand.Int64N(int64(s.delay)))
			}
			s.post(simMail{at: at, from: h.name, m: proto.CloneOf(m)})
		}
	}
}

// settle performs the actions that a host's core requests.
func (s *sim) settle(h *simHost) {
	c := h.core
	c.replicate()
	if s.watch != nil {
		s.watch(h)
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
		if err := h.st.Refuse(c.out.refuseReason); err != nil {
			s.t.Fatalf("%s could not refuse its data folder: %v", h.name, err)
		}
		c.out.refuseReason = ""
	}
	s.send(h, c.out.messages)
	c.out.messages = nil
	if h.busy == nil {
		if w := c.takeDiskWork(); !w.empty() {
			h.busy, h.busyAt = &w, s.now+h.slow+time.Duration(s.rand.Int64N(int64(5*time.Millisecond)))
		}
	}
	s.apply(h)
	s.finishReads(h)
	s.checkHost(h)
}

// finishWork completes disk work in two steps: first the frame is saved, then
// the core is told. A crash may happen in between.
func (s *sim) finishWork(h *simHost) {
	w := *h.busy
	if !h.saving {
		if w.frame != nil {
			if err := h.st.Save(w.frame); err != nil {
				s.t.Fatalf("%s could not save a frame: %v", h.name, err)
			}
		}
		h.saving = true
		h.busyAt = s.now + time.Duration(s.rand.Int64N(int64(time.Millisecond)))
		return
	}
	h.busy, h.saving = nil, false
	c := h.core
	c.diskWorkSaved(s.local(h), w)
	var remote []*wire.LogMessage
	for _, m := range w.messages {
		if m.GetToIncarnation() == c.self {
			c.step(s.local(h), m)
			continue
		}
		remote = append(remote, m)
	}
	s.send(h, remote)
	for _, m := range w.chunks {
		s.receive(h, m)
	}
	s.settle(h)
}

func (s *sim) receive(h *simHost, m *wire.LogMessage) {
	snap := m.GetChunk().GetSnapshot()
	next, done, err := h.st.Receive(m.GetChunk())
	if err != nil {
		s.t.Fatalf("%s could not receive a chunk: %v", h.name, err)
	}
	if done && h.core.beginInstall(snap) {
		if err := h.st.Reset(); err != nil {
			s.t.Fatalf("%s could not reset its log: %v", h.name, err)
		}
		h.core.snapshotInstalled(s.local(h), snap)
	}
	h.core.acknowledgeChunk(m, next)
}

func (s *sim) restore(h *simHost) {
	err := h.st.ReadSnapshot(func(meta *wire.LogSnapshot, r io.Reader) error {
		if err := json.NewDecoder(r).Decode(&h.state); err != nil {
			return err
		}
		h.core.snapshotRestored(meta)
		if h.state.Index != meta.GetIndex() || h.state != s.states[meta.GetIndex()] {
			s.t.Fatalf("%s restored %+v from snapshot %d, want %+v", h.name, h.state, meta.GetIndex(), s.states[meta.GetIndex()])
		}
		return nil
	})
	if err != nil {
		s.t.Fatalf("%s could not restore its snapshot: %v", h.name, err)
	}
}

func (s *sim) apply(h *simHost) {
	if h.core.pendingRestore != nil {
		s.restore(h)
	}
	for _, e := range h.core.committedToApply(1 << 20) {
		h.state.Index = e.GetIndex()
		if e.GetKind() == wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND {
			h.state.Value = string(e.GetData())
		}
		h.state.Digest = fmt.Sprintf("%x", rand.NewPCG(uint64(len(h.state.Digest)), digest(h.state.Digest, e)).Uint64())
		h.core.applied = e.GetIndex()
		s.checkApplied(h, e)
		for _, op := range s.clients {
			if op.write && op.host == h && op.index == e.GetIndex() && op.term == e.GetTerm() && op.done == 0 {
				op.done, op.ok = s.now, true
			}
		}
	}
}

func digest(before string, e *wire.LogEntry) uint64 {
	sum := uint64(14695981039346656037)
	for _, b := range fmt.Appendf(nil, "%s/%d/%d/%s", before, e.GetIndex(), e.GetTerm(), e.GetData()) {
		sum = (sum ^ uint64(b)) * 1099511628211
	}
	return sum
}
