package play

import (
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
)

// comeback is a refused job with the time at which its caller comes back.
type comeback struct {
	at  time.Duration // since the start of the simulation
	job *job
}

// maxReturns is how often the caller of a refused job comes back.
const maxReturns = 4

// offer submits a job. If it is refused, its caller comes back when it was told to.
func (sim *simulation) offer(j *job) {
	j.offeredAt = sim.now
	result := &sim.results[j.index]
	sim.jobs = append(sim.jobs, j)
	if sim.scenario.Admission {
		use := sim.use
		in, guaranteed := sim.planInput(func(*task) {}), sim.guaranteedJobs()
		sim.use = use // a decision on admission takes no note of what teams hold
		step, _ := sim.pendingStep(j, guaranteed, in.Now)
		known := slices.IndexFunc(sim.promises, func(p allot.Promise) bool { return p.Step.Job == j.ID })
		a := in.Admit(step, sim.promises)
		if a.Refused() {
			sim.jobs = sim.jobs[:len(sim.jobs)-1]
			result.Refusals++
			if known < 0 {
				sim.promises = append(sim.promises, allot.Promise{Step: step, RetryAt: a.RetryAt})
			}
			if result.Refusals <= maxReturns {
				sim.returns = append(sim.returns, comeback{a.RetryAt.Sub(time.Unix(0, 0)), j})
			}
			return
		}
		if known >= 0 {
			sim.promises = slices.Delete(sim.promises, known, known+1)
		}
	}
	result.Accepted = sim.now
}
