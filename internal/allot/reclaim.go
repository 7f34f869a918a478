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
	return best, found
}

// groupOf names the runs that end together with one that is stopped.
func (p *planner) groupOf(st Stop) jobs.TaskID {
	for i := range p.slots {
		if p.slots[i].w.ID != st.Worker {
			continue
		}
		for _, r := range p.slots[i].w.Runs {
			if r.Task == st.Task {
				return r.group()
			}
		}
	}
	return st.Task
}

// cost returns the work that stops throw away, in seconds of an accelerator. A
// gang counts whole.
func (p *planner) cost(stops []Stop) float64 {
	groups := map[jobs.TaskID]bool{}
	for _, st := range stops {
		groups[p.groupOf(st)] = true
	}
	sum := 0.0
	for i := range p.slots {
		for _, r := range p.slots[i].w.Runs {
			if groups[r.group()] {
				sum += r.Lost.Seconds() * r.Room.weight()
			}
		}
	}
	return sum
}

// evict counts the room of a run, and of those that end with it, as free soon.
func (p *planner) evict(st Stop) {
	group := p.groupOf(st)
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

// claimSingles keeps room for tasks that run one by one: what was kept before,
// then what is free soon, then what is free once other runs have stopped.
func (p *planner) claimSingles(n *Need, missing int, taken map[int]int, before choice) {
	c := choice{}
	keep := func(at, tasks int) {
		if tasks <= 0 {
			return
		}
		p.keep(at, n.Room.Times(tasks))
		c.shares = append(c.shares, share{at, tasks})
		taken[at] += tasks
		missing -= tasks
	}
	for _, sh := range before.shares {
		limit := min(missing, sh.tasks, n.limit(p.slots[sh.slot].w)-taken[sh.slot])
		keep(sh.slot, p.slots[sh.slot].soon.Holds(n.Room, limit))
	}
	for _, stop := range []bool{false, true} {
		if stop && !n.Sure && p.in.Now.Add(n.Work+n.Rest).After(n.Deadline) {
			break
		}
		for i := range p.slots {
			limit := min(missing, n.limit(p.slots[i].w)-taken[i])
			if limit <= 0 || !n.allowed(p.slots[i].w) {
				continue
			}
			if !stop {
				keep(i, p.slots[i].soon.Holds(n.Room, limit))
				continue
			}
			keep(i, p.clearFor(n, i, limit))
		}
	}
	if len(c.shares) > 0 {
		p.note(n, c)
	}
}

// clearFor stops runs on a worker so that some tasks fit there, and returns how
// many. Without a guarantee it throws away less than the tasks work.
func (p *planner) clearFor(n *Need, at, tasks int) int {
	s := &p.slots[at]
	victims, holds, _ := p.cheapest(n, s, tasks)
	var stops []Stop
	for _, r := range victims {
		stops = append(stops, Stop{Worker: s.w.ID, Task: r.Task, Run: r.Run, For: n.Job})
	}
	if !n.Sure && p.cost(stops) > urgency*n.Work.Seconds()*n.Room.weight()*float64(holds) {
		return 0
	}
	for _, st := range stops {
		p.evict(st)
	}
	p.plan.Stops = append(p.plan.Stops, stops...)
	return holds
}
