package place

import (
	"slices"

	"github.com/google/btree"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Fleet indexes the workers and the resources in use on each. It isn't safe for concurrent use.
type Fleet struct {
	policy     Policy
	nodes      map[string]*node                    // all workers by name
	pools      []*pool                             // ordered by key
	racks      map[string]*workerGroup             // by region, domain and rack
	domains    map[string]*workerGroup             // by region and domain
	byRack     [viewCount]*btree.BTreeG[rackEntry] // racks by free accelerators, for each view
	freed      freedLog                            // changes that may let failed searches succeed
	scopeCache map[scopesKey][][]string            // cached results of Scopes, valid until a worker changes
}

// rackEntry is a rack in the index by free accelerators.
type rackEntry struct {
	accels int // free accelerators
	name   string
	group  *workerGroup
}

func rackLess(a, b rackEntry) bool {
	if a.accels != b.accels {
		return a.accels < b.accels
	}
	return a.name < b.name
}

// New returns an empty fleet whose searches follow the policy.
func New(policy Policy) *Fleet {
	f := &Fleet{
		policy:     policy,
		nodes:      make(map[string]*node),
		racks:      make(map[string]*workerGroup),
		domains:    make(map[string]*workerGroup),
		scopeCache: make(map[scopesKey][][]string),
	}
	for v := range f.byRack {
		f.byRack[v] = btree.NewG(btreeDegree, rackLess)
	}
	return f
}

// SetWorker adds or replaces a worker. Resources in use on it stay in use. Only ready workers are
// found by searches.
func (f *Fleet) SetWorker(w model.Worker) {
	clear(f.scopeCache)
	n, ok := f.nodes[w.Name]
	if !ok {
		n = newNode(w)
		f.nodes[w.Name] = n
	}
	f.unindex(n)
	n.worker = w
	n.capacity = Capacity(w)
	f.index(n)
	f.freed.add(w.Name)
}

// DropWorker removes a worker.
func (f *Fleet) DropWorker(name string) {
	clear(f.scopeCache)
	n, ok := f.nodes[name]
	if !ok {
		return
	}
	f.unindex(n)
	delete(f.nodes, name)
}

// Worker returns the worker with that name.
func (f *Fleet) Worker(name string) (model.Worker, bool) {
	n, ok := f.nodes[name]
	if !ok {
		return model.Worker{}, false
	}
	return n.worker, true
}

// Len returns the number of workers.
func (f *Fleet) Len() int { return len(f.nodes) }

// Take adds need, for each member in the cells, to the resources in use in the layer.
func (f *Fleet) Take(l Layer, cells []Cell, need Resources) {
	for _, c := range cells {
		f.adjustInUse(l, c.Worker, need.Times(c.Count))
	}
}

// Release reverses Take.
func (f *Fleet) Release(l Layer, cells []Cell, need Resources) {
	for _, c := range cells {
		if l != Reserved {
			f.freed.add(c.Worker)
		}
		f.adjustInUse(l, c.Worker, need.Times(-c.Count))
	}
}

// adjustInUse adds delta, which may be negative, to the resources in use on a worker in the layer.
func (f *Fleet) adjustInUse(l Layer, worker string, delta Resources) {
	n, ok := f.nodes[worker]
	if !ok {
		n = newNode(model.Worker{Name: worker, State: model.WorkerLost})
		f.nodes[worker] = n
	}
	inUse := n.layer(l)
	*inUse = inUse.Add(delta)
	f.refresh(n)
}

// Free returns the free resources of the worker in the view, whatever its state. They are negative
// where more is promised than the worker has.
func (f *Fleet) Free(worker string, v View) Resources {
	n, ok := f.nodes[worker]
	if !ok {
		return Resources{}
	}
	return n.freeIn(v)
}

// Unused returns the resources of the worker that running members don't use; claims and reservations
// are ignored.
func (f *Fleet) Unused(worker string) Resources {
	n, ok := f.nodes[worker]
	if !ok {
		return Resources{}
	}
	return n.capacity.Sub(n.running)
}

// poolOf returns the pool that the worker belongs to, creating it if needed.
func (f *Fleet) poolOf(w model.Worker) *pool {
	key := poolKey{w.Region, w.Domain, w.Kind, w.Speed, w.Accels}
	at, ok := slices.BinarySearchFunc(f.pools, key, func(p *pool, k poolKey) int { return p.key.compare(k) })
	if !ok {
		f.pools = slices.Insert(f.pools, at, newPool(key))
	}
	return f.pools[at]
}

// groupOf returns the group of a rack or failure domain, creating it if needed.
func groupOf(m map[string]*workerGroup, name, region string) *workerGroup {
	key := region + "/" + name
	g, ok := m[key]
	if !ok {
		g = newGroup(key, region)
		m[key] = g
	}
	return g
}

// index adds a worker to the pools, racks and domains that searches use, if it is ready.
func (f *Fleet) index(n *node) {
	if n.worker.State != model.WorkerReady {
		return
	}
	n.indexed = true
	n.pool = f.poolOf(n.worker)
	n.pool.count++
	n.rack = groupOf(f.racks, n.worker.Domain+"/"+n.worker.Rack, n.worker.Region)
	n.domain = groupOf(f.domains, n.worker.Domain, n.worker.Region)
	n.rack.nodes[n.worker.Name] = n
	n.domain.nodes[n.worker.Name] = n
	for i, v := range allViews {
		n.free[i] = n.freeIn(v)
		f.updateView(n, i, 1)
	}
}

// unindex removes a worker from the index.
func (f *Fleet) unindex(n *node) {
	if !n.indexed {
		return
	}
	n.indexed = false
	for i := range allViews {
		f.updateView(n, i, -1)
	}
	n.pool.count--
	delete(n.rack.nodes, n.worker.Name)
	delete(n.domain.nodes, n.worker.Name)
}

// refresh updates a worker in the views in which its free resources have changed.
func (f *Fleet) refresh(n *node) {
	if !n.indexed {
		return
	}
	for i, v := range allViews {
		free := n.freeIn(v)
		if free == n.free[i] {
			continue
		}
		f.updateView(n, i, -1)
		n.free[i] = free
		f.updateView(n, i, 1)
	}
}

// updateView adds the worker to one view of the index, or removes it if sign is -1.
func (f *Fleet) updateView(n *node, v, sign int) {
	if sign > 0 {
		n.pool.insert(n, v)
	} else {
		n.pool.remove(n, v)
	}
	n.domain.add(n, v, sign)
	n.rack.add(n, v, sign)
	f.byRack[v].Delete(rackEntry{n.rack.indexedAccels[v], n.rack.name, nil})
	n.rack.indexedAccels[v] = n.rack.accels[v]
	f.byRack[v].ReplaceOrInsert(rackEntry{n.rack.indexedAccels[v], n.rack.name, n.rack})
}
