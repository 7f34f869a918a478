package allot

import (
	"math"
	"time"
)

const (
	// wasteCost is the cost of a lost second of work, where a second of urgent work that completes
	// in time has the value 1. The users' price lists put it between a tenth and a quarter.
	wasteCost = 0.2
	// lateShare is the value of completing late, as a share of completing in time. The users'
	// sheets give a fifth for urgent work and a tenth to a half for the rest.
	lateShare = 0.25
	// lengthSpread is the standard deviation of the logarithm of a run's duration relative to the
	// expected one. The users' sheets give 0.3 to 0.5 for the jobs of a queue.
	lengthSpread = 0.3
	// requeue is how long a stopped run is expected to wait for another worker.
	requeue = 2 * time.Second
	// overhead is what messages and commits add to the duration of a run.
	overhead = 100 * time.Millisecond
	// roomCost is the cost of occupying an accelerator for a second, in which work of the lowest
	// priority could use it.
	roomCost = 0.04
	// hurry is a small value added for any completion. It falls with the duration, so that a job that
	// is too late to have any other value still completes sooner rather than later.
	hurry = 0.02
)

// importances are the values of a second of work that completes in time, by priority, from the users'
// sheets. Higher priority numbers count as the last.
var importances = []float64{1, 0.15, 0.04}

// importance returns the value of a second of work of that priority.
func importance(priority int) float64 {
	return importances[min(max(priority, 0), len(importances)-1)]
}

// chance returns the probability that a run with the expected duration took completes within left.
func chance(left, took time.Duration) float64 {
	switch {
	case left <= 0:
		return 0
	case took <= 0:
		return 1
	}
	x := math.Log(float64(left)/float64(took)) / lengthSpread
	return math.Erfc(-x/math.Sqrt2) / 2
}

// dates are the time at which a job should be complete and the time after which completing it has no
// value.
type dates struct{ deadline, late time.Time }

// worth returns the expected value of completing after the duration took, as a share of the value of
// completing in time.
func (d dates) worth(now time.Time, took time.Duration) float64 {
	inTime := chance(d.deadline.Sub(now), took)
	late := chance(d.late.Sub(now), took)
	return inTime + lateShare*(late-inTime) + hurry/(1+took.Seconds()/10)
}

// size returns the work of the waiting tasks, in seconds of an accelerator.
func (n *Need) size() float64 {
	return n.Work.Seconds() * n.Room.weight() * float64(len(n.Indexes))
}

// utility returns the value of completing the job after a wait and a run of the given durations, minus
// the cost of the resources.
func (p *planner) utility(n *Need, wait, took time.Duration) float64 {
	d := dates{n.Deadline, n.Late}
	room := roomCost * took.Seconds() * n.Room.weight() * float64(len(n.Indexes))
	return importance(n.Priority)*n.size()*d.worth(p.in.Now, wait+took+n.Rest+overhead) - room
}

// loss returns the utility lost by stopping runs that end together: the work lost, and the value lost
// because their jobs complete later.
func (p *planner) loss(runs []*Run) float64 {
	sum := 0.0
	for _, r := range runs {
		d := dates{r.Deadline, r.Late}
		again := requeue + r.Left + r.Lost
		whole := (r.Left + r.Lost).Seconds() * r.Room.weight()
		later := d.worth(p.in.Now, r.Left) - d.worth(p.in.Now, again)
		sum += wasteCost*r.Lost.Seconds()*r.Room.weight() + importance(r.Priority)*whole*max(0, later)
	}
	return sum
}
