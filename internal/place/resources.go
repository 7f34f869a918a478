package place

import "github.com/knapweedlug/knapweedlug/pkg/model"

// Resources is an amount of a worker's resources.
type Resources struct {
	Cores  int
	Memory int64 // bytes
	Accels int   // accelerators
}

// ResourcesOf returns the resources of one member of the shape.
func ResourcesOf(s model.Shape) Resources {
	return Resources{Cores: s.Cores, Memory: s.Memory, Accels: s.Accels}
}

// Capacity returns all resources of the worker.
func Capacity(w model.Worker) Resources {
	return Resources{Cores: w.Cores, Memory: w.Memory, Accels: w.Accels}
}

// Add returns the sum of n and o.
func (n Resources) Add(o Resources) Resources {
	return Resources{n.Cores + o.Cores, n.Memory + o.Memory, n.Accels + o.Accels}
}

// Sub returns n without o. Fields may become negative.
func (n Resources) Sub(o Resources) Resources {
	return Resources{n.Cores - o.Cores, n.Memory - o.Memory, n.Accels - o.Accels}
}

// Times returns k times n.
func (n Resources) Times(k int) Resources {
	return Resources{n.Cores * k, n.Memory * int64(k), n.Accels * k}
}

// Min returns the smaller amount of each resource.
func (n Resources) Min(o Resources) Resources {
	return Resources{min(n.Cores, o.Cores), min(n.Memory, o.Memory), min(n.Accels, o.Accels)}
}

// Fits reports whether n fits into free.
func (n Resources) Fits(free Resources) bool {
	return n.Cores <= free.Cores && n.Memory <= free.Memory && n.Accels <= free.Accels
}

// FitCount returns how many times n fits into free, at most limit.
func (n Resources) FitCount(free Resources, limit int) int {
	k := limit
	if n.Cores > 0 {
		k = min(k, free.Cores/n.Cores)
	}
	if n.Memory > 0 {
		k = min(k, int(free.Memory/n.Memory))
	}
	if n.Accels > 0 {
		k = min(k, free.Accels/n.Accels)
	}
	if free.Cores < 0 || free.Memory < 0 || free.Accels < 0 {
		return 0
	}
	return max(k, 0)
}

// IsZero reports whether all fields are zero.
func (n Resources) IsZero() bool { return n == Resources{} }

// Cell is the number of members of a gang on one worker. A list of cells is the placement of a gang.
type Cell struct {
	Worker string // name
	Count  int    // members
}

// Members returns the members of a gang with that placement.
func Members(cells []Cell) []model.Member {
	var ms []model.Member
	for _, c := range cells {
		for range c.Count {
			ms = append(ms, model.Member{Index: len(ms), Worker: c.Worker})
		}
	}
	return ms
}

// CellsOf returns the placement of the members, in their order.
func CellsOf(ms []model.Member) []Cell {
	var cells []Cell
	at := make(map[string]int, len(ms))
	for _, m := range ms {
		i, ok := at[m.Worker]
		if !ok {
			i = len(cells)
			at[m.Worker] = i
			cells = append(cells, Cell{Worker: m.Worker})
		}
		cells[i].Count++
	}
	return cells
}
