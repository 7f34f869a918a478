package allot

// schedulable reports whether a worker takes new tasks.
func (w *Worker) schedulable() bool { return !w.Unschedulable && !w.Evacuated }

// evacuatedWorkers returns the number of workers that could run a step but for the evacuation of their failure domain.
func (p *planner) evacuatedWorkers(step *PendingStep) int {
	n := 0
	for i := range p.slots {
		if w := p.slots[i].worker; w.Evacuated && step.suits(w) {
			n++
		}
	}
	return n
}

// needsEvacuated reports whether a step, all of it if it is a gang, fits only with the workers in evacuated failure
// domains, even when nothing else runs.
func (p *planner) needsEvacuated(step *PendingStep) bool {
	needed := 1
	if step.Gang {
		needed = len(step.Indexes)
	}
	rest, all := 0, 0
	for i := range p.slots {
		w := p.slots[i].worker
		if w.Unschedulable || !step.suits(w) {
			continue
		}
		n := w.Capacity.CapacityFor(step.Resources, min(needed, step.limit(w)))
		all += n
		if !w.Evacuated {
			rest += n
		}
	}
	return rest < needed && all >= needed
}
