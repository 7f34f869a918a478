package route

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// rebalance adjusts the grants to the slots, the reserve and the demand, and returns the
// messages to send.
func (a *Allocator) rebalance(now time.Time) []GrantUpdate {
	a.reserve.observe(a.runningShort, now)
	a.updates = nil
	a.revokeExcess()
	a.grantFreeSlots()
	a.moveIdleToDemand()
	a.replaceReserved()
	a.evenOut()
	return a.updates
}

// freeSlots returns the number of slots that neither run a request nor are granted.
// It may be negative after the number of slots was lowered.
func (a *Allocator) freeSlots() int {
	return a.opt.Slots - a.runningShort - a.runningLong - a.idleAny - a.idleShort
}

// anyGrantsLeft returns how many more grants may be for any class. It is negative while
// there are too many.
func (a *Allocator) anyGrantsLeft() int {
	return a.opt.Slots - a.reserve.slots() - a.runningLong - a.idleAny
}

// revokeExcess revokes idle grants: all of them when draining, or else those that exceed
// the slots or would let long requests use the reserve.
func (a *Allocator) revokeExcess() {
	for a.draining && a.idleAny+a.idleShort > 0 {
		a.revokeOne()
	}
	for a.freeSlots() < 0 && a.idleAny+a.idleShort > 0 {
		a.revokeOne()
	}
	for a.anyGrantsLeft() < 0 && a.idleAny > 0 {
		a.revoke(a.mostIdle(admit.AnySlot), admit.AnySlot)
	}
}

// revokeOne revokes an idle grant for any class, or a reserved one if there is no
// other.
func (a *Allocator) revokeOne() {
	class := admit.AnySlot
	if a.idleAny == 0 {
		class = admit.ShortSlot
	}
	a.revoke(a.mostIdle(class), class)
}

// grantFreeSlots grants every free slot: to the entry with the largest unmet demand, or
// evenly if there is none.
func (a *Allocator) grantFreeSlots() {
	if a.draining || len(a.entries) == 0 {
		return
	}
	for a.freeSlots() > 0 {
		class := admit.ShortSlot
		if a.anyGrantsLeft() > 0 {
			class = admit.AnySlot
		}
		e := a.mostUnmet(class)
		if e == nil {
			e = a.fewestIdle(class)
		}
		a.grant(e, class)
	}
}

// moveIdleToDemand moves idle grants from entries that don't need them to entries with
// unmet demand.
func (a *Allocator) moveIdleToDemand() {
	for _, class := range []admit.SlotClass{admit.AnySlot, admit.ShortSlot} {
		for {
			to := a.mostUnmet(class)
			from := a.mostSurplus(class)
			if to == nil || from == nil || to == from {
				break
			}
			a.revoke(from, class)
			a.grant(to, class)
		}
	}
}

// replaceReserved replaces reserved idle grants by grants for any class while long requests
// wait and the reserve allows it.
func (a *Allocator) replaceReserved() {
	for a.idleShort > 0 && a.anyGrantsLeft() > 0 {
		to := a.mostUnmetLong()
		from := a.mostSurplus(admit.ShortSlot)
		if to == nil || from == nil {
			return
		}
		a.revoke(from, admit.ShortSlot)
		a.grant(to, admit.AnySlot)
	}
}

// minEvenOutGrants is the number of idle grants that an entry must have before one is taken
// from it.
const minEvenOutGrants = 2

// evenOut moves an idle grant of each class from an entry that has several to one that
// has none.
func (a *Allocator) evenOut() {
	for _, class := range []admit.SlotClass{admit.AnySlot, admit.ShortSlot} {
		from, to := a.mostSurplus(class), a.fewestIdle(class)
		if from == nil || to == nil || from == to {
			continue
		}
		if len(*to.idleGrants(class)) == 0 && len(*from.idleGrants(class)) >= minEvenOutGrants {
			a.revoke(from, class)
			a.grant(to, class)
		}
	}
}

func (a *Allocator) grant(e *entryState, class admit.SlotClass) {
	a.lastGrantID++
	a.lastGrantSeq++
	e.lastGrantSeq = a.lastGrantSeq
	g := Grant{ID: a.lastGrantID, Entry: e.name, Class: class}
	a.grants[g.ID] = &grantState{Grant: g}
	ids := e.idleGrants(class)
	*ids = append(*ids, g.ID)
	a.addIdle(class, 1)
	a.updates = append(a.updates, GrantUpdate{Kind: UpdateGrant, Grant: g})
}

// revoke takes back the newest idle grant of the class. Entries use the oldest
// first, so the newest is the least likely to be in use already.
func (a *Allocator) revoke(e *entryState, class admit.SlotClass) {
	ids := *e.idleGrants(class)
	g := a.grants[ids[len(ids)-1]].Grant
	a.dropIdle(e, g)
	a.updates = append(a.updates, GrantUpdate{Kind: UpdateRevoke, Grant: g})
}

// oldestIdle returns the oldest idle grant for any class, or else the oldest reserved
// one. There must be one.
func (e *entryState) oldestIdle() Grant {
	if len(e.anyGrants) > 0 {
		return Grant{ID: e.anyGrants[0], Entry: e.name, Class: admit.AnySlot}
	}
	return Grant{ID: e.shortGrants[0], Entry: e.name, Class: admit.ShortSlot}
}

// mostUnmet returns the entry with the largest unmet demand, compared tier by tier, or
// nil if there is none. Of equal entries it returns the one whose last grant is the
// oldest.
func (a *Allocator) mostUnmet(class admit.SlotClass) *entryState {
	var best *entryState
	var bestUnmet [3]int
	for _, e := range a.entries {
		unmet := e.unmetByTier(class)
		if unmet == ([3]int{}) {
			continue
		}
		if best == nil || moreUnmet(unmet, bestUnmet) || (unmet == bestUnmet && e.lastGrantSeq < best.lastGrantSeq) {
			best, bestUnmet = e, unmet
		}
	}
	return best
}

// moreUnmet compares the unmet demand of two entries tier by tier.
func moreUnmet(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] > b[i]
		}
	}
	return false
}

// mostUnmetLong returns the entry with the most long requests that idle grants do not
// cover, or nil.
func (a *Allocator) mostUnmetLong() *entryState {
	var best *entryState
	for _, e := range a.entries {
		if n := e.unmetLong(); n > 0 && (best == nil || n > best.unmetLong()) {
			best = e
		}
	}
	return best
}

// mostSurplus returns the entry with the most idle grants beyond its demand, or nil.
func (a *Allocator) mostSurplus(class admit.SlotClass) *entryState {
	var best *entryState
	for _, e := range a.entries {
		if n := e.surplusGrants(class); n > 0 && (best == nil || n > best.surplusGrants(class)) {
			best = e
		}
	}
	return best
}

// mostIdle returns the entry with the most idle grants of the class.
func (a *Allocator) mostIdle(class admit.SlotClass) *entryState {
	var best *entryState
	for _, e := range a.entries {
		if best == nil || len(*e.idleGrants(class)) > len(*best.idleGrants(class)) {
			best = e
		}
	}
	return best
}

// fewestIdle returns the entry with the fewest idle grants of the class. Of equal
// entries it returns the one whose last grant is the oldest.
func (a *Allocator) fewestIdle(class admit.SlotClass) *entryState {
	var best *entryState
	for _, e := range a.entries {
		n := len(*e.idleGrants(class))
		if best == nil || n < len(*best.idleGrants(class)) || (n == len(*best.idleGrants(class)) && e.lastGrantSeq < best.lastGrantSeq) {
			best = e
		}
	}
	return best
}
