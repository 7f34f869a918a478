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
	pinLoss       = 8 // for unstoppable work on a worker that has none yet
)

// partSizes are the sizes of parts of a worker, in accelerators.
var partSizes = [...]int{1, 2, 4}

// cost orders placements; lower is better.
type cost struct {
	loss  float64 // weighted loss of room for later shapes
	left  int     // accelerators that stay free on the chosen workers
	slow  float64 // negated speed of the slowest worker
	first string  // name of the first worker, so that the order is deterministic
}

func (c cost) compare(o cost) int {
	return cmp.Or(
		cmp.Compare(c.loss, o.loss),
		cmp.Compare(c.left, o.left),
		cmp.Compare(c.slow, o.slow),
		cmp.Compare(c.first, o.first),
	)
}

func (c cost) less(o cost) bool { return c.compare(o) < 0 }

// add returns the cost of both placements together.
func (c cost) add(o cost) cost {
	if c.first == "" {
		return o
	}
	spread := max(c.slow, o.slow) - min(c.slow, o.slow)
	c.loss += o.loss + spread*speedPenalty
	c.left += o.left
	c.slow = max(c.slow, o.slow)
	return c
}

// nodeCost returns the cost of using that many accelerators of the worker.
func (f *Fleet) nodeCost(n *node, v, accels int) cost {
	free := n.free[v].Accels
	switch f.policy {
	case FirstFit:
		return cost{first: n.w.Name}
	case BestFit:
		return cost{left: free - accels, first: n.w.Name}
	}
	c := cost{left: free - accels, slow: -n.w.Speed, first: n.w.Name}
	if accels == 0 {
		// Work without accelerators prefers workers without accelerators.
		c.loss = float64(n.cap.Accels)
		c.left = n.free[v].Cores
		return c
	}
	c.loss = float64(partLoss(free, accels)) + weightPart*float64(free-accels)/float64(max(n.cap.Accels, 1))
	c.loss -= speedGain * n.w.Speed * float64(accels)
	if v == Firm.index() && n.whole(Hard.index()) {
		c.loss += pinLoss
	}
	if n.whole(v) {
		k, d := n.rack.whole[v], n.domain.whole[v]
		c.loss += weightWorker * (1 - float64(accels)/float64(n.cap.Accels))
		c.loss += weightRack * float64(k/pairInRack-(k-1)/pairInRack)
		c.loss += weightDomain * float64(d/eightInDomain-(d-1)/eightInDomain)
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
