package allot

import (
	"cmp"
	"slices"
	"time"
)

// timeUntilFree returns after which time the given number of tasks fit into a rack at once, from the expected
// ends of the runs there. An empty rack name means all racks.
func (p *planner) timeUntilFree(step *PendingStep, rack string, tasks int) (time.Duration, bool) {
	type end struct {
		at        time.Duration // from now
		slot      int
		resources Resources
	}
	type room struct {
		free            Resources
		limit, capacity int // most tasks that may be placed on the slot, and how many of these fit
	}
	var ends []end
	rooms := make([]room, len(p.slots))
	total := 0 // sum of all capacities
	for i := range p.slots {
		s := &p.slots[i]
		if !step.allowed(s.worker) || (rack != "" && s.worker.Rack != rack) {
			continue
		}
		r := &rooms[i]
		r.free, r.limit = s.available(), min(tasks, step.limit(s.worker))
		r.capacity = r.free.CapacityFor(step.Resources, r.limit)
		total += r.capacity
		for k := range s.worker.Runs {
			if run := &s.worker.Runs[k]; !run.LongRunning {
				ends = append(ends, end{run.Remaining, i, run.Resources})
			}
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.slot, b.slot)) })
	for _, e := range ends {
		r := &rooms[e.slot]
		r.free = r.free.Plus(e.resources)
		capacity := r.free.CapacityFor(step.Resources, r.limit)
		total += capacity - r.capacity
		r.capacity = capacity
		if total >= tasks {
			return e.at, true
		}
	}
	return 0, false
}

// racksAndAll returns the names of the racks and "", which means all of them.
func (p *planner) racksAndAll() []string { return append(slices.Clone(p.racks), "") }

// soonestRack returns the rack in which a gang fits first as runs end, and after which time. An empty rack
// name means all racks.
func (p *planner) soonestRack(step *PendingStep) (string, time.Duration, bool) {
	racks := []string{""}
	switch {
	case step.DataRack != "":
		racks = []string{step.DataRack}
	case step.Compact:
		racks = p.racks
	}
	shortest, rack, found := time.Duration(0), "", false
	for _, r := range racks {
		if wait, ok := p.timeUntilFree(step, r, len(step.Indexes)); ok && (!found || wait < shortest) {
			shortest, rack, found = wait, r, true
		}
	}
	return rack, shortest, found
}

// reserveForWaitingGang keeps the free resources of the workers that an urgent gang waits for from less important
// steps.
func (p *planner) reserveForWaitingGang(step *PendingStep, rack string) {
	if step.Priority > urgentPriority {
		return
	}
	remaining := len(step.Indexes)
	type candidate struct {
		slot, capacity int
		freeAt         time.Duration
	}
	var candidates []candidate
	for i := range p.slots {
		s := &p.slots[i]
		if !step.allowed(s.worker) || (rack != "" && s.worker.Rack != rack) {
			continue
		}
		if capacity := s.worker.Capacity.CapacityFor(step.Resources, min(remaining, step.limit(s.worker))); capacity > 0 {
			candidates = append(candidates, candidate{i, capacity, p.timeUntilSlotFree(s, step.Resources.Times(capacity))})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.freeAt, b.freeAt), cmp.Compare(a.slot, b.slot)) })
	for _, c := range candidates {
		if remaining <= 0 {
			return
		}
		k := min(remaining, c.capacity)
		remaining -= k
		p.reserve(c.slot, step.Resources.Times(k))
	}
}

// urgentPriority is the highest priority number for which resources are kept or runs are stopped without a
// guarantee.
const urgentPriority = 0

// timeUntilSlotFree returns after which time a slot has the given resources free, from the expected ends of its
// runs.
func (p *planner) timeUntilSlotFree(s *slot, resources Resources) time.Duration {
	runs := slices.Clone(s.worker.Runs)
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.Remaining, b.Remaining) })
	free := s.available()
	if free.CapacityFor(resources, 1) == 1 {
		return 0
	}
	for _, r := range runs {
		free = free.Plus(r.Resources)
		if free.CapacityFor(resources, 1) == 1 {
			return r.Remaining
		}
	}
	return time.Hour // the runs won't free enough: sorts after all other slots
}
