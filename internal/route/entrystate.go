package route

import "github.com/knapweedlug/knapweedlug/internal/admit"

// entryState holds the state of one entry at the agent.
type entryState struct {
	name         string
	demand       admit.Demand
	anyGrants    []uint64 // ids of idle grants for any class, oldest first
	shortGrants  []uint64 // ids of idle grants reserved for short requests, oldest first
	lastGrantSeq uint64   // sequence number of its last grant
}

func (e *entryState) idleCount() int { return len(e.anyGrants) + len(e.shortGrants) }

// unmetByTier returns the demand that the idle grants of the entry don't cover, as counts
// by tier: guaranteed, urgent, borrowed. Long requests count only for grants of any
// class. Short requests are covered by reserved grants first.
func (e *entryState) unmetByTier(class admit.SlotClass) [3]int {
	shortLeft, anyLeft := len(e.shortGrants), len(e.anyGrants)
	tiers := [3]admit.Count{e.demand.Guaranteed, e.demand.Urgent, e.demand.Borrowed}
	var unmet [3]int
	for i, c := range tiers {
		c.Short, shortLeft = cover(c.Short, shortLeft)
		c.Short, anyLeft = cover(c.Short, anyLeft)
		c.Long, anyLeft = cover(c.Long, anyLeft)
		unmet[i] = c.Short
		if class == admit.AnySlot {
			unmet[i] += c.Long
		}
	}
	return unmet
}

// cover returns what is left of need and have after they are set off against each
// other.
func cover(need, have int) (needLeft, haveLeft int) {
	n := min(need, have)
	return need - n, have - n
}

// requestStarted removes one request from the demand because it was started. The next report
// of the entry replaces the demand.
func (e *entryState) requestStarted(c admit.Class) {
	for _, tier := range []*admit.Count{&e.demand.Guaranteed, &e.demand.Urgent, &e.demand.Borrowed} {
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

// unmetLong returns the number of long requests that the idle grants don't cover.
func (e *entryState) unmetLong() int {
	sum := e.demand.ByClass()
	spare := max(0, len(e.anyGrants)-max(0, sum.Short-len(e.shortGrants)))
	return max(0, sum.Long-spare)
}

// surplusGrants returns the number of idle grants of a class that the demand of the entry
// does not need.
func (e *entryState) surplusGrants(class admit.SlotClass) int {
	sum := e.demand.ByClass()
	if class == admit.ShortSlot {
		return max(0, len(e.shortGrants)-sum.Short)
	}
	return max(0, len(e.anyGrants)-sum.Long-max(0, sum.Short-len(e.shortGrants)))
}

// idleGrants returns the ids of the idle grants of a class.
func (e *entryState) idleGrants(class admit.SlotClass) *[]uint64 {
	if class == admit.ShortSlot {
		return &e.shortGrants
	}
	return &e.anyGrants
}

// removeIdle removes an idle grant from the list of its class.
func (e *entryState) removeIdle(g Grant) {
	ids := e.idleGrants(g.Class)
	for i, id := range *ids {
		if id == g.ID {
			*ids = append((*ids)[:i], (*ids)[i+1:]...)
			return
		}
	}
}
