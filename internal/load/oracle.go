package load

import "sort"

// oracle knows every size and speed and has one queue, shortest job first.
type oracle struct {
	w         *Simulation
	free      []int // free slots by server
	wait      []*Job
	slowBelow float64 // jobs shorter than this take the slowest free slot
}

// oracleBounds are the sizes, in seconds, below which an oracle sends jobs to
// the slowest free slot, so that the long ones find the fast slots free.
var oracleBounds = []float64{0, 0.1, 0.5, 1, 2}

// BestOracle runs the oracles on a scenario and returns the run with the lowest
// mean time to the answer.
func BestOracle(s Scenario) *Simulation {
	var best *Simulation
	for _, bound := range oracleBounds {
		w := Run(s, func(w *Simulation) Policy { return newOracle(w, bound) })
		if best == nil || w.MeanLatency() < best.MeanLatency() {
			best = w
		}
	}
	return best
}

func newOracle(w *Simulation, slowBelow float64) *oracle {
	o := &oracle{w: w, free: make([]int, len(w.Servers)), slowBelow: slowBelow}
	for i := range o.free {
		o.free[i] = SlotsPerServer
	}
	return o
}

// Arrive implements Policy.
func (o *oracle) Arrive(j *Job) {
	o.w.Send(func() {
		at := sort.Search(len(o.wait), func(i int) bool { return o.wait[i].Size > j.Size })
		o.wait = append(o.wait, nil)
		copy(o.wait[at+1:], o.wait[at:])
		o.wait[at] = j
		o.dispatch()
	})
}

func (o *oracle) dispatch() {
	for len(o.wait) > 0 {
		j := o.wait[0]
		server := o.choose(j.Size < o.slowBelow)
		if server < 0 {
			return
		}
		o.wait = o.wait[1:]
		o.free[server]--
		o.w.Start(o.w.Servers[server], j, func() {
			o.free[server]++
			o.w.Send(func() { o.w.Finish(j, true) })
			o.dispatch()
		})
	}
}

// choose returns the fastest or the slowest server with a free slot, or -1.
func (o *oracle) choose(slow bool) int {
	best, speed := -1, 0.0
	for i, free := range o.free {
		if free == 0 {
			continue
		}
		v := o.w.Servers[i].Speed(o.w.now)
		if best < 0 || (slow && v < speed) || (!slow && v > speed) {
			best, speed = i, v
		}
	}
	return best
}
