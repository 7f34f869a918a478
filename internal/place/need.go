package place

import "github.com/knapweedlug/knapweedlug/pkg/model"

// Need is an amount of a worker's resources.
type Need struct {
	Cores  int
	Memory int64
	Accels int
}

// NeedOf returns what one member of the shape takes.
func NeedOf(s model.Shape) Need {
	return Need{Cores: s.Cores, Memory: s.Memory, Accels: s.Accels}
}

// Capacity returns everything that the worker has.
func Capacity(w model.Worker) Need {
	return Need{Cores: w.Cores, Memory: w.Memory, Accels: w.Accels}
}

// Add returns the sum of both amounts.
func (n Need) Add(o Need) Need {
	return Need{n.Cores + o.Cores, n.Memory + o.Memory, n.Accels + o.Accels}
}

// Sub returns what is left of n without o.
func (n Need) Sub(o Need) Need {
	return Need{n.Cores - o.Cores, n.Memory - o.Memory, n.Accels - o.Accels}
}

// Times returns the amount k times over.
func (n Need) Times(k int) Need {
	return Need{n.Cores * k, n.Memory * int64(k), n.Accels * k}
}

// Min returns the smaller of both amounts for each resource.
func (n Need) Min(o Need) Need {
	return Need{min(n.Cores, o.Cores), min(n.Memory, o.Memory), min(n.Accels, o.Accels)}
}

// Fits reports whether the amount is available in free.
func (n Need) Fits(free Need) bool {
	return n.Cores <= free.Cores && n.Memory <= free.Memory && n.Accels <= free.Accels
}

// Into returns how many times the amount goes into free, at most limit.
func (n Need) Into(free Need, limit int) int {
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

// IsZero reports whether nothing is needed.
func (n Need) IsZero() bool { return n == Need{} }

// Cell is a number of members of one gang on one worker.
type Cell struct {
	Worker string
	Count  int
}

// Members numbers the members of a gang that was placed on the cells.
func Members(cells []Cell) []model.Member {
	var ms []model.Member
	for _, c := range cells {
		for range c.Count {
			ms = append(ms, model.Member{Index: len(ms), Worker: c.Worker})
		}
	}
	return ms
}

// CellsOf groups the members of a gang by worker, in the order of the members.
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
