package state

import (
	"fmt"
	"math"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// location identifies where a worker is, down to the level that a shape's Near
// names. The finer levels are empty.
type location struct {
	region, domain, rack, worker string
}

func locationOf(w *Worker, proximity model.Proximity) location {
	loc := location{region: w.Region}
	if proximity == model.ProximityAny {
		return loc
	}
	loc.domain = w.Domain
	if proximity == model.ProximityDomain {
		return loc
	}
	loc.rack = w.Rack
	if proximity == model.ProximityRack {
		return loc
	}
	loc.worker = w.Name
	return loc
}

// memberCapacity returns how many members of a shape would fit on the worker if
// it were idle.
func memberCapacity(w *Worker, s model.Shape) int {
	if s.Kind != "" && s.Kind != w.Kind {
		return 0
	}
	n := min(w.Cores/s.Cores, int(min(w.Memory/s.Memory, math.MaxInt32)))
	if s.Accels > 0 {
		n = min(n, w.Accels/s.Accels)
	}
	return n
}

// bestCapacity returns the largest number of members of a shape that would fit
// within one location if all its workers were idle and healthy. It stops at the
// first location that holds the whole shape.
func (d *data) bestCapacity(s model.Shape) int {
	capacities := map[location]int{}
	best := 0
	for _, w := range d.workers.all() {
		n := memberCapacity(w, s)
		if n == 0 {
			continue
		}
		loc := locationOf(w, s.Proximity)
		capacities[loc] += n
		best = max(best, capacities[loc])
		if best >= s.Members {
			break
		}
	}
	return best
}

// checkShape refuses a shape that the fleet couldn't hold even if it were idle.
// The fields of the shape must be valid.
func (d *data) checkShape(field string, s model.Shape) []model.Refusal {
	best := d.bestCapacity(s)
	if best >= s.Members {
		return nil
	}
	level := string(s.Proximity)
	if s.Proximity == model.ProximityAny {
		level = "region"
	}
	reason := fmt.Sprintf("the listed fleet holds at most %d such members within one %s", best, level)
	return []model.Refusal{newRefusal(field+".members", s.Members, reason)}
}

// checkGuarantee refuses a guarantee whose shape the fleet couldn't hold, or
// whose total memory overflows an int64.
func (d *data) checkGuarantee(field string, g model.Guarantee) []model.Refusal {
	if productOverflows(int64(g.Count), int64(g.Shape.Members), g.Shape.Memory) {
		return []model.Refusal{newRefusal(field+".count", g.Count, "makes the total memory overflow")}
	}
	return d.checkShape(field+".shape", g.Shape)
}

// productOverflows reports whether the product of positive factors exceeds an
// int64.
func productOverflows(factors ...int64) bool {
	product := int64(1)
	for _, f := range factors {
		if f > math.MaxInt64/product {
			return true
		}
		product *= f
	}
	return false
}
