package route

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// AllocatorOptions holds the settings of an Allocator.
type AllocatorOptions struct {
	Slots      int // slots of the backend server
	Reserve    int // least number of slots kept free of long requests
	MaxReserve int // most slots kept free of long requests; at least Reserve
}

// Allocator divides the slots of one backend server among the entries. It belongs to
// the agent beside the backend server. It is not safe for concurrent use.
//
// Running requests and idle grants together never exceed the slots, and long
// requests together with the grants that they may use never exceed the slots
// without the reserve, except where a request was started as short and exceeds the
// short limit.
type Allocator struct {
	opt          AllocatorOptions
	reserve      reserve
	entries      []*entryState
	grants       map[uint64]*grantState
	lastGrantID  uint64 // id of the last grant
	lastGrantSeq uint64 // sequence number of the last grant
	draining     bool

	idleAny, idleShort        int           // numbers of idle grants by slot class
	runningShort, runningLong int           // numbers of running requests by class
	updates                   []GrantUpdate // messages of the current call
}

// NewAllocator returns an Allocator without entries.
func NewAllocator(opt AllocatorOptions) *Allocator {
	a := &Allocator{grants: map[uint64]*grantState{}}
	a.configure(opt)
	return a
}

func (a *Allocator) configure(opt AllocatorOptions) {
	opt.Reserve = max(0, min(opt.Reserve, opt.Slots))
	opt.MaxReserve = max(opt.Reserve, min(opt.MaxReserve, opt.Slots))
	a.opt = opt
	a.reserve.minSlots, a.reserve.maxSlots = opt.Reserve, opt.MaxReserve
}

// Resize changes the number of slots and the bounds of the reserve.
func (a *Allocator) Resize(opt AllocatorOptions, now time.Time) []GrantUpdate {
	a.configure(opt)
	return a.rebalance(now)
}

// AddEntry adds an entry. It does nothing if the entry is known.
func (a *Allocator) AddEntry(entry string, now time.Time) []GrantUpdate {
	if a.findEntry(entry) == nil {
		a.entries = append(a.entries, &entryState{name: entry})
	}
	return a.rebalance(now)
}

// RemoveEntry removes an entry with its idle grants. Its running requests keep their slots
// until Finish is called for them.
func (a *Allocator) RemoveEntry(entry string, now time.Time) []GrantUpdate {
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

// SetDemand sets the numbers of requests that an entry has queued.
func (a *Allocator) SetDemand(entry string, d admit.Demand, now time.Time) []GrantUpdate {
	e := a.findEntry(entry)
	if e == nil {
		return nil
	}
	e.demand = d
	return a.rebalance(now)
}

// Start starts a request on a grant. If it returns ErrRevoked or ErrReserved, the
// request has not run and never will with this grant.
func (a *Allocator) Start(id uint64, class admit.Class, now time.Time) ([]GrantUpdate, error) {
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

// Finish ends the request that runs on a grant. The grant ends with it.
func (a *Allocator) Finish(id uint64, now time.Time) []GrantUpdate {
	g := a.grants[id]
	if g == nil || !g.running {
		return nil
	}
	a.reserve.observe(a.runningShort, now)
	a.addRunning(g.long, -1)
	delete(a.grants, id)
	return a.rebalance(now)
}

// MarkLong marks a running request as long because it has run for longer than the
// short limit.
func (a *Allocator) MarkLong(id uint64, now time.Time) []GrantUpdate {
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
func (a *Allocator) Drain(now time.Time) []GrantUpdate {
	a.draining = true
	return a.rebalance(now)
}

// Resume grants slots again after Drain.
func (a *Allocator) Resume(now time.Time) []GrantUpdate {
	a.draining = false
	return a.rebalance(now)
}

// Running returns the number of running requests by class.
func (a *Allocator) Running() admit.Count {
	return admit.Count{Short: a.runningShort, Long: a.runningLong}
}

// IdleGrants returns the number of idle grants of an entry.
func (a *Allocator) IdleGrants(entry string) int {
	if e := a.findEntry(entry); e != nil {
		return e.idleCount()
	}
	return 0
}

// ReservedSlots returns the number of slots currently kept free of long requests.
func (a *Allocator) ReservedSlots() int { return a.reserve.slots() }

func (a *Allocator) findEntry(entry string) *entryState {
	for _, e := range a.entries {
		if e.name == entry {
			return e
		}
	}
	return nil
}

func (a *Allocator) addIdle(class admit.SlotClass, n int) {
	if class == admit.ShortSlot {
		a.idleShort += n
		return
	}
	a.idleAny += n
}

func (a *Allocator) addRunning(long bool, n int) {
	if long {
		a.runningLong += n
		return
	}
	a.runningShort += n
}

// dropIdle removes an idle grant without a message to its entry.
func (a *Allocator) dropIdle(e *entryState, g Grant) {
	e.removeIdle(g)
	a.addIdle(g.Class, -1)
	delete(a.grants, g.ID)
}
