package allot

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// yields tells whether a run has to make room for a need.
func (p *planner) yields(n *Need, r Run) bool {
	if r.Stopping || r.Sure || p.gone[r.group()] {
		return false
	}
	return r.Priority > n.Priority || n.Sure
}

// reclaimGang returns the placement that throws away least if runs of less
// importance are stopped.
func (p *planner) reclaimGang(n *Need) (choice, bool) {
	best, found := choice{}, false
	for _, rack := range append(slices.Clone(p.racks), "") {
		c, ok := p.clear(n, rack)
		if ok && (!found || c.better(best)) {
			best, found = c, true
		}
	}
	if found {
		for _, st := range best.stops {
			p.evict(st)
		}
	}
	return best, found
}

// evict counts the room of a run, and of those that end with it, as free soon.
func (p *planner) evict(st Stop) {
	var group jobs.TaskID
	for i := range p.slots {
		for _, r := range p.slots[i].w.Runs {
			if p.slots[i].w.ID == st.Worker && r.Task == st.Task {
				group = r.group()
			}
		}
	}
	if p.gone[group] {
		return
	}
	p.gone[group] = true
	for i := range p.slots {
		for _, r := range p.slots[i].w.Runs {
			if r.group() == group && !r.Stopping {
				p.slots[i].soon = p.slots[i].soon.Plus(r.Room)
			}
		}
	}
}

// clear places a gang in a rack by stopping runs there. Workers that need the
// least thrown away for each task come first.
func (p *planner) clear(n *Need, rack string) (choice, bool) {
	type candidate struct {
		slot, holds int
		stops       []Run
		lost        time.Duration
	}
	var cands []candidate
	for i := range p.slots {
		s := &p.slots[i]
		if !n.allowed(s.w) || (rack != "" && s.w.Rack != rack) {
			continue
		}
		limit := min(len(n.Indexes), n.limit(s.w))
		stops, holds, lost := p.cheapest(n, s, limit)
		if holds > 0 {
			cands = append(cands, candidate{i, holds, stops, lost})
		}
	}
	slices.SortFunc(cands, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.lost/time.Duration(a.holds), b.lost/time.Duration(b.holds)), -cmp.Compare(a.holds, b.holds), cmp.Compare(a.slot, b.slot))
	})
	left, worst := len(n.Indexes), 0.0
	c := choice{}
	racks := map[string]bool{}
	for _, cand := range cands {
		k := min(left, cand.holds)
		s := &p.slots[cand.slot]
		c.shares = append(c.shares, share{cand.slot, k})
		racks[s.w.Rack] = true
		worst = max(worst, p.factor(n, s.w))
		// Fewer tasks than the worker could hold need fewer stops.
		stops, _, lost := p.cheapest(n, s, k)
		c.lost += lost
		for _, r := range stops {
			c.stops = append(c.stops, Stop{Worker: s.w.ID, Task: r.Task, Run: r.Run, For: n.Job})
		}
		if left -= k; left == 0 {
			break
		}
	}
	if left > 0 {
		return choice{}, false
	}
	if n.Compact && len(racks) > 1 {
		worst *= p.in.Remote
	}
	c.took = stretch(n.Work, worst)
	return c, true
}

// cheapest returns the runs of a worker to stop so that a number of tasks fit,
// or as many as can, and the work that they throw away.
func (p *planner) cheapest(n *Need, s *slot, tasks int) ([]Run, int, time.Duration) {
	var victims []Run
	for _, r := range s.w.Runs {
		if p.yields(n, r) {
			victims = append(victims, r)
		}
	}
	slices.SortFunc(victims, func(a, b Run) int {
		return cmp.Or(-cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Lost, b.Lost), cmp.Compare(a.Task.String(), b.Task.String()))
	})
	room := s.soon
	var stops []Run
	for _, r := range victims {
		if room.Holds(n.Room, tasks) >= tasks {
			break
		}
		room = room.Plus(r.Room)
		stops = append(stops, r)
	}
	holds := room.Holds(n.Room, tasks)
	if holds == 0 {
		return nil, 0, 0
	}
	// A run whose room wasn't needed after all stays.
	kept := stops[:0]
	lost := time.Duration(0)
	for _, r := range stops {
		if room.Minus(r.Room).Holds(n.Room, holds) >= holds {
			room = room.Minus(r.Room)
			continue
		}
		kept = append(kept, r)
		lost += r.Lost
	}
	return kept, holds, lost
}

// reclaimSingles makes room for tasks that run one by one.
func (p *planner) reclaimSingles(n *Need, missing int, taken map[int]int) {
	for i := range p.slots {
		s := &p.slots[i]
		if missing == 0 {
			return
		}
		if !n.allowed(s.w) {
			continue
		}
		limit := min(missing, n.limit(s.w)-taken[i])
		if limit <= 0 {
			continue
		}
		stops, holds, _ := p.cheapest(n, s, limit)
		if holds == 0 {
			continue
		}
		for _, r := range stops {
			st := Stop{Worker: s.w.ID, Task: r.Task, Run: r.Run, For: n.Job}
			p.evict(st)
			p.plan.Stops = append(p.plan.Stops, st)
		}
		for range holds {
			p.keep(i, n.Room)
		}
		missing -= holds
	}
}
