package allot

import (
	"cmp"
	"slices"
	"time"
)

// freeIn returns after which time the given number of tasks fit into a rack at once, from the expected
// ends of the runs there. An empty rack name means all racks.
func (p *planner) freeIn(n *Need, rack string, tasks int) (time.Duration, bool) {
	type end struct {
		at   time.Duration
		slot int
		room Room
	}
	var ends []end
	free := map[int]Room{}
	for i := range p.slots {
		s := &p.slots[i]
		if !n.allowed(s.w) || (rack != "" && s.w.Rack != rack) {
			continue
		}
		free[i] = s.free()
		for _, r := range s.w.Runs {
			if !r.Lasts {
				ends = append(ends, end{r.Left, i, r.Room})
			}
		}
	}
	fits := func() bool {
		left := tasks
		for i, f := range free {
			left -= f.Holds(n.Room, min(left, n.limit(p.slots[i].w)))
			if left <= 0 {
				return true
			}
		}
		return false
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.slot, b.slot)) })
	for _, e := range ends {
		free[e.slot] = free[e.slot].Plus(e.room)
		if fits() {
			return e.at, true
		}
	}
	return 0, false
}

// racksAndAll returns the names of the racks and "", which means all of them.
func (p *planner) racksAndAll() []string { return append(slices.Clone(p.racks), "") }

// soonest returns the rack in which a gang fits first as runs end, and after which time. An empty rack
// name means all racks.
func (p *planner) soonest(n *Need) (string, time.Duration, bool) {
	racks := []string{""}
	switch {
	case n.DataRack != "":
		racks = []string{n.DataRack}
	case n.Compact:
		racks = p.racks
	}
	best, rack, found := time.Duration(0), "", false
	for _, r := range racks {
		if wait, ok := p.freeIn(n, r, len(n.Indexes)); ok && (!found || wait < best) {
			best, rack, found = wait, r, true
		}
	}
	return rack, best, found
}

// reserve keeps the free resources of the workers that an urgent gang waits for from less important
// steps.
func (p *planner) reserve(n *Need, rack string) {
	if n.Priority > urgent {
		return
	}
	left := len(n.Indexes)
	type candidate struct {
		slot, holds int
		ends        time.Duration
	}
	var cands []candidate
	for i := range p.slots {
		s := &p.slots[i]
		if !n.allowed(s.w) || (rack != "" && s.w.Rack != rack) {
			continue
		}
		if h := s.w.Size.Holds(n.Room, min(left, n.limit(s.w))); h > 0 {
			cands = append(cands, candidate{i, h, p.ends(s, n.Room.Times(h))})
		}
	}
	slices.SortFunc(cands, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.ends, b.ends), cmp.Compare(a.slot, b.slot)) })
	for _, c := range cands {
		if left <= 0 {
			return
		}
		k := min(left, c.holds)
		left -= k
		p.keep(c.slot, n.Room.Times(k))
	}
}

// urgent is the highest priority number for which resources are kept or runs are stopped without a
// guarantee.
const urgent = 0

// ends returns after which time a slot has the given resources free, from the expected ends of its
// runs.
func (p *planner) ends(s *slot, room Room) time.Duration {
	runs := slices.Clone(s.w.Runs)
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.Left, b.Left) })
	free := s.free()
	if free.Holds(room, 1) == 1 {
		return 0
	}
	for _, r := range runs {
		free = free.Plus(r.Room)
		if free.Holds(room, 1) == 1 {
			return r.Left
		}
	}
	return time.Hour
}
