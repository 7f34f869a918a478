package load

import "sort"

// oracle is a policy that knows every size and speed. It has a single queue and
// starts the shortest job first.
type oracle struct {
	world     *World
	freeSlots []int   // free slots by server
	queue     []*Job  // sorted by size
	slowBelow float64 // jobs shorter than this, in seconds, take the slowest free slot
}

// slowBelowBounds are the values of slowBelow that BestOracle tries. Sending short
// jobs to slow slots keeps fast slots free for long ones.
var slowBelowBounds = []float64{0, 0.1, 0.5, 1, 2}

// BestOracle simulates a scenario under an oracle for each of slowBelowBounds and
// returns the simulation with the lowest mean time to the answer.
func BestOracle(s Scenario) *World {
	var best *World
	for _, slowBelow := range slowBelowBounds {
		w := Run(s, func(w *World) Policy { return newOracle(w, slowBelow) })
		if best == nil || w.Mean() < best.Mean() {
			best = w
		}
	}
	return best
}

func newOracle(w *World, slowBelow float64) *oracle {
	o := &oracle{world: w, freeSlots: make([]int, len(w.Servers)), slowBelow: slowBelow}
	for i := range o.freeSlots {
		o.freeSlots[i] = SlotsPerServer
	}
	return o
}

// Arrive implements Policy.
func (o *oracle) Arrive(j *Job) {
	o.world.Send(func() {
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
		o.world.Start(o.world.Servers[server], j, func() {
			o.freeSlots[server]++
			o.world.Send(func() { o.world.End(j, true) })
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
		current := o.world.Servers[i].Speed(o.world.now)
		if best < 0 || (slow && current < speed) || (!slow && current > speed) {
			best, speed = i, current
		}
	}
	return best
}
