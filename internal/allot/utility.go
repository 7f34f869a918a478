package allot

import (
	"math"
	"time"
)

const (
	// lostWorkCost is the cost of a lost second of work, where a second of urgent work that completes
	// in time has the value 1. The users' price lists put it between a tenth and a quarter.
	lostWorkCost = 0.2
	// lateValue is the value of completing late, as a share of completing in time. The users'
	// sheets give a fifth for urgent work and a tenth to a half for the rest.
	lateValue = 0.25
	// durationStdDev is the standard deviation of the logarithm of a run's duration relative to the
	// expected one. The users' sheets give 0.3 to 0.5 for the jobs of a queue.
	durationStdDev = 0.3
	// minRestartDelay is how long a stopped run is expected to wait for another worker if no work waits.
	minRestartDelay = 2 * time.Second
	// runOverhead is what messages and commits add to the duration of a run.
	runOverhead = 100 * time.Millisecond
	// occupancyCost is the cost of occupying an accelerator for a second, in which work of the lowest
	// priority could use it.
	occupancyCost = 0.04
	// completionBonus is a small value added for any completion. It falls with the duration, so that a job that
	// is too late to have any other value still completes sooner rather than later.
	completionBonus = 0.02
)

// priorityValues are the values of a second of work that completes in time, by priority, from the users'
// sheets. Higher priority numbers count as the last.
var priorityValues = []float64{1, 0.15, 0.04}

// priorityValue returns the value of a second of work of that priority.
func priorityValue(priority int) float64 {
	return priorityValues[min(max(priority, 0), len(priorityValues)-1)]
}

// completionProbability returns the probability that a run with the given expected duration completes within
// the time that is left.
func completionProbability(timeLeft, expected time.Duration) float64 {
	switch {
	case timeLeft <= 0:
		return 0
	case expected <= 0:
		return 1
	}
	x := math.Log(float64(timeLeft)/float64(expected)) / durationStdDev
	return math.Erfc(-x/math.Sqrt2) / 2
}

// deadlines are the time at which a job should be complete and the time after which completing it has no
// value.
type deadlines struct{ soft, hard time.Time }

// value returns the expected value of completing after the given expected duration, as a share of the value of
// completing in time.
func (d deadlines) value(now time.Time, duration time.Duration) float64 {
	inTime := completionProbability(d.soft.Sub(now), duration)
	completed := completionProbability(d.hard.Sub(now), duration)
	return inTime + lateValue*(completed-inTime) + completionBonus/(1+duration.Seconds()/10)
}

// accelSeconds returns the work of the waiting tasks, in seconds of an accelerator.
func (step *PendingStep) accelSeconds() float64 {
	return step.TaskDuration.Seconds() * step.Resources.accelEquivalent() * float64(len(step.Indexes))
}

// utility returns the value of completing the job after a wait and a run of the given durations, minus
// the cost of the resources.
func (p *planner) utility(step *PendingStep, wait, duration time.Duration) float64 {
	d := deadlines{step.Deadline, step.HardDeadline}
	occupancy := occupancyCost * duration.Seconds() * step.Resources.accelEquivalent() * float64(len(step.Indexes))
	return priorityValue(step.Priority)*step.accelSeconds()*d.value(p.in.Now, wait+duration+step.RestDuration+runOverhead) - occupancy
}

// restartDelay returns how long a stopped run of a service is expected to wait for another worker: until the
// work that waits with its priority or a higher one has had its share of all workers.
func (p *planner) restartDelay(service string, priority int) time.Duration {
	size, work := 0.0, 0.0
	for i := range p.slots {
		if w := p.slots[i].worker; w.Service == service && w.schedulable() {
			size += w.Capacity.accelEquivalent()
		}
	}
	for i := range p.in.Steps {
		if step := &p.in.Steps[i]; step.Service == service && step.Priority <= priority && !step.LongRunning {
			work += step.accelSeconds()
		}
	}
	if size == 0 {
		return minRestartDelay
	}
	return max(minRestartDelay, time.Duration(min(work/size, maxRestartDelay.Seconds())*float64(time.Second)))
}

// maxRestartDelay bounds restartDelay. No deadline of a job that may be stopped is as far away.
const maxRestartDelay = 1000 * time.Hour

// restartKey identifies the runs with the same restartDelay.
type restartKey struct {
	service  string
	priority int
}

// loss returns the utility lost by stopping runs of a service that end together: the work lost, and the value lost
// because their jobs complete later.
func (p *planner) loss(service string, runs []*Run) float64 {
	sum := 0.0
	for _, r := range runs {
		d := deadlines{r.Deadline, r.HardDeadline}
		key := restartKey{service, r.Priority}
		delay, ok := p.restartDelays[key]
		if !ok {
			delay = p.restartDelay(service, r.Priority)
			p.restartDelays[key] = delay
		}
		restarted := delay + r.Remaining + r.LostIfStopped
		totalWork := (r.Remaining + r.LostIfStopped).Seconds() * r.Resources.accelEquivalent()
		valueLost := d.value(p.in.Now, r.Remaining) - d.value(p.in.Now, restarted)
		sum += lostWorkCost*r.LostIfStopped.Seconds()*r.Resources.accelEquivalent() + priorityValue(r.Priority)*totalWork*max(0, valueLost)
	}
	return sum
}
