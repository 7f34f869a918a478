package place

import (
	"cmp"

	"github.com/google/btree"
)

const btreeDegree = 16 // of the B-trees of the index

// poolKey holds the properties that all workers of a pool share.
type poolKey struct {
	region string
	domain string
	kind   string
	speed  float64
	accels int // of each worker
}

// compare orders keys by region, domain, descending speed, kind and accelerators.
func (k poolKey) compare(o poolKey) int {
	return cmp.Or(
		cmp.Compare(k.region, o.region),
		cmp.Compare(k.domain, o.domain),
		cmp.Compare(o.speed, k.speed),
		cmp.Compare(k.kind, o.kind),
		cmp.Compare(k.accels, o.accels),
	)
}

// nodeEntry is a worker in the index, ordered by free cores.
type nodeEntry struct {
	cores int // free cores
	name  string
	node  *node
}

func nodeEntryLess(a, b nodeEntry) bool {
	if a.cores != b.cores {
		return a.cores < b.cores
	}
	return a.name < b.name
}

// pool indexes workers with equal properties by free accelerators, then by free cores.
type pool struct {
	key   poolKey
	views [viewCount][]*btree.BTreeG[nodeEntry] // for each view, by free accelerators
	count int                                   // workers
}

func newPool(key poolKey) *pool {
	p := &pool{key: key}
	for v := range p.views {
		p.views[v] = make([]*btree.BTreeG[nodeEntry], key.accels+1)
		for a := range p.views[v] {
			p.views[v][a] = btree.NewG(btreeDegree, nodeEntryLess)
		}
	}
	return p
}

// bucket returns the tree that holds the worker in the view.
func (p *pool) bucket(n *node, v int) *btree.BTreeG[nodeEntry] {
	return p.views[v][min(max(n.free[v].Accels, 0), p.key.accels)]
}

func (p *pool) insert(n *node, v int) {
	p.bucket(n, v).ReplaceOrInsert(nodeEntry{n.free[v].Cores, n.worker.Name, n})
}

func (p *pool) remove(n *node, v int) {
	p.bucket(n, v).Delete(nodeEntry{n.free[v].Cores, n.worker.Name, n})
}

// scan calls visit for the workers with room for need, in ascending order of free accelerators and free
// cores, until visit returns false.
func (p *pool) scan(v int, need Resources, visit func(*node) bool) {
	for a := need.Accels; a <= p.key.accels; a++ {
		more := true
		p.views[v][a].AscendGreaterOrEqual(nodeEntry{cores: need.Cores}, func(e nodeEntry) bool {
			if need.Fits(e.node.free[v]) {
				more = visit(e.node)
			}
			return more
		})
		if !more {
			return
		}
	}
}
