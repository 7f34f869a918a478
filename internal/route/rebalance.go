package route

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// settle adjusts the grants to the slots, the reserve and the demand, and returns the
// messages to send.
func (s *Split) settle(now time.Time) []Step {
	s.reserve.observe(s.runShort, now)
	s.steps = nil
	s.shrink()
	s.grantFree()
	s.moveToDemand()
	s.widen()
	s.even()
	return s.steps
}

// free returns the number of slots that neither run a request nor are granted. It is
// negative after the number of slots was lowered.
func (s *Split) free() int {
	return s.opt.Slots - s.runShort - s.runLong - s.idleAny - s.idleShort
}

// anyRoom returns how many more grants may be for any class. It is negative while
// there are too many.
func (s *Split) anyRoom() int {
	return s.opt.Slots - s.reserve.slots() - s.runLong - s.idleAny
}

// shrink revokes idle grants: all of them when draining, or else those that exceed
// the slots or would let long requests use the reserve.
func (s *Split) shrink() {
	for s.drain && s.idleAny+s.idleShort > 0 {
		s.revokeOne()
	}
	for s.free() < 0 && s.idleAny+s.idleShort > 0 {
		s.revokeOne()
	}
	for s.anyRoom() < 0 && s.idleAny > 0 {
		s.revoke(s.richest(admit.AnySlot), admit.AnySlot)
	}
}

// revokeOne revokes an idle grant for any class, or a reserved one if there is no
// other.
func (s *Split) revokeOne() {
	class := admit.AnySlot
	if s.idleAny == 0 {
		class = admit.ShortSlot
	}
	s.revoke(s.richest(class), class)
}

// grantFree grants every free slot: to the entry with the largest unmet demand, or
// evenly if there is none.
func (s *Split) grantFree() {
	if s.drain || len(s.members) == 0 {
		return
	}
	for s.free() > 0 {
		class := admit.ShortSlot
		if s.anyRoom() > 0 {
			class = admit.AnySlot
		}
		m := s.needy(class)
		if m == nil {
			m = s.poorest(class)
		}
		s.grant(m, class)
	}
}

// moveToDemand moves idle grants from entries that don't need them to entries with
// unmet demand.
func (s *Split) moveToDemand() {
	for _, class := range []admit.SlotClass{admit.AnySlot, admit.ShortSlot} {
		for {
			to := s.needy(class)
			from := s.surplus(class)
			if to == nil || from == nil || to == from {
				break
			}
			s.revoke(from, class)
			s.grant(to, class)
		}
	}
}

// widen replaces reserved idle grants by grants for any class while long requests
// wait and the reserve allows it.
func (s *Split) widen() {
	for s.idleShort > 0 && s.anyRoom() > 0 {
		to := s.longNeedy()
		from := s.surplus(admit.ShortSlot)
		if to == nil || from == nil {
			return
		}
		s.revoke(from, admit.ShortSlot)
		s.grant(to, admit.AnySlot)
	}
}

// evenGap is the number of idle grants that an entry must have before one is taken
// from it.
const evenGap = 2

// even moves an idle grant of each class from an entry that has several to one that
// has none.
func (s *Split) even() {
	for _, class := range []admit.SlotClass{admit.AnySlot, admit.ShortSlot} {
		from, to := s.surplus(class), s.poorest(class)
		if from == nil || to == nil || from == to {
			continue
		}
		if len(*to.list(class)) == 0 && len(*from.list(class)) >= evenGap {
			s.revoke(from, class)
			s.grant(to, class)
		}
	}
}

func (s *Split) grant(m *member, class admit.SlotClass) {
	s.last++
	s.turn++
	m.turn = s.turn
	g := Grant{ID: s.last, Entry: m.name, Class: class}
	s.grants[g.ID] = &grantState{Grant: g}
	ids := m.list(class)
	*ids = append(*ids, g.ID)
	s.countIdle(class, 1)
	s.steps = append(s.steps, Step{Kind: StepGrant, Grant: g})
}

// revoke takes back the newest idle grant of the class. Entries use the oldest
// first, so the newest is the least likely to be in use already.
func (s *Split) revoke(m *member, class admit.SlotClass) {
	ids := *m.list(class)
	g := s.grants[ids[len(ids)-1]].Grant
	s.forget(m, g)
	s.steps = append(s.steps, Step{Kind: StepRevoke, Grant: g})
}

// pickIdle returns the oldest idle grant for any class, or else the oldest reserved
// one. There must be one.
func (m *member) pickIdle() Grant {
	if len(m.any) > 0 {
		return Grant{ID: m.any[0], Entry: m.name, Class: admit.AnySlot}
	}
	return Grant{ID: m.short[0], Entry: m.name, Class: admit.ShortSlot}
}

// needy returns the entry with the largest unmet demand, compared tier by tier, or
// nil if there is none. Of equal entries it returns the one whose last grant is the
// oldest.
func (s *Split) needy(class admit.SlotClass) *member {
	var best *member
	var most [3]int
	for _, m := range s.members {
		unmet := m.unmet(class)
		if unmet == ([3]int{}) {
			continue
		}
		if best == nil || moreNeedy(unmet, most) || (unmet == most && m.turn < best.turn) {
			best, most = m, unmet
		}
	}
	return best
}

// moreNeedy compares the unmet demand of two entries tier by tier.
func moreNeedy(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] > b[i]
		}
	}
	return false
}

// longNeedy returns the entry with the most long requests that idle grants do not
// cover, or nil.
func (s *Split) longNeedy() *member {
	var best *member
	for _, m := range s.members {
		if n := m.longUnmet(); n > 0 && (best == nil || n > best.longUnmet()) {
			best = m
		}
	}
	return best
}

// surplus returns the entry with the most idle grants beyond its demand, or nil.
func (s *Split) surplus(class admit.SlotClass) *member {
	var best *member
	for _, m := range s.members {
		if n := m.surplus(class); n > 0 && (best == nil || n > best.surplus(class)) {
			best = m
		}
	}
	return best
}

// richest returns the entry with the most idle grants of the class.
func (s *Split) richest(class admit.SlotClass) *member {
	var best *member
	for _, m := range s.members {
		if best == nil || len(*m.list(class)) > len(*best.list(class)) {
			best = m
		}
	}
	return best
}

// poorest returns the entry with the fewest idle grants of the class. Of equal
// entries it returns the one whose last grant is the oldest.
func (s *Split) poorest(class admit.SlotClass) *member {
	var best *member
	for _, m := range s.members {
		n := len(*m.list(class))
		if best == nil || n < len(*best.list(class)) || (n == len(*best.list(class)) && m.turn < best.turn) {
			best = m
		}
	}
	return best
}
