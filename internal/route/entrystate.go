package route

import "github.com/knapweedlug/knapweedlug/internal/admit"

// member holds the state of one entry at the agent.
type member struct {
	name   string
	demand admit.Demand
	any    []uint64 // ids of idle grants for any class, oldest first
	short  []uint64 // ids of idle grants reserved for short requests, oldest first
	turn   uint64   // sequence number of its last grant
}

func (m *member) idle() int { return len(m.any) + len(m.short) }

// unmet returns the demand that the idle grants of the entry don't cover, as counts
// by tier: guaranteed, urgent, borrowed. Long requests count only for grants of any
// class. Short requests are covered by reserved grants first.
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

// cover returns what is left of need and have after they are set off against each
// other.
func cover(need, have int) (needLeft, haveLeft int) {
	n := min(need, have)
	return need - n, have - n
}

// took removes one request from the demand because it was started. The next report
// of the entry replaces the demand.
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

// longUnmet returns the number of long requests that the idle grants don't cover.
func (m *member) longUnmet() int {
	sum := m.demand.ByClass()
	spare := max(0, len(m.any)-max(0, sum.Short-len(m.short)))
	return max(0, sum.Long-spare)
}

// surplus returns the number of idle grants of a class that the demand of the entry
// does not need.
func (m *member) surplus(class admit.SlotClass) int {
	sum := m.demand.ByClass()
	if class == admit.ShortSlot {
		return max(0, len(m.short)-sum.Short)
	}
	return max(0, len(m.any)-sum.Long-max(0, sum.Short-len(m.short)))
}

// list returns the ids of the idle grants of a class.
func (m *member) list(class admit.SlotClass) *[]uint64 {
	if class == admit.ShortSlot {
		return &m.short
	}
	return &m.any
}

// forget removes an idle grant from the list of its class.
func (m *member) forget(g Grant) {
	ids := m.list(g.Class)
	for i, id := range *ids {
		if id == g.ID {
			*ids = append((*ids)[:i], (*ids)[i+1:]...)
			return
		}
	}
}
