package place

import "cmp"

// Sizes and weights of the shapes for which a placement should leave room: parts of a worker, whole
// workers, pairs of whole workers in a rack and eights of whole workers in a failure domain.
const (
	pairInRack    = 2
	eightInDomain = 8
	weightWorker  = 16
	weightRack    = 16
	weightDomain  = 8
	weightPart    = 1
	speedPenalty  = 4 // for different speeds within a gang, per unit of speed
	speedGain     = 2 // for fast workers, per accelerator and unit of speed
	pinPenalty    = 8 // for unstoppable work on a worker that has none yet
)

// partSizes are the sizes of parts of a worker, in accelerators.
var partSizes = [...]int{1, 2, 4}

// cost orders placements; lower is better.
type cost struct {
	loss        float64 // weighted loss of room for later shapes
	freeAfter   int     // accelerators that stay free on the chosen workers
	slowness    float64 // negated speed of the slowest worker
	firstWorker string  // name of the first worker, so that the order is deterministic
}

func (c cost) compare(o cost) int {
	return cmp.Or(
		cmp.Compare(c.loss, o.loss),
		cmp.Compare(c.freeAfter, o.freeAfter),
		cmp.Compare(c.slowness, o.slowness),
		cmp.Compare(c.firstWorker, o.firstWorker),
	)
}

func (c cost) less(o cost) bool { return c.compare(o) < 0 }

// add returns the cost of both placements together.
func (c cost) add(o cost) cost {
	if c.firstWorker == "" {
		return o
	}
	speedSpread := max(c.slowness, o.slowness) - min(c.slowness, o.slowness)
	c.loss += o.loss + speedSpread*speedPenalty
	c.freeAfter += o.freeAfter
	c.slowness = max(c.slowness, o.slowness)
	return c
}

// nodeCost returns the cost of using that many accelerators of the worker.
func (f *Fleet) nodeCost(n *node, v, accels int) cost {
	free := n.free[v].Accels
	switch f.policy {
	case FirstFit:
		return cost{firstWorker: n.worker.Name}
	case BestFit:
		return cost{freeAfter: free - accels, firstWorker: n.worker.Name}
	}
	c := cost{freeAfter: free - accels, slowness: -n.worker.Speed, firstWorker: n.worker.Name}
	if accels == 0 {
		// Work without accelerators prefers workers without accelerators.
		c.loss = float64(n.capacity.Accels)
		c.freeAfter = n.free[v].Cores
		return c
	}
	c.loss = float64(partLoss(free, accels)) + weightPart*float64(free-accels)/float64(max(n.capacity.Accels, 1))
	c.loss -= speedGain * n.worker.Speed * float64(accels)
	if v == UnoccupiedUnbound.index() && n.allFree(Unbound.index()) {
		c.loss += pinPenalty
	}
	if n.allFree(v) {
		wholeInRack, wholeInDomain := n.rack.allFree[v], n.domain.allFree[v]
		c.loss += weightWorker * (1 - float64(accels)/float64(n.capacity.Accels))
		c.loss += weightRack * float64(wholeInRack/pairInRack-(wholeInRack-1)/pairInRack)
		c.loss += weightDomain * float64(wholeInDomain/eightInDomain-(wholeInDomain-1)/eightInDomain)
	}
	return c
}

// partLoss returns the loss of parts of a worker that fit before but not after the placement, beyond
// what every placement of that size costs.
func partLoss(free, accels int) int {
	lost := 0
	for _, size := range partSizes {
		lost += size * (free/size - (free-accels)/size - accels/size)
	}
	return lost
}
