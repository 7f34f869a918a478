package state

import (
	"fmt"
	"math"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// place is the location of a worker, down to the level that a shape's Near names.
// The finer levels are empty.
type place struct {
	region, domain, rack, worker string
}

func placeOf(w *Worker, near model.Near) place {
	p := place{region: w.Region}
	if near == model.NearAny {
		return p
	}
	p.domain = w.Domain
	if near == model.NearDomain {
		return p
	}
	p.rack = w.Rack
	if near == model.NearRack {
		return p
	}
	p.worker = w.Name
	return p
}

// holds returns how many members of a shape would fit on the worker if it were
// idle.
func holds(w *Worker, s model.Shape) int {
	if s.Kind != "" && s.Kind != w.Kind {
		return 0
	}
	n := min(w.Cores/s.Cores, int(min(w.Memory/s.Memory, math.MaxInt32)))
	if s.Accels > 0 {
		n = min(n, w.Accels/s.Accels)
	}
	return n
}

// widest returns the largest number of members of a shape that would fit within
// one location if all its workers were idle and healthy. It stops at the first
// location that holds the whole shape.
func (d *data) widest(s model.Shape) int {
	sums := map[place]int{}
	best := 0
	for _, w := range d.workers.all() {
		n := holds(w, s)
		if n == 0 {
			continue
		}
		p := placeOf(w, s.Near)
		sums[p] += n
		best = max(best, sums[p])
		if best >= s.Members {
			break
		}
	}
	return best
}

// checkShape refuses a shape that the fleet couldn't hold even if it were idle.
// The fields of the shape must be valid.
func (d *data) checkShape(field string, s model.Shape) []model.Refusal {
	best := d.widest(s)
	if best >= s.Members {
		return nil
	}
	where := string(s.Near)
	if s.Near == model.NearAny {
		where = "region"
	}
	why := fmt.Sprintf("the listed fleet holds at most %d such members within one %s", best, where)
	return []model.Refusal{refuse(field+".members", s.Members, why)}
}

// checkGuarantee refuses a guarantee whose shape the fleet couldn't hold, or whose
// total memory overflows an int64.
func (d *data) checkGuarantee(field string, g model.Guarantee) []model.Refusal {
	if overflows(int64(g.Count), int64(g.Shape.Members), g.Shape.Memory) {
		return []model.Refusal{refuse(field+".count", g.Count, "makes the total memory overflow")}
	}
	return d.checkShape(field+".shape", g.Shape)
}

// overflows reports whether the product of positive factors exceeds an int64.
func overflows(factors ...int64) bool {
	product := int64(1)
	for _, f := range factors {
		if f > math.MaxInt64/product {
			return true
		}
		product *= f
	}
	return false
}
