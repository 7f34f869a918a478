package load

import "sort"

// oracle is a policy that knows every size and speed. It has a single queue and
// starts the shortest job first.
type oracle struct {
	sim       *Simulation
	freeSlots []int   // free slots by server
	queue     []*Job  // sorted by size
	slowBelow float64 // jobs shorter than this, in seconds, take the slowest free slot
}

// slowBelowBounds are the values of slowBelow that BestOracle tries. Sending short
// jobs to slow slots keeps fast slots free for long ones.
var slowBelowBounds = []float64{0, 0.1, 0.5, 1, 2}

// BestOracle simulates a scenario under an oracle for each of slowBelowBounds and
// returns the simulation with the lowest mean time to the answer.
func BestOracle(s Scenario) *Simulation {
	var best *Simulation
	for _, slowBelow := range slowBelowBounds {
		sim := Run(s, func(sim *Simulation) Policy { return newOracle(sim, slowBelow) })
		if best == nil || sim.MeanLatency() < best.MeanLatency() {
			best = sim
		}
	}
	return best
}

func newOracle(sim *Simulation, slowBelow float64) *oracle {
	o := &oracle{sim: sim, freeSlots: make([]int, len(sim.Servers)), slowBelow: slowBelow}
	for i := range o.freeSlots {
		o.freeSlots[i] = SlotsPerServer
	}
	return o
}

// Arrive implements Policy.
func (o *oracle) Arrive(j *Job) {
	o.sim.Send(func() {
		at := sort.Search(len(o.queue), func(i int) bool { return o.queue[i].Size > j.Size })
		o.queue = append(o.queue, nil)
		copy(o.queue[at+1:], o.queue[at:])
		o.queue[at] = j
		o.dispatch()
	})
}

func (o *oracle) dispatch() {
	for len(o.queue) > 0 {
		j := o.queue[0]
		server := o.fastestOrSlowest(j.Size < o.slowBelow)
		if server < 0 {
			return
		}
		o.queue = o.queue[1:]
		o.freeSlots[server]--
		o.sim.Start(o.sim.Servers[server], j, func() {
			o.freeSlots[server]++
			o.sim.Send(func() { o.sim.Finish(j, true) })
			o.dispatch()
		})
	}
}

// fastestOrSlowest returns the fastest or the slowest server with a free slot, or -1.
func (o *oracle) fastestOrSlowest(slow bool) int {
	best, speed := -1, 0.0
	for i, free := range o.freeSlots {
		if free == 0 {
			continue
		}
		current := o.sim.Servers[i].Speed(o.sim.now)
		if best < 0 || (slow && current < speed) || (!slow && current > speed) {
			best, speed = i, current
		}
	}
	return best
}
