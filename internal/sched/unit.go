package sched

import (
	"fmt"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// unit is one copy of a guaranteed shape of a team. It is bound to workers.
type unit struct {
	id    string
	team  string
	index int // of the guarantee in the team's list
	copy  int // number of the copy within the guarantee, from 0
	shape model.Shape
	need  place.Need
	cells []place.Cell // workers that it is bound to; nil while it is unbound
	jobs  map[string]*job
}

func newUnit(team string, index, copy int, s model.Shape) *unit {
	return &unit{
		id:    fmt.Sprintf("%s/%d/%d", team, index, copy),
		team:  team,
		index: index,
		copy:  copy,
		shape: s,
		need:  place.NeedOf(s),
		jobs:  make(map[string]*job),
	}
}

func (u *unit) bound() bool { return u.cells != nil }

func (u *unit) idle() bool { return len(u.jobs) == 0 }

// on returns the resources that the unit takes on the worker.
func (u *unit) on(worker string) place.Need {
	var sum place.Need
	for _, c := range u.cells {
		if c.Worker == worker {
			sum = sum.Add(u.need.Times(c.Count))
		}
	}
	return sum
}

// suits reports whether a job of the shape could run in the unit if it were idle.
// Work without accelerators may not use a unit that has accelerators.
func (u *unit) suits(s model.Shape) bool {
	if u.shape.Accels > 0 && s.Accels == 0 {
		return false
	}
	if u.shape.Kind != "" && u.shape.Kind != s.Kind && s.Kind != "" {
		return false
	}
	if s.Kind != "" && u.shape.Kind == "" {
		return false
	}
	if reach(u.shape.Near) > reach(s.Near) {
		return u.suitsParts(s)
	}
	per := place.NeedOf(s).Into(u.need, s.Members)
	return per > 0 && per*u.shape.Members >= s.Members
}

// suitsParts reports whether all members of the shape fit into one member of the
// unit. This is required where the members must be closer together than those of
// the unit, since the workers that the unit is bound to may be far apart.
func (u *unit) suitsParts(s model.Shape) bool {
	return place.NeedOf(s).Times(s.Members).Fits(u.need)
}

// reach orders the levels of adjacency from the closest to the widest.
func reach(n model.Near) int {
	switch n {
	case model.NearWorker:
		return 0
	case model.NearRack:
		return 1
	case model.NearDomain:
		return 2
	default:
		return 3
	}
}

// left returns the resources of the unit that its jobs leave unused, by worker.
func (u *unit) left() map[string]place.Need {
	left := make(map[string]place.Need, len(u.cells))
	for _, c := range u.cells {
		left[c.Worker] = left[c.Worker].Add(u.need.Times(c.Count))
	}
	for _, j := range u.jobs {
		for _, c := range j.cells {
			left[c.Worker] = left[c.Worker].Sub(j.need.Times(c.Count))
		}
	}
	return left
}

// fills reports whether a job of the shape is at least as large as the unit.
func (u *unit) fills(s model.Shape) bool {
	return sizeOf(s) >= u.size()
}

// size returns a number that orders units by accelerators, then by cores.
func (u *unit) size() int { return sizeOf(u.shape) }

func sizeOf(s model.Shape) int {
	const coresPerAccel = 64
	return s.Members * (s.Accels*coresPerAccel + s.Cores)
}
