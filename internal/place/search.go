package place

import (
	"cmp"
	"slices"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Limits on the candidates that a search under the Gradient policy compares.
const (
	maxCandidates  = 32 // racks; also workers of one pool beyond twice the members of the gang
	poolCandidates = 8  // workers of one pool for a gang on a single worker
)

// Query describes a search for room for all members of a shape.
type Query struct {
	Shape       model.Shape
	View        View                     // resources that count as free
	Avoid       func(worker string) bool // optional: workers to leave out
	SameScopeAs string                   // optional: search only the scope that contains this worker
}

// need returns the resources of one member.
func (q Query) need() Resources { return ResourcesOf(q.Shape) }

// allowsKind reports whether the query accepts accelerators of that kind.
func (q Query) allowsKind(kind string) bool { return q.Shape.Kind == "" || q.Shape.Kind == kind }

func (q Query) avoids(n *node) bool { return q.Avoid != nil && q.Avoid(n.worker.Name) }

// room returns how many members fit on the worker.
func (q Query) room(n *node) int {
	if !q.allowsKind(n.worker.Kind) || q.avoids(n) {
		return 0
	}
	return q.need().FitCount(n.free[q.View.index()], q.Shape.Members)
}

// Find chooses workers for all members of the shape. It reports false if there isn't room for all of
// them; it never returns a part of them.
func (f *Fleet) Find(q Query) ([]Cell, bool) {
	if q.Shape.Members < 1 {
		return nil, false
	}
	if q.SameScopeAs != "" {
		return f.findInSameScope(q)
	}
	switch q.Shape.Proximity {
	case model.ProximityWorker:
		return f.findWorker(q)
	case model.ProximityRack:
		return f.findRack(q)
	default:
		return f.findInPools(q)
	}
}

// rackLimit returns how many racks a search compares.
func (f *Fleet) rackLimit() int {
	if f.policy == Gradient {
		return maxCandidates
	}
	return len(f.nodes)
}

// poolLimit returns how many workers of one pool a search compares. For work without accelerators a
// pool is already in the order of cost.
func (f *Fleet) poolLimit(need Resources) int {
	switch {
	case f.policy != Gradient:
		return len(f.nodes)
	case need.Accels == 0:
		return 1
	default:
		return poolCandidates
	}
}

// findWorker places a gang on a single worker.
func (f *Fleet) findWorker(q Query) ([]Cell, bool) {
	total := q.need().Times(q.Shape.Members)
	v := q.View.index()
	var best *node
	var leastCost cost
	for _, p := range f.pools {
		if !q.allowsKind(p.key.kind) || total.Accels > p.key.accels {
			continue
		}
		remaining := f.poolLimit(total)
		p.scan(v, total, func(n *node) bool {
			if q.avoids(n) {
				return true
			}
			c := f.nodeCost(n, v, total.Accels)
			if best == nil || c.less(leastCost) {
				best, leastCost = n, c
			}
			remaining--
			return remaining > 0
		})
	}
	if best == nil {
		return nil, false
	}
	return []Cell{{best.worker.Name, q.Shape.Members}}, true
}

// findRack places a gang within one rack.
func (f *Fleet) findRack(q Query) ([]Cell, bool) {
	var best []Cell
	var leastCost cost
	remaining := f.rackLimit()
	from := rackEntry{accels: q.Shape.TotalAccels()}
	f.byRack[q.View.index()].AscendGreaterOrEqual(from, func(e rackEntry) bool {
		cells, c, ok := f.fill(q, e.group.sorted())
		if !ok {
			return true
		}
		if best == nil || c.less(leastCost) {
			best, leastCost = cells, c
		}
		remaining--
		return remaining > 0
	})
	return best, best != nil
}

// findInSameScope places a gang in the scope that contains the worker q.SameScopeAs.
func (f *Fleet) findInSameScope(q Query) ([]Cell, bool) {
	n, ok := f.nodes[q.SameScopeAs]
	if !ok {
		return nil, false
	}
	var cells []Cell
	switch q.Shape.Proximity {
	case model.ProximityWorker:
		if !n.indexed {
			return nil, false
		}
		cells, _, ok = f.fill(q, []*node{n})
	case model.ProximityRack:
		g := groupOf(f.racks, n.worker.Domain+"/"+n.worker.Rack, n.worker.Region)
		cells, _, ok = f.fill(q, g.sorted())
	default:
		cells, _, ok = f.fillPools(q, f.scopePools(q, n.worker))
	}
	return cells, ok
}

// scopePools returns the pools of the worker's failure domain or region that suit the query.
func (f *Fleet) scopePools(q Query, w model.Worker) []*pool {
	var pools []*pool
	for _, p := range f.pools {
		inScope := p.key.region == w.Region && (q.Shape.Proximity != model.ProximityDomain || p.key.domain == w.Domain)
		if inScope && q.allowsKind(p.key.kind) && q.Shape.Accels <= p.key.accels {
			pools = append(pools, p)
		}
	}
	return pools
}

// findInPools places a gang within one failure domain or one region.
func (f *Fleet) findInPools(q Query) ([]Cell, bool) {
	var best []Cell
	var leastCost cost
	for _, pools := range f.poolSets(q) {
		cells, c, ok := f.fillPools(q, pools)
		if ok && (best == nil || c.less(leastCost)) {
			best, leastCost = cells, c
		}
	}
	return best, best != nil
}

// poolSets returns the sets of pools to try for a gang: each pool of equal workers alone, then all pools
// of each domain or region together.
func (f *Fleet) poolSets(q Query) [][]*pool {
	var sets [][]*pool
	var inScope []*pool
	var last string
	for _, p := range f.pools {
		if p.count == 0 || !q.allowsKind(p.key.kind) || q.Shape.Accels > p.key.accels {
			continue
		}
		scope := p.key.region
		if q.Shape.Proximity == model.ProximityDomain {
			scope += "/" + p.key.domain
		}
		if scope != last {
			sets = appendSet(sets, inScope)
			inScope, last = nil, scope
		}
		inScope = append(inScope, p)
		sets = append(sets, []*pool{p})
	}
	return appendSet(sets, inScope)
}

// appendSet appends the pools of a domain or region if there are several.
func appendSet(sets [][]*pool, set []*pool) [][]*pool {
	if len(set) < 2 {
		return sets
	}
	return append(sets, set)
}

// fillPools places a gang on workers of the pools.
func (f *Fleet) fillPools(q Query, pools []*pool) ([]Cell, cost, bool) {
	var nodes []*node
	for _, p := range pools {
		room, limit := 0, 2*q.Shape.Members+maxCandidates
		if f.policy != Gradient {
			limit = len(f.nodes)
		}
		p.scan(q.View.index(), q.need(), func(n *node) bool {
			k := q.room(n)
			if k == 0 {
				return true
			}
			nodes = append(nodes, n)
			room += k
			limit--
			return limit > 0 || room < q.Shape.Members
		})
	}
	return f.fill(q, nodes)
}

// option is a worker with the number of members that fit on it.
type option struct {
	node *node
	room int
	cost cost // of placing that many members on it
}

// fill places the members on the given workers, those with the lowest cost first.
func (f *Fleet) fill(q Query, nodes []*node) ([]Cell, cost, bool) {
	options, sum := f.options(q, nodes)
	if sum < q.Shape.Members {
		return nil, cost{}, false
	}
	slices.SortStableFunc(options, func(a, b option) int { return a.cost.compare(b.cost) })
	var cells []Cell
	var total cost
	remaining := q.Shape.Members
	for _, o := range options {
		if remaining == 0 {
			break
		}
		k := min(o.room, remaining)
		remaining -= k
		cells = append(cells, Cell{o.node.worker.Name, k})
		total = total.add(f.nodeCost(o.node, q.View.index(), k*q.Shape.Accels))
	}
	return cells, total, true
}

// options returns the workers with room for members, and the number of members that fit in total.
func (f *Fleet) options(q Query, nodes []*node) ([]option, int) {
	sum := 0
	options := make([]option, 0, len(nodes))
	for _, n := range nodes {
		room := q.room(n)
		if room == 0 {
			continue
		}
		sum += room
		options = append(options, option{n, room, f.nodeCost(n, q.View.index(), room*q.Shape.Accels)})
	}
	return options, sum
}

// sorted returns the workers of the group by name.
func (g *workerGroup) sorted() []*node {
	nodes := make([]*node, 0, len(g.nodes))
	for _, n := range g.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(a.worker.Name, b.worker.Name) })
	return nodes
}
