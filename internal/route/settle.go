package route

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// settle brings the grants in line with slots, reserve and demand, and returns
// what is to be sent.
func (s *Allocator) settle(now time.Time) []GrantUpdate {
	s.reserve.observe(s.runShort, now)
	s.steps = nil
	s.shrink()
	s.grantFree()
	s.moveToDemand()
	s.widen()
	s.even()
	return s.steps
}

// free returns the slots that are neither running nor granted.
func (s *Allocator) free() int {
	return s.opt.Slots - s.runShort - s.runLong - s.idleAny - s.idleShort
}

// anyRoom returns how many more grants long requests may be allowed to use.
func (s *Allocator) anyRoom() int {
	return s.opt.Slots - s.reserve.slots() - s.runLong - s.idleAny
}

// shrink revokes what exceeds the slots, the reserve or a drain.
func (s *Allocator) shrink() {
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

func (s *Allocator) revokeOne() {
	class := admit.AnySlot
	if s.idleAny == 0 {
		class = admit.ShortSlot
	}
	s.revoke(s.richest(class), class)
}

// grantFree grants every free slot: to the entry with the most pressing
// demand, or evenly if there is none.
func (s *Allocator) grantFree() {
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

// moveToDemand moves idle grants from entries that don't need them to entries
// that do.
func (s *Allocator) moveToDemand() {
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

// widen turns reserved idle grants into ones for any class where the reserve
// allows it and long requests wait.
func (s *Allocator) widen() {
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

// evenGap is the difference in idle grants from which one is moved.
const evenGap = 2

// even moves an idle grant to an entry that has none while another has several.
func (s *Allocator) even() {
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

func (s *Allocator) grant(m *member, class admit.SlotClass) {
	s.last++
	s.turn++
	m.turn = s.turn
	g := Grant{ID: s.last, Entry: m.name, Class: class}
	s.grants[g.ID] = &grantState{Grant: g}
	ids := m.list(class)
	*ids = append(*ids, g.ID)
	s.countIdle(class, 1)
	s.steps = append(s.steps, GrantUpdate{Kind: UpdateGrant, Grant: g})
}

// revoke takes back the newest idle grant of the class, which is the least
// likely to be in use already.
func (s *Allocator) revoke(m *member, class admit.SlotClass) {
	ids := *m.list(class)
	g := s.grants[ids[len(ids)-1]].Grant
	s.forget(m, g)
	s.steps = append(s.steps, GrantUpdate{Kind: UpdateRevoke, Grant: g})
}

func (m *member) pickIdle() Grant {
	if len(m.any) > 0 {
		return Grant{ID: m.any[0], Entry: m.name, Class: admit.AnySlot}
	}
	return Grant{ID: m.short[0], Entry: m.name, Class: admit.ShortSlot}
}

// needy returns the entry with the most unmet demand in the first tier that
// has any, or nil. Ties go to the entry that was served longest ago.
func (s *Allocator) needy(class admit.SlotClass) *member {
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

func moreNeedy(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] > b[i]
		}
	}
	return false
}

func (s *Allocator) longNeedy() *member {
	var best *member
	for _, m := range s.members {
		if n := m.longUnmet(); n > 0 && (best == nil || n > best.longUnmet()) {
			best = m
		}
	}
	return best
}

// surplus returns the entry with the most idle grants beyond its demand.
func (s *Allocator) surplus(class admit.SlotClass) *member {
	var best *member
	for _, m := range s.members {
		if n := m.surplus(class); n > 0 && (best == nil || n > best.surplus(class)) {
			best = m
		}
	}
	return best
}

func (s *Allocator) richest(class admit.SlotClass) *member {
	var best *member
	for _, m := range s.members {
		if best == nil || len(*m.list(class)) > len(*best.list(class)) {
			best = m
		}
	}
	return best
}

func (s *Allocator) poorest(class admit.SlotClass) *member {
	var best *member
	for _, m := range s.members {
		n := len(*m.list(class))
		if best == nil || n < len(*best.list(class)) || (n == len(*best.list(class)) && m.turn < best.turn) {
			best = m
		}
	}
	return best
}
