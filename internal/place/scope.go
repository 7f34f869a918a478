package place

import (
	"cmp"
	"slices"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const maxCachedScopes = 256 // maximum number of entries of Fleet.scopeCache; a full map is cleared

// scopesKey holds everything that a result of Scopes depends on besides the workers.
type scopesKey struct {
	proximity model.Proximity
	kind      string
	need      Resources
}

// Scopes returns the names of the ready workers that could hold a member of the shape if they were
// empty, grouped by the scopes within which a gang of that shape must stay.
func (f *Fleet) Scopes(s model.Shape) [][]string {
	key := scopesKey{s.Proximity, s.Kind, ResourcesOf(s)}
	scopes, cached := f.scopeCache[key]
	if !cached {
		if len(f.scopeCache) >= maxCachedScopes {
			clear(f.scopeCache)
		}
		scopes = f.scopesOf(s)
		f.scopeCache[key] = scopes
	}
	return scopes
}

// scopesOf computes the result of Scopes.
func (f *Fleet) scopesOf(s model.Shape) [][]string {
	var keys []string
	groups := make(map[string][]string)
	for _, n := range f.nodes {
		if !n.indexed || !ResourcesOf(s).Fits(n.capacity) || (s.Kind != "" && s.Kind != n.worker.Kind) {
			continue
		}
		key := ScopeOf(s.Proximity, n.worker)
		if groups[key] == nil {
			keys = append(keys, key)
		}
		groups[key] = append(groups[key], n.worker.Name)
	}
	slices.Sort(keys)
	scopes := make([][]string, 0, len(keys))
	for _, key := range keys {
		slices.Sort(groups[key])
		scopes = append(scopes, groups[key])
	}
	return scopes
}

// ScopeOf returns the name of the worker, rack, failure domain or region within which a gang on this
// worker must stay.
func ScopeOf(proximity model.Proximity, w model.Worker) string {
	switch proximity {
	case model.ProximityWorker:
		return w.Name
	case model.ProximityRack:
		return w.Region + "/" + w.Domain + "/" + w.Rack
	case model.ProximityDomain:
		return w.Region + "/" + w.Domain
	default:
		return w.Region
	}
}

// FreeAccels returns the number of accelerators that no running or claimed work uses.
func (f *Fleet) FreeAccels() int {
	sum := 0
	for _, g := range f.domains {
		sum += g.accels[Unoccupied.index()]
	}
	return sum
}

// CountGangs returns how many gangs of the shape fit beside running and claimed work. Only accelerators are
// counted.
func (f *Fleet) CountGangs(s model.Shape) int {
	roomByScope := make(map[string]int)
	need := Resources{Accels: s.Accels}
	for _, n := range f.nodes {
		if !n.indexed || (s.Kind != "" && s.Kind != n.worker.Kind) {
			continue
		}
		free := n.free[Unoccupied.index()].Accels
		roomByScope[ScopeOf(s.Proximity, n.worker)] += need.FitCount(Resources{Accels: max(free, 0)}, free)
	}
	sum := 0
	for _, room := range roomByScope {
		sum += room / s.Members
	}
	return sum
}

// MaxMembers returns how many members of the shape fit into the best single scope at present, at most as
// many as the shape has.
func (f *Fleet) MaxMembers(s model.Shape) int {
	roomByScope := make(map[string]int)
	most := 0
	for _, n := range f.nodes {
		if !n.indexed || (s.Kind != "" && s.Kind != n.worker.Kind) {
			continue
		}
		key := ScopeOf(s.Proximity, n.worker)
		roomByScope[key] += ResourcesOf(s).FitCount(n.free[Unoccupied.index()], s.Members)
		most = max(most, roomByScope[key])
	}
	return min(most, s.Members)
}

// PartlyUsed returns up to limit ready workers of which running and claimed work uses at most half of the
// accelerators, the least used first. Entirely free workers are left out.
func (f *Fleet) PartlyUsed(limit int) []string {
	type candidate struct {
		name string
		used int
	}
	var candidates []candidate
	for _, p := range f.pools {
		for a := p.key.accels - 1; a >= (p.key.accels+1)/2 && a > 0; a-- {
			remaining := limit
			p.views[Unoccupied.index()][a].Ascend(func(e nodeEntry) bool {
				candidates = append(candidates, candidate{e.name, p.key.accels - a})
				remaining--
				return remaining > 0
			})
		}
	}
	slices.SortFunc(candidates, func(a, c candidate) int {
		return cmp.Or(cmp.Compare(a.used, c.used), cmp.Compare(a.name, c.name))
	})
	names := make([]string, 0, limit)
	for _, c := range candidates[:min(limit, len(candidates))] {
		names = append(names, c.name)
	}
	return names
}

// AllFree reports whether all accelerators of the worker are free.
func (f *Fleet) AllFree(worker string) bool {
	n, ok := f.nodes[worker]
	return ok && n.indexed && n.allFree(Unoccupied.index())
}
