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

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.Memory + o.Memory, r.Accels + o.Accels}
}

// Sub returns r without o. Fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.Memory - o.Memory, r.Accels - o.Accels}
}

// Times returns k times r.
func (r Resources) Times(k int) Resources {
	return Resources{r.Cores * k, r.Memory * int64(k), r.Accels * k}
}

// Min returns the smaller amount of r and o for each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.Cores, o.Cores), min(r.Memory, o.Memory), min(r.Accels, o.Accels)}
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.Cores <= free.Cores && r.Memory <= free.Memory && r.Accels <= free.Accels
}

// FitCount returns how many times r fits into free, at most limit.
func (r Resources) FitCount(free Resources, limit int) int {
	k := limit
	if r.Cores > 0 {
		k = min(k, free.Cores/r.Cores)
	}
	if r.Memory > 0 {
		k = min(k, int(free.Memory/r.Memory))
	}
	if r.Accels > 0 {
		k = min(k, free.Accels/r.Accels)
	}
	if free.Cores < 0 || free.Memory < 0 || free.Accels < 0 {
		return 0
	}
	return max(k, 0)
}

// IsZero reports whether all fields are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

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
