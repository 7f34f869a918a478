package sched

import (
	"fmt"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// guaranteeUnit is one copy of a guaranteed shape of a team. It is bound to
// workers.
type guaranteeUnit struct {
	id             string // team, guaranteeIndex and copyIndex, separated by slashes
	team           string
	guaranteeIndex int // of the guarantee in the team's list
	copyIndex      int // number of the copy within the guarantee, from 0
	shape          model.Shape
	need           place.Resources // resources of one member
	binding        []place.Cell    // workers that it is bound to; nil while it is unbound
	jobs           map[string]*job // placed and claimed jobs within it, by id
}

func newUnit(team string, guaranteeIndex, copyIndex int, s model.Shape) *guaranteeUnit {
	return &guaranteeUnit{
		id:             fmt.Sprintf("%s/%d/%d", team, guaranteeIndex, copyIndex),
		team:           team,
		guaranteeIndex: guaranteeIndex,
		copyIndex:      copyIndex,
		shape:          s,
		need:           place.ResourcesOf(s),
		jobs:           make(map[string]*job),
	}
}

func (u *guaranteeUnit) bound() bool { return u.binding != nil }

func (u *guaranteeUnit) idle() bool { return len(u.jobs) == 0 }

// usageOn returns the resources that the unit takes on the worker.
func (u *guaranteeUnit) usageOn(worker string) place.Resources {
	var sum place.Resources
	for _, c := range u.binding {
		if c.Worker == worker {
			sum = sum.Add(u.need.Times(c.Count))
		}
	}
	return sum
}

// canHold reports whether a job of the shape could run in the unit if it were
// idle. Work without accelerators may not use a unit that has accelerators.
func (u *guaranteeUnit) canHold(s model.Shape) bool {
	if u.shape.Accels > 0 && s.Accels == 0 {
		return false
	}
	if u.shape.Kind != "" && u.shape.Kind != s.Kind && s.Kind != "" {
		return false
	}
	if s.Kind != "" && u.shape.Kind == "" {
		return false
	}
	if nearRank(u.shape.Proximity) > nearRank(s.Proximity) {
		return u.memberCanHold(s)
	}
	perMember := place.ResourcesOf(s).FitCount(u.need, s.Members)
	return perMember > 0 && perMember*u.shape.Members >= s.Members
}

// memberCanHold reports whether all members of the shape fit into one member of
// the unit. This is required where the members must be closer together than
// those of the unit, since the workers that the unit is bound to may be far
// apart.
func (u *guaranteeUnit) memberCanHold(s model.Shape) bool {
	return place.ResourcesOf(s).Times(s.Members).Fits(u.need)
}

// nearRank orders the levels of adjacency from the closest to the widest.
func nearRank(n model.Proximity) int {
	switch n {
	case model.ProximityWorker:
		return 0
	case model.ProximityRack:
		return 1
	case model.ProximityDomain:
		return 2
	default:
		return 3
	}
}

// unused returns the resources of the unit that its jobs leave unused, by
// worker.
func (u *guaranteeUnit) unused() map[string]place.Resources {
	unused := make(map[string]place.Resources, len(u.binding))
	for _, c := range u.binding {
		unused[c.Worker] = unused[c.Worker].Add(u.need.Times(c.Count))
	}
	for _, j := range u.jobs {
		for _, c := range j.placement {
			unused[c.Worker] = unused[c.Worker].Sub(j.need.Times(c.Count))
		}
	}
	return unused
}

// fills reports whether a job of the shape is at least as large as the unit.
func (u *guaranteeUnit) fills(s model.Shape) bool {
	return sizeOf(s) >= u.size()
}

// size returns a number that orders units by accelerators, then by cores.
func (u *guaranteeUnit) size() int { return sizeOf(u.shape) }

func sizeOf(s model.Shape) int {
	const coresPerAccel = 64 // cores that count as much as one accelerator
	return s.Members * (s.Accels*coresPerAccel + s.Cores)
}
