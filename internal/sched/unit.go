package sched

import (
	"fmt"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// unit is one guaranteed shape of a team, bound to workers.
type unit struct {
	id    string
	team  string
	index int // of the guarantee within its team
	copy  int // of the shape within its guarantee
	shape model.Shape
	need  place.Need
	cells []place.Cell // nil while the unit is short of room
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

// on returns what the unit takes of a worker.
func (u *unit) on(worker string) place.Need {
	var sum place.Need
	for _, c := range u.cells {
		if c.Worker == worker {
			sum = sum.Add(u.need.Times(c.Count))
		}
	}
	return sum
}

// suits reports whether the job could run in the unit if nothing else did.
//
// Work without accelerators doesn't take a unit that has some.
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

// suitsParts covers a job that must lie closer together than the unit does: it
// then has to fit into one member of the unit, whatever the layout.
func (u *unit) suitsParts(s model.Shape) bool {
	return place.NeedOf(s).Times(s.Members).Fits(u.need)
}

// reach orders the levels of adjacency from the closest on.
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

// left returns what the unit's jobs leave of it on each worker.
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

// fills reports whether the job needs about all of the unit.
func (u *unit) fills(s model.Shape) bool {
	return sizeOf(s) >= u.size()
}

// size orders units by the accelerators, then the cores that they hold.
func (u *unit) size() int { return sizeOf(u.shape) }

func sizeOf(s model.Shape) int {
	const coresPerAccel = 64
	return s.Members * (s.Accels*coresPerAccel + s.Cores)
}
