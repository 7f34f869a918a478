package allot

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// MakePlan decides which tasks start and which runs stop.
func MakePlan(in Input) Plan {
	p := newPlanner(in)
	steps := slices.Clone(in.Steps)
	slices.SortStableFunc(steps, func(a, b PendingStep) int { return compareSteps(a, b, in.Now) })
	p.stopOnLeavingWorkers()
	for i := range steps {
		p.setAvoided(&steps[i])
	}
	p.reserveClaims(steps)
	p.planInTurn(steps)
	return p.plan
}

// setAvoided determines which workers a step avoids: those on which it has failed, those that are suspect
// and those in quarantine. If the other workers couldn't hold its tasks, it avoids only those in
// quarantine; if its job has been idle for too long, none.
func (p *planner) setAvoided(step *PendingStep) {
	failed := step.Avoid
	step.Avoid = map[jobs.Worker]bool{}
	if p.takesAnyWorker(step) {
		return
	}
	quarantined := map[jobs.Worker]bool{}
	maps.Copy(step.Avoid, failed)
	for i := range p.slots {
		w := p.slots[i].worker
		if w.Quarantined {
			quarantined[w.ID] = true
		}
		if w.Quarantined || w.Suspect {
			step.Avoid[w.ID] = true
		}
	}
	if len(step.Avoid) == len(quarantined) {
		return
	}
	capacity := 0
	for i := range p.slots {
		if w := p.slots[i].worker; step.allowed(w) {
			capacity += w.Capacity.CapacityFor(step.Resources, len(step.Indexes))
		}
	}
	if capacity < len(step.Indexes) {
		step.Avoid = quarantined
	}
}

// takesAnyWorker reports whether a step must take any worker with free resources. On a busy fleet the job
// would wait anyway, and avoids workers that would use up its attempts.
func (p *planner) takesAnyWorker(step *PendingStep) bool {
	if step.IdleSince.IsZero() || p.in.Now.Sub(step.IdleSince) < maxIdleTime {
		return false
	}
	return step.LongRunning || p.usedShare(step.Service) < lowLoadShare
}

// startsAnywhere reports whether a step that can start must not wait for a better place: it must take any worker, and
// there is room for it twice over, with which the users allow no job to be idle for long.
func (p *planner) startsAnywhere(step *PendingStep) bool {
	if !p.takesAnyWorker(step) {
		return false
	}
	needed := 2
	if step.Gang {
		needed = 2 * len(step.Indexes)
	}
	for i := range p.slots {
		if s := &p.slots[i]; step.allowed(s.worker) {
			needed -= s.available().CapacityFor(step.Resources, needed)
		}
	}
	return needed <= 0
}

// usedShare returns the share of a service's resources that is in use, for the resource of which most is in
// use.
func (p *planner) usedShare(service string) float64 {
	var size, free Resources
	for i := range p.slots {
		if s := &p.slots[i]; s.worker.Service == service && !s.worker.Evacuated {
			size, free = size.Plus(s.worker.Capacity), free.Plus(s.freeNow)
		}
	}
	maxShare := 0.0
	for _, r := range [][2]int64{{size.CPU, free.CPU}, {size.Memory, free.Memory}, {size.Accels, free.Accels}} {
		if r[0] > 0 {
			maxShare = max(maxShare, 1-float64(r[1])/float64(r[0]))
		}
	}
	return maxShare
}

// lowLoadShare is the share of resources in use below which a task that could run must run. The users
// require this below one half; the difference allows for runs that end meanwhile.
const lowLoadShare = 0.6

// maxIdleTime is how long a job may have nothing running before it takes any worker with free resources.
// The users allow 3 s; the end of its last run is known within 0.4 s, and a start takes up to 0.5 s.
const maxIdleTime = 1800 * time.Millisecond

// reserveClaims keeps the resources of the claims that are still valid, before any task is placed.
func (p *planner) reserveClaims(steps []PendingStep) {
	for i := range steps {
		step := &steps[i]
		for _, c := range p.in.Claims {
			if c.Job != step.Job || c.Occurrence != step.Occurrence || c.Step != step.Step {
				continue
			}
			if pl, ok := p.claimPlacement(step, c); ok {
				p.reservePlacement(step, pl)
				earlier := p.claims[step]
				p.claims[step] = placement{assignments: append(earlier.assignments, pl.assignments...)}
			}
		}
	}
}

// claimPlacement returns the placement of a claim if its resources are free, now or once stopping runs have
// ended.
func (p *planner) claimPlacement(step *PendingStep, c Claim) (placement, bool) {
	pl := placement{}
	tasks := 0
	for _, a := range c.Assignments {
		slotIndex := slices.IndexFunc(p.slots, func(s slot) bool { return s.worker.ID == a.Worker })
		if slotIndex < 0 || !step.allowed(p.slots[slotIndex].worker) || p.slots[slotIndex].freeSoon.CapacityFor(step.Resources, a.Tasks) < a.Tasks {
			return placement{}, false
		}
		pl.assignments = append(pl.assignments, slotAssignment{slotIndex, a.Tasks})
		tasks += a.Tasks
	}
	return pl, tasks == len(step.Indexes) || !step.Gang && tasks < len(step.Indexes)
}

// compareClasses orders the classes of steps: guaranteed ones first, then those whose completion still has value, then by
// priority, then those that can be in time. Within a class, steps are served by their teams' shares and by deadline.
func compareClasses(a, b PendingStep, now time.Time) int {
	return cmp.Or(
		-compareBool(a.Guaranteed, b.Guaranteed),
		cmp.Compare(a.lateness(now)/tooLate, b.lateness(now)/tooLate),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.lateness(now), b.lateness(now)),
	)
}

// compareSteps orders steps by class and, within one, by deadline.
func compareSteps(a, b PendingStep, now time.Time) int {
	return cmp.Or(
		compareClasses(a, b, now),
		a.place().Compare(b.place()),
		cmp.Compare(a.Order, b.Order),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
	)
}

// place returns the deadline that orders the step among others of its priority.
func (step *PendingStep) place() time.Time {
	if step.Place.IsZero() {
		return step.Deadline
	}
	return step.Place
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// tooLate is the lateness of a job that completes too late to have any value.
const tooLate = 2

// lateness classifies when the job would complete if the step started now: 0 is in time, 1 is late, tooLate
// is too late to have any value.
func (step *PendingStep) lateness(now time.Time) int {
	end := now.Add(step.TaskDuration + step.RestDuration)
	switch {
	case !end.After(step.Deadline):
		return 0
	case !end.After(step.HardDeadline):
		return 1
	}
	return tooLate
}

// slot is a worker with its free resources during planning.
type slot struct {
	worker   *Worker
	freeNow  Resources // free now
	freeSoon Resources // free once stopping runs have ended, without what is kept for others
	// victims are the runs that could be stopped, those with the lowest loss first.
	victims []victim
}

// empty reports whether nothing runs on the worker and nothing is kept there.
func (s *slot) empty() bool { return s.available() == s.worker.Capacity }

// available returns the resources that may be used now, without what is kept for others.
func (s *slot) available() Resources {
	return Resources{
		CPU: min(s.freeNow.CPU, s.freeSoon.CPU), Memory: min(s.freeNow.Memory, s.freeSoon.Memory),
		Accels: min(s.freeNow.Accels, s.freeSoon.Accels), Runs: min(s.freeNow.Runs, s.freeSoon.Runs),
	}
}

// planner holds the state of one planning round.
type planner struct {
	in     Input
	slots  []slot                    // one for each worker, in the order of the input
	racks  []string                  // names in order
	plan   Plan                      // decisions so far
	groups []*runGroup               // all runs that aren't stopping
	gangs  map[jobs.TaskID]*runGroup // the groups of gangs, by step
	// claims are the placements of the last plan's claims, by the steps that they are for.
	claims map[*PendingStep]placement
	// restartDelays are the results of expectedRestartDelay so far.
	restartDelays map[restartKey]time.Duration
}

// runGroup holds runs that end together: the members of a gang, or a single run.
type runGroup struct {
	runs    []*Run
	slots   []int   // index in planner.slots of each run's worker
	loss    float64 // utility lost by stopping them
	stopped bool    // they are stopped by this plan
}

// newPlanner returns a planner with the free resources of each worker.
func newPlanner(in Input) *planner {
	p := &planner{in: in, gangs: map[jobs.TaskID]*runGroup{}, claims: map[*PendingStep]placement{}, restartDelays: map[restartKey]time.Duration{}}

	for i := range in.Workers {
		w := &in.Workers[i]
		s := slot{worker: w, freeNow: w.Capacity, freeSoon: w.Capacity}
		for k := range w.Runs {
			r := &w.Runs[k]
			if !r.Stopping {
				g := p.groupOf(r)
				g.runs, g.slots = append(g.runs, r), append(g.slots, i)
				s.victims = append(s.victims, victim{r, g})
			}
			s.freeNow = s.freeNow.Minus(r.Resources)
			if !r.Stopping {
				s.freeSoon = s.freeSoon.Minus(r.Resources)
			}
		}
		p.slots = append(p.slots, s)
		if !slices.Contains(p.racks, w.Rack) {
			p.racks = append(p.racks, w.Rack)
		}
	}
	slices.Sort(p.racks)
	for _, g := range p.groups {
		// A gang ends with its slowest member.
		longest := time.Duration(0)
		for _, r := range g.runs {
			longest = max(longest, r.Remaining)
		}
		for _, r := range g.runs {
			r.Remaining = longest
		}
		g.loss = p.loss(p.slots[g.slots[0]].worker.Service, g.runs)
	}
	for i := range p.slots {
		slices.SortStableFunc(p.slots[i].victims, func(a, b victim) int { return cmp.Compare(a.group.loss, b.group.loss) })
	}
	return p
}

// groupOf returns the group that a run belongs to, creating it if needed.
func (p *planner) groupOf(r *Run) *runGroup {
	if !r.Gang {
		p.groups = append(p.groups, &runGroup{})
		return p.groups[len(p.groups)-1]
	}
	key := stepID(r.Task)
	g, ok := p.gangs[key]
	if !ok {
		g = &runGroup{}
		p.gangs[key], p.groups = g, append(p.groups, g)
	}
	return g
}

// planStep starts the tasks of a step, keeps resources for them or leaves them waiting.
func (p *planner) planStep(step *PendingStep) {
	switch {
	case step.Gang:
		p.planGang(step)
	case step.Guaranteed || step.Priority <= urgentPriority:
		p.planUrgentTasks(step)
	default:
		p.planTasks(step)
	}
}

// recordVerdict records the verdict on a step.
func (p *planner) recordVerdict(step *PendingStep, v Verdict, tasks int) {
	r := Decision{Job: step.Job, Step: step.Step, Verdict: v, Tasks: tasks, TaskDuration: step.TaskDuration, Deadline: step.Deadline, Guaranteed: step.Guaranteed}
	for i := range p.slots {
		if s := &p.slots[i]; step.allowed(s.worker) {
			r.Workers++
			r.FreeAccels += max(0, s.available().Accels)
		}
	}
	if r.Evacuated = p.evacuatedWorkers(step); r.Evacuated > 0 && v == Waits && p.needsEvacuated(step) {
		r.Verdict = WaitsForEvacuated
	}
	p.plan.Decisions = append(p.plan.Decisions, r)
}

// allowed reports whether tasks of the step may run on a worker.
func (step *PendingStep) allowed(w *Worker) bool {
	return w.schedulable() && !step.Avoid[w.ID] && step.suits(w)
}

// suits reports whether a worker is of the kind that the step needs.
func (step *PendingStep) suits(w *Worker) bool {
	return w.Service == step.Service && (step.Label == "" || slices.Contains(w.Labels, step.Label))
}

// limit returns how many more tasks of the step may be placed on a worker.
func (step *PendingStep) limit(w *Worker) int {
	if step.MaxPerWorker == 0 {
		return len(step.Indexes)
	}
	return max(0, step.MaxPerWorker-step.TasksOn[w.ID])
}

// durationFactor returns how many times the usual duration the tasks take on a worker.
func (p *planner) durationFactor(step *PendingStep, w *Worker) float64 {
	f := 1 / max(w.Speed, minSpeed)
	f *= p.coldFactor(w, scale(step.TaskDuration, f))
	if step.DataRack != "" && w.Rack != step.DataRack {
		f *= p.in.RemoteFactor
	}
	return f
}

// minSpeed is the lower bound of learned speeds. It keeps one bad measurement from excluding a worker
// for good.
const minSpeed = 0.05

// slotAssignment is a number of tasks on one slot.
type slotAssignment struct {
	slot  int // index in planner.slots
	tasks int
}

// inTime reports whether the job completes by its deadline if its tasks take factor times the usual
// duration.
func (p *planner) inTime(step *PendingStep, factor float64) bool {
	return !p.in.Now.Add(scale(step.TaskDuration, factor*deadlineMargin) + step.RestDuration).After(step.Deadline)
}

// deadlineMargin is the factor by which a run is assumed to take longer than expected when a deadline is
// checked: messages take time, and speeds are estimates.
const deadlineMargin = 1.4

// compareSlots compares two workers for a step, with the factors of its duration there. The faster worker
// comes first. Work that isn't urgent prefers a slower worker on which it is still in time, and leaves
// the faster ones to work that needs them.
func (p *planner) compareSlots(step *PendingStep, factorX float64, x *slot, factorY float64, y *slot) int {
	order := cmp.Compare(durationBucket(scale(step.TaskDuration, factorX)), durationBucket(scale(step.TaskDuration, factorY)))
	if step.Priority > fastWorkerPriority {
		inTimeX, inTimeY := p.inTime(step, factorX), p.inTime(step, factorY)
		if inTimeX != inTimeY {
			return compareBool(inTimeY, inTimeX)
		}
		if inTimeX {
			// Running tasks of one step on workers of unknown speed reveals these speeds. A second task
			// on the same worker reveals little more.
			order = cmp.Or(-compareBool(x.unmeasured(), y.unmeasured()), cmp.Compare(x.worker.speedBucket(), y.worker.speedBucket()))
		}
	}
	return cmp.Or(
		order,
		compareBool(x.empty(), y.empty()),
		cmp.Compare(x.available().Accels, y.available().Accels),
	)
}

// fastWorkerPriority is the highest priority number of work that takes the fastest workers.
const fastWorkerPriority = 0

// maxKnownStdDev is the standard deviation of the logarithm of a worker's speed below which the speed counts as
// known.
const maxKnownStdDev = 0.25

// unmeasured reports whether the speed of a worker isn't known and no run is about to show it.
func (s *slot) unmeasured() bool { return s.worker.SpeedStdDev >= maxKnownStdDev && s.empty() }

// speedBucket returns the speed of a worker on a logarithmic scale in steps of about a fifth.
func (w *Worker) speedBucket() int { return int(math.Round(4 * math.Log2(max(w.Speed, minSpeed)))) }

// scale returns f times d.
func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// allocate uses up resources of a slot.
func (p *planner) allocate(slotIndex int, r Resources) {
	s := &p.slots[slotIndex]
	s.freeNow, s.freeSoon = s.freeNow.Minus(r), s.freeSoon.Minus(r)
}

// reserve removes resources from those that later steps may use.
func (p *planner) reserve(i int, r Resources) { p.slots[i].freeSoon = p.slots[i].freeSoon.Minus(r) }

// placeTask returns the placement of one task on a slot.
func (p *planner) placeTask(step *PendingStep, index, slotIndex int) jobs.Placement {
	w := p.slots[slotIndex].worker
	return jobs.Placement{
		Task:   jobs.TaskID{Job: step.Job, Occur: step.Occurrence, Step: step.Step, Index: index},
		Worker: w.ID, Host: w.Host, Domain: w.Domain,
	}
}
