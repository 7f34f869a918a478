package allot

import (
	"math"
	"time"
)

const (
	// wasteCost is what a second of work thrown away costs, where a second of
	// urgent work that completes in time is worth 1. The users' price lists put it
	// between a tenth and a quarter.
	wasteCost = 0.2
	// lateShare is what completing late is worth, from the users' sheets: a fifth
	// of the whole for urgent work, a tenth to a half for the rest.
	lateShare = 0.25
	// lengthSpread is the standard deviation of the logarithm of how long a run
	// takes against what was expected. The users' sheets give 0.3 to 0.5 for
	// the jobs of a queue.
	lengthSpread = 0.3
	// requeue is how long a run that made room is expected to wait for another
	// place.
	requeue = 2 * time.Second
	// overhead is what orders, reports and commits add to a run.
	overhead = 100 * time.Millisecond
	// roomCost is what a second of an accelerator's room costs, as work of the
	// least importance could use it.
	roomCost = 0.04
	// hurry is what completing at all is worth at most, so that also what is of
	// no use any more completes sooner rather than later.
	hurry = 0.02
)

// importances are what a second of work is worth that completes in time, by
// priority, from the users' sheets. What has a higher number counts as the last.
var importances = []float64{1, 0.15, 0.04}

func importance(priority int) float64 {
	return importances[min(max(priority, 0), len(importances)-1)]
}

// chance returns how likely something that is expected to take some time is over
// when left has passed.
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

// dates are by when a job ought to be complete, and after which its completion is
// of no use.
type dates struct{ deadline, late time.Time }

// worth returns what completing after some time is worth, as a share of
// completing in time.
func (d dates) worth(now time.Time, took time.Duration) float64 {
	inTime := chance(d.deadline.Sub(now), took)
	late := chance(d.late.Sub(now), took)
	return inTime + lateShare*(late-inTime) + hurry/(1+took.Seconds()/10)
}

// size returns the work of a need's waiting tasks, in seconds of an accelerator.
func (n *Need) size() float64 {
	return n.Work.Seconds() * n.Room.weight() * float64(len(n.Indexes))
}

// utility returns what it is worth to complete a need's job after a wait and a run
// of some length, less the price of the room.
func (p *planner) utility(n *Need, wait, took time.Duration) float64 {
	d := dates{n.Deadline, n.Late}
	room := roomCost * took.Seconds() * n.Room.weight() * float64(len(n.Indexes))
	return importance(n.Priority)*n.size()*d.worth(p.in.Now, wait+took+n.Rest+overhead) - room
}

// loss returns what is lost by stopping a run and those that end with it: the
// work thrown away, and that their job completes later.
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
