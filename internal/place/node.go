package place

import "github.com/knapweedlug/knapweedlug/pkg/model"

// node is a worker with the resources in use on it.
type node struct {
	worker   model.Worker
	capacity Resources // all resources of the worker
	running  Resources // in use in the layer Running; likewise those below
	claimed  Resources
	bound    Resources
	reserved Resources
	pool     *pool
	rack     *workerGroup
	domain   *workerGroup
	indexed  bool                 // it is ready, so searches find it
	free     [viewCount]Resources // free resources in each view, as entered in the index
}

func newNode(w model.Worker) *node { return &node{worker: w, capacity: Capacity(w)} }

// layer returns the resources in use in the layer.
func (n *node) layer(l Layer) *Resources {
	switch l {
	case Claimed:
		return &n.claimed
	case Bound:
		return &n.bound
	case Reserved:
		return &n.reserved
	default:
		return &n.running
	}
}

// freeIn returns the free resources in the view.
func (n *node) freeIn(v View) Resources {
	unoccupied := n.capacity.Sub(n.running).Sub(n.claimed)
	unbound := n.capacity.Sub(n.bound).Sub(n.reserved)
	switch v {
	case Unbound:
		return unbound
	case UnoccupiedUnbound:
		return unoccupied.Min(unbound)
	default:
		return unoccupied
	}
}

// allFree reports whether the worker has accelerators and all of them are free in the view.
func (n *node) allFree(v int) bool {
	return n.capacity.Accels > 0 && n.free[v].Accels == n.capacity.Accels
}

// workerGroup sums the free accelerators of a rack or failure domain, for each view.
type workerGroup struct {
	name          string
	region        string
	nodes         map[string]*node
	accels        [viewCount]int // free accelerators
	allFree       [viewCount]int // workers with all accelerators free
	indexedAccels [viewCount]int // accels as entered in Fleet.byRack
}

func newGroup(name, region string) *workerGroup {
	return &workerGroup{name: name, region: region, nodes: make(map[string]*node)}
}

// add adds the worker's free accelerators to the sums, or subtracts them if sign is -1.
func (g *workerGroup) add(n *node, v, sign int) {
	g.accels[v] += sign * max(n.free[v].Accels, 0)
	if n.allFree(v) {
		g.allFree[v] += sign
	}
}
