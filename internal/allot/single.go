package allot

import (
	"maps"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// planUrgentTasks serves urgent tasks that aren't a gang, each like a gang of one.
func (p *planner) planUrgentTasks(step *PendingStep) {
	claimed := p.claims[step].assignments
	tasksOn := maps.Clone(step.TasksOn)
	if tasksOn == nil {
		tasksOn = map[jobs.Worker]int{}
	}
	placed, lastVerdict := 0, Waits
	for _, index := range step.Indexes {
		single := *step
		single.Indexes, single.TasksOn = []int{index}, tasksOn
		claim, hasClaim := placement{}, len(claimed) > 0
		if hasClaim {
			claim.assignments = []slotAssignment{{claimed[0].slot, 1}}
			if claimed[0].tasks--; claimed[0].tasks == 0 {
				claimed = claimed[1:]
			}
			p.releaseClaim(&single, claim)
		}
		startsBefore := len(p.plan.Starts)
		lastVerdict = p.applyBestOption(&single, claim, hasClaim)
		if lastVerdict == Started {
			placed++
			tasksOn[p.plan.Starts[startsBefore].Placements[0].Worker]++
		}
	}
	p.releaseClaim(step, placement{assignments: claimed}) // claimed for more tasks than are left
	switch placed {
	case len(step.Indexes):
		p.recordVerdict(step, Started, placed)
	case 0:
		p.recordVerdict(step, lastVerdict, 0)
	default:
		p.recordVerdict(step, PartlyStarted, placed)
	}
}

// planTasks places tasks one by one, each on the preferred worker.
func (p *planner) planTasks(step *PendingStep) {
	placed := 0
	tasksOnSlot := map[int]int{}
	for _, index := range step.Indexes {
		slotIndex := p.bestSlot(step, tasksOnSlot)
		if slotIndex < 0 {
			break
		}
		tasksOnSlot[slotIndex]++
		p.allocate(slotIndex, step.Resources)
		p.plan.Starts = append(p.plan.Starts, jobs.Start{Placements: []jobs.Placement{p.placeTask(step, index, slotIndex)}})
		placed++
	}
	switch {
	case placed == len(step.Indexes):
		p.recordVerdict(step, Started, placed)
		return
	case placed > 0:
		p.recordVerdict(step, PartlyStarted, placed)
	default:
		p.recordVerdict(step, Waits, 0)
	}
}

// bestSlot returns the index of the slot for one task, or -1. A slot far from the data is used only
// if waiting for one near the data would take longer.
func (p *planner) bestSlot(step *PendingStep, tasksOnSlot map[int]int) int {
	bestFactor, bestIndex := 0.0, -1
	spare := p.spareWorkers(step)
	for i := range p.slots {
		s := &p.slots[i]
		if !step.allowed(s.worker) || tasksOnSlot[i] >= step.limit(s.worker) || s.available().CapacityFor(step.Resources, 1) == 0 || s.empty() && spare == 0 {
			continue
		}
		f := p.durationFactor(step, s.worker)
		if bestIndex < 0 || p.compareSlots(step, f, s, bestFactor, &p.slots[bestIndex]) < 0 {
			bestFactor, bestIndex = f, i
		}
	}
	if bestIndex >= 0 && step.DataRack != "" && p.slots[bestIndex].worker.Rack != step.DataRack && !p.startsAnywhere(step) {
		if wait, ok := p.timeUntilFree(step, step.DataRack, 1); ok && p.waited(step)+wait+step.TaskDuration < scale(step.TaskDuration, bestFactor) {
			return -1
		}
	}
	return bestIndex
}
