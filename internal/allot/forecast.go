package allot

import (
	"math"
	"time"
)

// Forecast tells when a job would begin and end if it were accepted now.
type Forecast struct {
	Begin time.Time // of its first task
	End   time.Time // of the job
	Ahead float64   // work that is served before it, in seconds of an accelerator
	Room  float64   // size of the workers that may run it, in accelerators
}

// Promise is a job that was refused and told when to come back.
type Promise struct {
	Step    PendingStep // as of its first arrival
	RetryAt time.Time   // when it was told to come back
}

// certainty is the number of standard deviations by which the best case is better than expected.
const certainty = 2

// bestCasePace returns the factor on the expected durations of that many jobs in the best case. The errors of many
// estimates even out.
func bestCasePace(jobCount float64) float64 {
	return math.Exp(-certainty * estimateStdDev / math.Sqrt(max(1, jobCount)))
}

// BestCase returns a forecast that things can't reasonably go better than: the work ahead of the step and its own is as
// much less than expected as estimates may be off, all workers that are away or kept from use come back at once, no
// room is lost to fragmentation, and nothing more urgent arrives.
func (in *Input) BestCase(step *PendingStep) Forecast {
	l := in.loadAhead(step, true)
	// When the step begins, some of the work ahead of it still runs beside it.
	wait := scale(max(0, l.wait()-l.meanDuration()), bestCasePace(l.jobCount()))
	return in.forecastAfter(step, l, wait, bestCasePace(1))
}

// Expected returns a forecast from expected durations and the workers that take tasks now. Jobs that were refused and
// told to come back count as ahead of the step.
func (in *Input) Expected(step *PendingStep, promises []Promise) Forecast {
	l := in.loadAhead(step, false)
	for i := range promises {
		if p := &promises[i].Step; p.Job != step.Job && l.shares(step, p) && p.Priority <= step.Priority {
			l.add(p.Resources, p.TaskDuration, len(p.Indexes))
		}
	}
	if in.fitsNow(step) {
		return in.forecastAfter(step, l, 0, 1)
	}
	return in.forecastAfter(step, l, l.wait(), 1)
}

// forecastAfter returns the forecast of a step that begins after a wait.
func (in *Input) forecastAfter(step *PendingStep, l load, wait time.Duration, pace float64) Forecast {
	begin := in.Now.Add(wait)
	return Forecast{Begin: begin, End: begin.Add(scale(step.TaskDuration+step.RestDuration, pace)), Ahead: l.accelSeconds, Room: l.room.accelEquivalent()}
}

// load is the work that is served before a step, and the room for it.
type load struct {
	room         Resources
	cpu, mem     float64 // work in seconds of each resource
	accels       float64
	accelSeconds float64 // all of it in seconds of an accelerator
	weighted     float64 // sum of accelSeconds times the duration of each task
	squares      float64 // sum of the squares of the steps' work
}

// add adds tasks of the given duration to the load.
func (l *load) add(perTask Resources, duration time.Duration, tasks int) {
	s := duration.Seconds() * float64(tasks)
	l.cpu += s * float64(perTask.CPU)
	l.mem += s * float64(perTask.Memory)
	l.accels += s * float64(perTask.Accels)
	work := s * perTask.accelEquivalent()
	l.accelSeconds += work
	l.weighted += work * duration.Seconds()
	l.squares += work * work
}

// jobCount returns how many steps of equal size have estimates that are as exact in sum as those of the load.
func (l *load) jobCount() float64 {
	if l.squares == 0 {
		return 0
	}
	return l.accelSeconds * l.accelSeconds / l.squares
}

// wait returns how long the room takes for the load, by the scarcest resource.
func (l *load) wait() time.Duration {
	seconds := 0.0
	for _, p := range [][2]float64{{l.cpu, float64(l.room.CPU)}, {l.mem, float64(l.room.Memory)}, {l.accels, float64(l.room.Accels)}} {
		if p[1] > 0 {
			seconds = max(seconds, p[0]/p[1])
		}
	}
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds the wait of a forecast, so that it fits into a time.Duration whatever callers state.
const maxWait = 1000 * time.Hour

// meanDuration returns the mean duration of the tasks, weighted by their work.
func (l *load) meanDuration() time.Duration {
	if l.accelSeconds == 0 {
		return 0
	}
	return time.Duration(min(l.weighted/l.accelSeconds, maxWait.Seconds()) * float64(time.Second))
}

// shares reports whether another step takes room of the workers that may run a step.
func (l *load) shares(step, other *PendingStep) bool {
	return other.Service == step.Service && (step.Label == "" || other.Label == step.Label)
}

// loadAhead returns the load of the runs and waiting steps that are served before a step. In the best case workers that
// take no tasks now count as room, and runs that the step may stop don't count.
func (in *Input) loadAhead(step *PendingStep, best bool) load {
	l := load{}
	for i := range in.Workers {
		w := &in.Workers[i]
		if !step.suits(w) || step.Avoid[w.ID] || !w.schedulable() && !best {
			continue
		}
		l.room = l.room.Plus(w.Capacity)
		for k := range w.Runs {
			r := &w.Runs[k]
			switch {
			case r.Stopping, best && r.yieldsTo(step):
			case r.LongRunning:
				l.room = l.room.Minus(r.Resources)
			default:
				l.add(r.Resources, r.Remaining, 1)
			}
		}
	}
	for i := range in.Steps {
		other := &in.Steps[i]
		if other.Job != step.Job && !other.LongRunning && l.shares(step, other) && compareSteps(*other, *step, in.Now) < 0 {
			l.add(other.Resources, other.TaskDuration, len(other.Indexes))
		}
	}
	return l
}

// yieldsTo reports whether a run may be stopped for a step.
func (r *Run) yieldsTo(step *PendingStep) bool {
	return (step.Guaranteed || step.Priority <= urgentPriority) && victim{r, &runGroup{}}.stoppableFor(step)
}

// fitsNow reports whether the free resources hold the tasks of a step: all members of a gang, or one task.
func (in *Input) fitsNow(step *PendingStep) bool {
	needed := 1
	if step.Gang {
		needed = len(step.Indexes)
	}
	for i := range in.Workers {
		w := &in.Workers[i]
		if !step.allowed(w) {
			continue
		}
		free := w.Capacity
		for k := range w.Runs {
			free = free.Minus(w.Runs[k].Resources)
		}
		if needed -= free.CapacityFor(step.Resources, min(needed, step.limit(w))); needed <= 0 {
			return true
		}
	}
	return false
}
