package allot

import (
	"cmp"
	"slices"
)

// victim is a run that may be stopped to free resources, with the group that ends with it.
type victim struct {
	*Run
	group *group
}

// yields reports whether a run may be stopped for a step. Long-running tasks serve users of their own,
// so only a guarantee ends them.
func (v victim) yields(n *Need) bool {
	switch {
	case v.Stopping || v.Sure || v.group.gone:
		return false
	case v.Lasts:
		return n.Sure
	}
	return v.Priority > n.Priority || n.Sure
}

// cost returns the utility lost by stopping the runs. A gang counts once.
func cost(victims []victim) float64 {
	sum := 0.0
	for i, v := range victims {
		if !slices.ContainsFunc(victims[:i], func(o victim) bool { return o.group == v.group }) {
			sum += v.group.loss
		}
	}
	return sum
}

// evict stops runs for a job. The resources of all runs in their groups count as free soon.
func (p *planner) evict(job string, victims []victim) {
	for _, v := range victims {
		p.plan.Stops = append(p.plan.Stops, Stop{Worker: p.slots[v.group.slotOf(v.Run)].w.ID, Task: v.Task, Run: v.Run.Run, For: job})
		if v.group.gone {
			continue
		}
		v.group.gone = true
		for i, r := range v.group.runs {
			s := &p.slots[v.group.slots[i]]
			s.soon = s.soon.Plus(r.Room)
		}
	}
}

// slotOf returns the index of the slot that a run of the group is on.
func (g *group) slotOf(r *Run) int { return g.slots[slices.Index(g.runs, r)] }

// cleared is the number of a step's tasks that a worker could hold if runs on it were stopped.
type cleared struct {
	slot, holds int
	loss        float64
}

// clearings returns for each worker how many tasks of a step it could hold if runs were stopped, in
// the order of the loss for each task.
func (p *planner) clearings(n *Need) []cleared {
	var list []cleared
	for i := range p.slots {
		s := &p.slots[i]
		if !n.allowed(s.w) {
			continue
		}
		limit := min(len(n.Indexes), n.limit(s.w))
		if victims, holds := cheapest(n, s, limit); holds > 0 {
			list = append(list, cleared{i, holds, cost(victims) + p.slowness(n, s, holds)})
		}
	}
	slices.SortFunc(list, func(a, b cleared) int {
		return cmp.Or(cmp.Compare(a.loss/float64(a.holds), b.loss/float64(b.holds)), -cmp.Compare(a.holds, b.holds), cmp.Compare(a.slot, b.slot))
	})
	return list
}

// clear places a gang in a rack by stopping runs there, on the workers with the least loss for each
// task first.
func (p *planner) clear(n *Need, rack string, list []cleared) (choice, bool) {
	left := len(n.Indexes)
	c := choice{}
	for _, cl := range list {
		s := &p.slots[cl.slot]
		if rack != "" && s.w.Rack != rack {
			continue
		}
		k := min(left, cl.holds)
		c.shares = append(c.shares, share{cl.slot, k})
		// Fewer tasks than the worker could hold need fewer stops.
		victims, _ := cheapest(n, s, k)
		c.victims = append(c.victims, victims...)
		if left -= k; left == 0 {
			break
		}
	}
	c.took = p.took(n, c)
	return c, left == 0
}

// cheapest returns the runs of a worker to stop so that the given number of tasks fit, or as many as
// possible.
func cheapest(n *Need, s *slot, tasks int) ([]victim, int) {
	room := s.soon
	var stops []victim
	for _, v := range s.victims {
		if !v.yields(n) {
			continue
		}
		if room.Holds(n.Room, tasks) >= tasks {
			break
		}
		room = room.Plus(v.Room)
		stops = append(stops, v)
	}
	holds := room.Holds(n.Room, tasks)
	if holds == 0 {
		return nil, 0
	}
	// Runs that don't have to be stopped after all are kept.
	kept := make([]victim, 0, len(stops))
	for _, v := range slices.Backward(stops) {
		if room.Minus(v.Room).Holds(n.Room, holds) >= holds {
			room = room.Minus(v.Room)
			continue
		}
		kept = append(kept, v)
	}
	return kept, holds
}

// slowness returns the utility lost if tasks of a step run on this worker instead of one of the usual
// speed.
func (p *planner) slowness(n *Need, s *slot, tasks int) float64 {
	f := p.factor(n, s.w)
	return (p.utility(n, 0, n.Work) - p.utility(n, 0, stretch(n.Work, f))) * float64(tasks) / float64(len(n.Indexes))
}
