package allot

import (
	"cmp"
	"slices"
)

// victim is a run that may be stopped to free resources, with the group that ends with it.
type victim struct {
	*Run
	group *runGroup
}

// stoppableFor reports whether a run may be stopped for a step. Long-running tasks serve users of their own,
// so only a guarantee ends them.
func (v victim) stoppableFor(step *PendingStep) bool {
	switch {
	case v.Stopping || v.Guaranteed || v.group.stopped:
		return false
	case v.LongRunning:
		return step.Guaranteed
	}
	return v.Priority > step.Priority || step.Guaranteed
}

// stopPricing returns what the stop of a group counts for on one of its workers when workers are compared.
type stopPricing func(g *runGroup) float64

// wholeLoss counts the group's loss on each of its workers. It favours workers that are cheap by themselves.
func wholeLoss(g *runGroup) float64 { return g.loss }

// lossPerMember shares the group's loss among its runs. It favours a gang that covers several of the workers
// needed, since stopping it clears all of them.
func lossPerMember(g *runGroup) float64 { return g.loss / float64(len(g.runs)) }

// stopCost returns the utility lost by stopping the runs. A gang counts once.
func stopCost(victims []victim, pricing stopPricing) float64 {
	sum := 0.0
	for i, v := range victims {
		if !slices.ContainsFunc(victims[:i], func(o victim) bool { return o.group == v.group }) {
			sum += pricing(v.group)
		}
	}
	return sum
}

// stopRuns stops runs for a job, or for ForShutdown. The resources of all runs in their groups count as free soon.
func (p *planner) stopRuns(forJob string, victims []victim) {
	for _, v := range victims {
		p.plan.Stops = append(p.plan.Stops, Stop{Worker: p.slots[v.group.slotOf(v.Run)].worker.ID, Task: v.Task, Run: v.Run.Run, ForJob: forJob})
		if v.group.stopped {
			continue
		}
		v.group.stopped = true
		for i, r := range v.group.runs {
			s := &p.slots[v.group.slots[i]]
			s.freeSoon = s.freeSoon.Plus(r.Resources)
		}
	}
}

// slotOf returns the index of the slot that a run of the group is on.
func (g *runGroup) slotOf(r *Run) int { return g.slots[slices.Index(g.runs, r)] }

// slotCapacity is the number of a step's tasks that a worker could hold if runs on it were stopped.
type slotCapacity struct {
	slot, tasks int     // slot is the index in planner.slots
	loss        float64 // utility lost by these stops and by the speed of the worker
}

// capacitiesWithStops returns for each worker how many tasks of a step it could hold if runs were stopped, in
// the order of the loss for each task.
func (p *planner) capacitiesWithStops(step *PendingStep, pricing stopPricing) []slotCapacity {
	var capacities []slotCapacity
	for i := range p.slots {
		s := &p.slots[i]
		if !step.allowed(s.worker) {
			continue
		}
		limit := min(len(step.Indexes), step.limit(s.worker))
		if victims, tasks := cheapestStops(step, s, limit); tasks > 0 {
			capacities = append(capacities, slotCapacity{i, tasks, stopCost(victims, pricing) + p.slownessCost(step, s, tasks)})
		}
	}
	slices.SortFunc(capacities, func(a, b slotCapacity) int {
		return cmp.Or(cmp.Compare(a.loss/float64(a.tasks), b.loss/float64(b.tasks)), -cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.slot, b.slot))
	})
	return capacities
}

// placeWithStops places a gang in a rack by stopping runs there, on the workers with the least loss for each
// task first.
func (p *planner) placeWithStops(step *PendingStep, rack string, capacities []slotCapacity) (placement, bool) {
	remaining := len(step.Indexes)
	pl := placement{}
	for _, c := range capacities {
		s := &p.slots[c.slot]
		if rack != "" && s.worker.Rack != rack {
			continue
		}
		k := min(remaining, c.tasks)
		pl.assignments = append(pl.assignments, slotAssignment{c.slot, k})
		// Fewer tasks than the worker could hold need fewer stops.
		victims, _ := cheapestStops(step, s, k)
		pl.victims = append(pl.victims, victims...)
		if remaining -= k; remaining == 0 {
			break
		}
	}
	pl.duration = p.gangDuration(step, pl)
	return pl, remaining == 0
}

// cheapestStops returns the runs of a worker to stop so that the given number of tasks fit, or as many as
// possible.
func cheapestStops(step *PendingStep, s *slot, tasks int) ([]victim, int) {
	free := s.freeSoon
	var stops []victim
	for _, v := range s.victims {
		if !v.stoppableFor(step) {
			continue
		}
		if free.CapacityFor(step.Resources, tasks) >= tasks {
			break
		}
		free = free.Plus(v.Resources)
		stops = append(stops, v)
	}
	capacity := free.CapacityFor(step.Resources, tasks)
	if capacity == 0 {
		return nil, 0
	}
	// Runs that don't have to be stopped after all are kept.
	kept := make([]victim, 0, len(stops))
	for _, v := range slices.Backward(stops) {
		if free.Minus(v.Resources).CapacityFor(step.Resources, capacity) >= capacity {
			free = free.Minus(v.Resources)
			continue
		}
		kept = append(kept, v)
	}
	return kept, capacity
}

// slownessCost returns the utility lost if tasks of a step run on this worker instead of one of the usual
// speed.
func (p *planner) slownessCost(step *PendingStep, s *slot, tasks int) float64 {
	f := p.durationFactor(step, s.worker)
	return (p.utility(step, 0, step.TaskDuration) - p.utility(step, 0, scale(step.TaskDuration, f))) * float64(tasks) / float64(len(step.Indexes))
}
