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
	opt          SplitOptions
	reserve      reserve
	entries      []*entryState
	grants       map[uint64]*grantState
	lastGrantID  uint64 // id of the last grant
	lastGrantSeq uint64 // sequence number of the last grant
	draining     bool

	idleAny, idleShort        int
	runningShort, runningLong int
	steps                     []Step
}

// NewSplit returns a Split without entries.
func NewSplit(opt SplitOptions) *Split {
	a := &Split{grants: map[uint64]*grantState{}}
	a.configure(opt)
	return a
}

func (a *Split) configure(opt SplitOptions) {
	opt.Reserve = max(0, min(opt.Reserve, opt.Slots))
	opt.ReserveMax = max(opt.Reserve, min(opt.ReserveMax, opt.Slots))
	a.opt = opt
	a.reserve.minSlots, a.reserve.maxSlots = opt.Reserve, opt.ReserveMax
}

// Resize changes the number of slots and the bounds of the reserve.
func (a *Split) Resize(opt SplitOptions, now time.Time) []Step {
	a.configure(opt)
	return a.rebalance(now)
}

// Join adds an entry. It does nothing if the entry is known.
func (a *Split) Join(entry string, now time.Time) []Step {
	if a.findEntry(entry) == nil {
		a.entries = append(a.entries, &entryState{name: entry})
	}
	return a.rebalance(now)
}

// Drop removes an entry with its idle grants. Its running requests keep their slots
// until Free is called for them.
func (a *Split) Drop(entry string, now time.Time) []Step {
	for i, e := range a.entries {
		if e.name != entry {
			continue
		}
		a.entries = append(a.entries[:i], a.entries[i+1:]...)
		for e.idleCount() > 0 {
			a.dropIdle(e, e.oldestIdle())
		}
		break
	}
	return a.rebalance(now)
}

// Demand sets the numbers of requests that an entry has queued.
func (a *Split) Demand(entry string, d admit.Demand, now time.Time) []Step {
	e := a.findEntry(entry)
	if e == nil {
		return nil
	}
	e.demand = d
	return a.rebalance(now)
}

// Take starts a request on a grant. If it returns ErrRevoked or ErrReserved, the
// request has not run and never will with this grant.
func (a *Split) Take(id uint64, class admit.Class, now time.Time) ([]Step, error) {
	g := a.grants[id]
	if g == nil || g.running {
		return nil, ErrRevoked
	}
	e := a.findEntry(g.Entry)
	if !g.Class.Accepts(class) {
		a.dropIdle(e, g.Grant)
		return a.rebalance(now), ErrReserved
	}
	a.reserve.observe(a.runningShort, now)
	e.removeIdle(g.Grant)
	a.addIdle(g.Class, -1)
	e.requestStarted(class)
	g.running = true
	g.long = class == admit.Long
	a.addRunning(g.long, 1)
	return a.rebalance(now), nil
}

// Free ends the request that runs on a grant. The grant ends with it.
func (a *Split) Free(id uint64, now time.Time) []Step {
	g := a.grants[id]
	if g == nil || !g.running {
		return nil
	}
	a.reserve.observe(a.runningShort, now)
	a.addRunning(g.long, -1)
	delete(a.grants, id)
	return a.rebalance(now)
}

// Outlive marks a running request as long because it has run for longer than the
// short limit.
func (a *Split) Outlive(id uint64, now time.Time) []Step {
	g := a.grants[id]
	if g == nil || !g.running || g.long {
		return nil
	}
	a.reserve.observe(a.runningShort, now)
	a.addRunning(false, -1)
	g.long = true
	a.addRunning(true, 1)
	return a.rebalance(now)
}

// Drain revokes all idle grants and grants no more. Running requests finish.
func (a *Split) Drain(now time.Time) []Step {
	a.draining = true
	return a.rebalance(now)
}

// Resume grants slots again after Drain.
func (a *Split) Resume(now time.Time) []Step {
	a.draining = false
	return a.rebalance(now)
}

// Running returns the number of running requests by class.
func (a *Split) Running() admit.Count {
	return admit.Count{Short: a.runningShort, Long: a.runningLong}
}

// Idle returns the number of idle grants of an entry.
func (a *Split) Idle(entry string) int {
	if e := a.findEntry(entry); e != nil {
		return e.idleCount()
	}
	return 0
}

// Reserve returns the number of slots currently kept free of long requests.
func (a *Split) Reserve() int { return a.reserve.slots() }

func (a *Split) findEntry(entry string) *entryState {
	for _, e := range a.entries {
		if e.name == entry {
			return e
		}
	}
	return nil
}

func (a *Split) addIdle(class admit.SlotClass, n int) {
	if class == admit.ShortSlot {
		a.idleShort += n
		return
	}
	a.idleAny += n
}

func (a *Split) addRunning(long bool, n int) {
	if long {
		a.runningLong += n
		return
	}
	a.runningShort += n
}

// dropIdle removes an idle grant without a message to its entry.
func (a *Split) dropIdle(e *entryState, g Grant) {
	e.removeIdle(g)
	a.addIdle(g.Class, -1)
	delete(a.grants, g.ID)
}
