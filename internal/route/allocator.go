package route

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// SplitOptions holds the settings of a Split.
type SplitOptions struct {
	Slots      int // slots of the backend server
	Reserve    int // least number of slots kept free of long requests
	ReserveMax int // most slots kept free of long requests; at least Reserve
}

// Split divides the slots of one backend server among the entries. It belongs to
// the agent beside the backend server. It is not safe for concurrent use.
//
// Running requests and idle grants together never exceed the slots, and long
// requests together with the grants that they may use never exceed the slots
// without the reserve, except where a request was started as short and exceeds the
// short limit.
type Split struct {
	opt     SplitOptions
	reserve reserve
	members []*member
	grants  map[uint64]*grantState
	last    uint64 // id of the last grant
	turn    uint64 // sequence number of the last grant
	drain   bool

	idleAny, idleShort int
	runShort, runLong  int
	steps              []Step
}

// NewSplit returns a Split without entries.
func NewSplit(opt SplitOptions) *Split {
	s := &Split{grants: map[uint64]*grantState{}}
	s.configure(opt)
	return s
}

func (s *Split) configure(opt SplitOptions) {
	opt.Reserve = max(0, min(opt.Reserve, opt.Slots))
	opt.ReserveMax = max(opt.Reserve, min(opt.ReserveMax, opt.Slots))
	s.opt = opt
	s.reserve.low, s.reserve.high = opt.Reserve, opt.ReserveMax
}

// Resize changes the number of slots and the bounds of the reserve.
func (s *Split) Resize(opt SplitOptions, now time.Time) []Step {
	s.configure(opt)
	return s.settle(now)
}

// Join adds an entry. It does nothing if the entry is known.
func (s *Split) Join(entry string, now time.Time) []Step {
	if s.member(entry) == nil {
		s.members = append(s.members, &member{name: entry})
	}
	return s.settle(now)
}

// Drop removes an entry with its idle grants. Its running requests keep their slots
// until Free is called for them.
func (s *Split) Drop(entry string, now time.Time) []Step {
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

// Demand sets the numbers of requests that an entry has queued.
func (s *Split) Demand(entry string, d admit.Demand, now time.Time) []Step {
	m := s.member(entry)
	if m == nil {
		return nil
	}
	m.demand = d
	return s.settle(now)
}

// Take starts a request on a grant. If it returns ErrRevoked or ErrReserved, the
// request has not run and never will with this grant.
func (s *Split) Take(id uint64, class admit.Class, now time.Time) ([]Step, error) {
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

// Free ends the request that runs on a grant. The grant ends with it.
func (s *Split) Free(id uint64, now time.Time) []Step {
	g := s.grants[id]
	if g == nil || !g.running {
		return nil
	}
	s.reserve.observe(s.runShort, now)
	s.countRun(g.long, -1)
	delete(s.grants, id)
	return s.settle(now)
}

// Outlive marks a running request as long because it has run for longer than the
// short limit.
func (s *Split) Outlive(id uint64, now time.Time) []Step {
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

// Drain revokes all idle grants and grants no more. Running requests finish.
func (s *Split) Drain(now time.Time) []Step {
	s.drain = true
	return s.settle(now)
}

// Resume grants slots again after Drain.
func (s *Split) Resume(now time.Time) []Step {
	s.drain = false
	return s.settle(now)
}

// Running returns the number of running requests by class.
func (s *Split) Running() admit.Count {
	return admit.Count{Short: s.runShort, Long: s.runLong}
}

// Idle returns the number of idle grants of an entry.
func (s *Split) Idle(entry string) int {
	if m := s.member(entry); m != nil {
		return m.idle()
	}
	return 0
}

// Reserve returns the number of slots currently kept free of long requests.
func (s *Split) Reserve() int { return s.reserve.slots() }

func (s *Split) member(entry string) *member {
	for _, m := range s.members {
		if m.name == entry {
			return m
		}
	}
	return nil
}

func (s *Split) countIdle(class admit.SlotClass, n int) {
	if class == admit.ShortSlot {
		s.idleShort += n
		return
	}
	s.idleAny += n
}

func (s *Split) countRun(long bool, n int) {
	if long {
		s.runLong += n
		return
	}
	s.runShort += n
}

// forget removes an idle grant without a message to its entry.
func (s *Split) forget(m *member, g Grant) {
	m.forget(g)
	s.countIdle(g.Class, -1)
	delete(s.grants, g.ID)
}
