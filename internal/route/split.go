package route

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// AllocatorOptions are the settings of a Split.
type AllocatorOptions struct {
	Slots      int // slots of the backend server
	Reserve    int // slots that long requests never take
	MaxReserve int // slots that the reserve may grow to; at least Reserve
}

// Allocator shares the slots of one backend server among the entries. The agent
// beside the backend server owns it. It is not safe for concurrent use.
//
// Running requests and idle grants together never exceed the slots, and long
// requests together with the grants that they may use never exceed the slots
// without the reserve, except where a request outlives the short class.
type Allocator struct {
	opt     AllocatorOptions
	reserve reserve
	members []*member
	grants  map[uint64]*grantState
	last    uint64 // last grant id
	turn    uint64
	drain   bool

	idleAny, idleShort int
	runShort, runLong  int
	steps              []GrantUpdate
}

// NewAllocator returns a split without entries.
func NewAllocator(opt AllocatorOptions) *Allocator {
	s := &Allocator{grants: map[uint64]*grantState{}}
	s.configure(opt)
	return s
}

func (s *Allocator) configure(opt AllocatorOptions) {
	opt.Reserve = max(0, min(opt.Reserve, opt.Slots))
	opt.MaxReserve = max(opt.Reserve, min(opt.MaxReserve, opt.Slots))
	s.opt = opt
	s.reserve.low, s.reserve.high = opt.Reserve, opt.MaxReserve
}

// Resize changes the slots and the reserve.
func (s *Allocator) Resize(opt AllocatorOptions, now time.Time) []GrantUpdate {
	s.configure(opt)
	return s.settle(now)
}

// AddEntry adds an entry. A second join of the same entry changes nothing.
func (s *Allocator) AddEntry(entry string, now time.Time) []GrantUpdate {
	if s.member(entry) == nil {
		s.members = append(s.members, &member{name: entry})
	}
	return s.settle(now)
}

// RemoveEntry removes an entry with its idle grants. What it runs keeps its slots
// until Free.
func (s *Allocator) RemoveEntry(entry string, now time.Time) []GrantUpdate {
	for i, m := range s.members {
		if m.name != entry {
			continue
		}
		s.members = append(s.members[:i], s.members[i+1:]...)
		for m.idle() > 0 {
			s.forget(m, m.pickIdle())
		}
		break
	}
	return s.settle(now)
}

// SetDemand replaces what an entry has queued.
func (s *Allocator) SetDemand(entry string, d admit.Demand, now time.Time) []GrantUpdate {
	m := s.member(entry)
	if m == nil {
		return nil
	}
	m.demand = d
	return s.settle(now)
}

// Start starts a request on a grant. On ErrRevoked and ErrReserved the request
// has not run, and with the same grant it never will.
func (s *Allocator) Start(id uint64, class admit.Class, now time.Time) ([]GrantUpdate, error) {
	g := s.grants[id]
	if g == nil || g.running {
		return nil, ErrRevoked
	}
	m := s.member(g.Entry)
	if !g.Class.Accepts(class) {
		s.forget(m, g.Grant)
		return s.settle(now), ErrReserved
	}
	s.reserve.observe(s.runShort, now)
	m.forget(g.Grant)
	s.countIdle(g.Class, -1)
	m.took(class)
	g.running = true
	g.long = class == admit.Long
	s.countRun(g.long, 1)
	return s.settle(now), nil
}

// Finish ends the request that runs on a grant.
func (s *Allocator) Finish(id uint64, now time.Time) []GrantUpdate {
	g := s.grants[id]
	if g == nil || !g.running {
		return nil
	}
	s.reserve.observe(s.runShort, now)
	s.countRun(g.long, -1)
	delete(s.grants, id)
	return s.settle(now)
}

// MarkLong accounts a running request as long because it has run for longer
// than the short limit.
func (s *Allocator) MarkLong(id uint64, now time.Time) []GrantUpdate {
	g := s.grants[id]
	if g == nil || !g.running || g.long {
		return nil
	}
	s.reserve.observe(s.runShort, now)
	s.countRun(false, -1)
	g.long = true
	s.countRun(true, 1)
	return s.settle(now)
}

// Drain revokes every idle grant and grants no more. What runs finishes.
func (s *Allocator) Drain(now time.Time) []GrantUpdate {
	s.drain = true
	return s.settle(now)
}

// Resume grants slots again after Drain.
func (s *Allocator) Resume(now time.Time) []GrantUpdate {
	s.drain = false
	return s.settle(now)
}

// Running returns the number of running requests by class.
func (s *Allocator) Running() admit.Count {
	return admit.Count{Short: s.runShort, Long: s.runLong}
}

// IdleGrants returns the number of idle grants of an entry.
func (s *Allocator) IdleGrants(entry string) int {
	if m := s.member(entry); m != nil {
		return m.idle()
	}
	return 0
}

// ReservedSlots returns the number of slots now kept free of long requests.
func (s *Allocator) ReservedSlots() int { return s.reserve.slots() }

func (s *Allocator) member(entry string) *member {
	for _, m := range s.members {
		if m.name == entry {
			return m
		}
	}
	return nil
}

func (s *Allocator) countIdle(class admit.SlotClass, n int) {
	if class == admit.ShortSlot {
		s.idleShort += n
		return
	}
	s.idleAny += n
}

func (s *Allocator) countRun(long bool, n int) {
	if long {
		s.runLong += n
		return
	}
	s.runShort += n
}

// forget drops an idle grant without telling its entry.
func (s *Allocator) forget(m *member, g Grant) {
	m.forget(g)
	s.countIdle(g.Class, -1)
	delete(s.grants, g.ID)
}
