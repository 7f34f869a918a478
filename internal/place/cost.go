package place

import "cmp"

// Sizes and weights of the shapes for which a placement should leave room: parts of a worker, whole
// workers, gangs of two whole workers in a rack and gangs of eight whole workers in a failure domain.
const (
	workersPerRackGang   = 2
	workersPerDomainGang = 8
	workerWeight         = 16 // for a whole worker
	rackWeight           = 16 // for a gang of two in a rack
	domainWeight         = 8  // for a gang of eight in a domain
	partWeight           = 1  // for the free accelerators that are left on the worker, relative to all of them
	speedPenalty         = 4  // for different speeds within a gang, per unit of speed
	speedGain            = 2  // for fast workers, per accelerator and unit of speed
	unstoppablePenalty   = 8  // for unstoppable work on a worker that has none yet
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

// add returns the cost of both placements together. Different speeds add to it, since a gang is as slow
// as its slowest worker.
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

// nodeCost returns the cost of using that many accelerators of the worker under the policy of the fleet.
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
	c.loss = float64(partLoss(free, accels)) + partWeight*float64(free-accels)/float64(max(n.capacity.Accels, 1))
	c.loss -= speedGain * n.worker.Speed * float64(accels)
	if v == UnoccupiedUnbound.index() && n.allFree(Unbound.index()) {
		c.loss += unstoppablePenalty
	}
	if n.allFree(v) {
		freeInRack, freeInDomain := n.rack.allFree[v], n.domain.allFree[v]
		c.loss += workerWeight * (1 - float64(accels)/float64(n.capacity.Accels))
		c.loss += rackWeight * float64(freeInRack/workersPerRackGang-(freeInRack-1)/workersPerRackGang)
		c.loss += domainWeight * float64(freeInDomain/workersPerDomainGang-(freeInDomain-1)/workersPerDomainGang)
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
