package place

import "github.com/knapweedlug/knapweedlug/pkg/model"

// node is a worker with the resources in use on it.
type node struct {
	w        model.Worker
	cap      Need // all resources of the worker
	running  Need
	claimed  Need
	bound    Need
	reserved Need
	pool     *pool
	rack     *group
	domain   *group
	indexed  bool
	free     [viewCount]Need // as entered in the index
}

func newNode(w model.Worker) *node { return &node{w: w, cap: Capacity(w)} }

// layer returns the resources in use in the layer.
func (n *node) layer(l Layer) *Need {
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
func (n *node) freeIn(v View) Need {
	soft := n.cap.Sub(n.running).Sub(n.claimed)
	hard := n.cap.Sub(n.bound).Sub(n.reserved)
	switch v {
	case Hard:
		return hard
	case Firm:
		return soft.Min(hard)
	default:
		return soft
	}
}

// whole reports whether all accelerators are free in the view.
func (n *node) whole(v int) bool {
	return n.cap.Accels > 0 && n.free[v].Accels == n.cap.Accels
}

// group sums the free accelerators of a rack or failure domain, for each view.
type group struct {
	name   string
	region string
	nodes  map[string]*node
	accels [viewCount]int // free accelerators
	whole  [viewCount]int // workers with all accelerators free
	slot   [viewCount]int // accels as entered in Fleet.byRack
}

func newGroup(name, region string) *group {
	return &group{name: name, region: region, nodes: make(map[string]*node)}
}

// add adds the worker's free accelerators to the sums, or subtracts them if sign is -1.
func (g *group) add(n *node, v, sign int) {
	g.accels[v] += sign * max(n.free[v].Accels, 0)
	if n.whole(v) {
		g.whole[v] += sign
	}
}
