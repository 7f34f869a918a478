package route

import "github.com/knapweedlug/knapweedlug/internal/admit"

// member is an entry as an agent sees it.
type member struct {
	name   string
	demand admit.Demand
	any    []uint64 // idle grants, oldest first
	short  []uint64
	turn   uint64 // when it was last granted a slot
}

func (m *member) idle() int { return len(m.any) + len(m.short) }

// unmet returns the demand that the idle grants of the member don't cover, as
// counts by tier. Reserved grants cover short requests first.
func (m *member) unmet(class admit.SlotClass) [3]int {
	short, anySlot := len(m.short), len(m.any)
	tiers := [3]admit.Count{m.demand.Guaranteed, m.demand.Urgent, m.demand.Borrowed}
	var out [3]int
	for i, c := range tiers {
		c.Short, short = cover(c.Short, short)
		c.Short, anySlot = cover(c.Short, anySlot)
		c.Long, anySlot = cover(c.Long, anySlot)
		out[i] = c.Short
		if class == admit.AnySlot {
			out[i] += c.Long
		}
	}
	return out
}

func cover(need, have int) (needLeft, haveLeft int) {
	n := min(need, have)
	return need - n, have - n
}

// took counts one request less in the demand, until the next report.
func (m *member) took(c admit.Class) {
	for _, tier := range []*admit.Count{&m.demand.Guaranteed, &m.demand.Urgent, &m.demand.Borrowed} {
		n := &tier.Short
		if c == admit.Long {
			n = &tier.Long
		}
		if *n > 0 {
			*n--
			return
		}
	}
}

// longUnmet returns the long requests that the idle grants don't cover.
func (m *member) longUnmet() int {
	sum := m.demand.ByClass()
	spare := max(0, len(m.any)-max(0, sum.Short-len(m.short)))
	return max(0, sum.Long-spare)
}

// surplus returns the idle grants of a class beyond the demand.
func (m *member) surplus(class admit.SlotClass) int {
	sum := m.demand.ByClass()
	if class == admit.ShortSlot {
		return max(0, len(m.short)-sum.Short)
	}
	return max(0, len(m.any)-sum.Long-max(0, sum.Short-len(m.short)))
}

func (m *member) list(class admit.SlotClass) *[]uint64 {
	if class == admit.ShortSlot {
		return &m.short
	}
	return &m.any
}

func (m *member) forget(g Grant) {
	ids := m.list(g.Class)
	for i, id := range *ids {
		if id == g.ID {
			*ids = append((*ids)[:i], (*ids)[i+1:]...)
			return
		}
	}
}
