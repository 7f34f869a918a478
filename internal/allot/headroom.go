package allot

// urgentHeadroom is the share of a service's workers that is left empty for urgent work. A gang whose
// tasks take whole workers can otherwise start only after runs were stopped for it, which takes longer
// than the slack of a short job.
const urgentHeadroom = 0.06

// spareWorkers returns how many empty workers a step may use. Urgent work may use all of them, and so may a
// job that has been idle for too long.
func (p *planner) spareWorkers(step *PendingStep) int {
	if step.Guaranteed || step.Priority <= urgentPriority || p.takesAnyWorker(step) {
		return len(p.slots)
	}
	total, empty := 0, 0
	for i := range p.slots {
		s := &p.slots[i]
		if s.worker.Service != step.Service || !s.worker.schedulable() {
			continue
		}
		total++
		if s.empty() {
			empty++
		}
	}
	return max(0, empty-int(urgentHeadroom*float64(total)))
}
