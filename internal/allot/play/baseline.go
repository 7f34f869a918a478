package play

import (
	"cmp"
	"slices"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// FirstComeFirstServed is a baseline policy: tasks start in the order of arrival on any worker with free
// resources, and no run is ever stopped.
func FirstComeFirstServed(in allot.Input) allot.Plan {
	return firstFit(in, func(a, b allot.PendingStep) int { return cmp.Compare(a.Order, b.Order) })
}

// LeastWorkFirst is a baseline policy: steps with the least work start first.
func LeastWorkFirst(in allot.Input) allot.Plan {
	work := func(step allot.PendingStep) float64 {
		return step.TaskDuration.Seconds() * float64(len(step.Indexes)) * float64(step.Resources.Accels+1)
	}
	return firstFit(in, func(a, b allot.PendingStep) int {
		return cmp.Or(cmp.Compare(work(a), work(b)), cmp.Compare(a.Order, b.Order))
	})
}

// HighestPriorityFirst is a baseline policy: the order is by priority, then by arrival.
func HighestPriorityFirst(in allot.Input) allot.Plan {
	return firstFit(in, func(a, b allot.PendingStep) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Order, b.Order))
	})
}

// firstFit starts steps in the given order, each task on the first worker with free resources, and all tasks of
// a gang together or none.
func firstFit(in allot.Input, order func(a, b allot.PendingStep) int) allot.Plan {
	available := make([]allot.Resources, len(in.Workers))
	for i, w := range in.Workers {
		available[i] = w.Capacity
		for _, r := range w.Runs {
			available[i] = available[i].Minus(r.Resources)
		}
	}
	plan := allot.Plan{}
	for _, step := range slices.SortedFunc(slices.Values(in.Steps), order) {
		free := slices.Clone(available)
		var placements []jobs.Placement
		for _, index := range step.Indexes {
			workerIndex := slices.IndexFunc(free, func(r allot.Resources) bool { return r.CapacityFor(step.Resources, 1) == 1 })
			if workerIndex < 0 {
				break
			}
			free[workerIndex] = free[workerIndex].Minus(step.Resources)
			placements = append(placements, jobs.Placement{Task: jobs.TaskID{Job: step.Job, Occur: step.Occurrence, Step: step.Step, Index: index}, Worker: in.Workers[workerIndex].ID})
		}
		switch {
		case step.Gang && len(placements) == len(step.Indexes):
			plan.Starts = append(plan.Starts, jobs.Start{Placements: placements})
		case step.Gang:
			continue
		default:
			for _, p := range placements {
				plan.Starts = append(plan.Starts, jobs.Start{Placements: []jobs.Placement{p}})
			}
		}
		available = free
	}
	return plan
}
