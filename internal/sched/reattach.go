package sched

import (
	"cmp"
	"slices"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// sortedForReset sorts the jobs for Reset: those that run within guarantees
// first, then those that run outside, then those that wait, each by descending
// size.
func sortedForReset(jobs []model.Job) []model.Job {
	sorted := slices.Clone(jobs)
	rank := func(j model.Job) int {
		switch {
		case holdsWorkers(j.State) && !j.Borrowed:
			return 0
		case holdsWorkers(j.State):
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(sorted, func(a, b model.Job) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(b.Shape.TotalAccels(), a.Shape.TotalAccels()),
			cmp.Compare(b.Shape.Members, a.Shape.Members),
		)
	})
	return sorted
}

// reattach assigns a unit to a placed job that was added without one.
func (s *Sched) reattach(j *job) {
	s.unblockBinding(j)
	s.assignUnit(j)
	if u := j.unit; u != nil {
		s.attachToUnit(j, u)
		return
	}
	if !j.Stoppable && !s.hasLostMember(j) {
		s.blockBinding(j)
	}
}

// assignUnit finds a unit for a job that is committed with a placement within
// the guarantee of its team.
func (s *Sched) assignUnit(j *job) {
	if j.Borrowed || s.hasLostMember(j) {
		return
	}
	us := suitableUnits(s.ensureTeam(j.Team), j)
	for _, u := range us {
		if u.bound() && j.fitsWithin(u.unused()) {
			j.unit = u
			return
		}
	}
	for _, u := range us {
		if u.idle() && s.bindIncluding(u, j) {
			j.unit = u
			return
		}
	}
}

// bindIncluding binds an idle unit to workers that include those of the job.
func (s *Sched) bindIncluding(u *guaranteeUnit, j *job) bool {
	oldBinding, wasBound := u.binding, u.bound()
	s.unbind(u)
	placement, ok := s.findBindingIncluding(u, j)
	if ok {
		s.bind(u, placement)
		return true
	}
	if wasBound {
		s.bind(u, oldBinding)
	}
	return false
}

// findBindingIncluding returns workers for the unit that include those of the
// job.
func (s *Sched) findBindingIncluding(u *guaranteeUnit, j *job) ([]place.Cell, bool) {
	var placement []place.Cell
	remaining := u.shape.Members
	scopes := make(map[string]bool)
	for _, c := range j.placement {
		k := 1
		for k <= remaining && !j.need.Times(c.Count).Fits(u.need.Times(k)) {
			k++
		}
		if k > remaining || !u.need.Times(k).Fits(s.fleet.Free(c.Worker, place.Unbound)) {
			return nil, false
		}
		w, ok := s.fleet.Worker(c.Worker)
		if !ok || w.State != model.WorkerReady {
			return nil, false
		}
		scopes[place.ScopeOf(u.shape.Proximity, w)] = true
		remaining -= k
		placement = append(placement, place.Cell{Worker: c.Worker, Count: k})
	}
	if len(scopes) > 1 {
		return nil, false
	}
	if remaining == 0 {
		return placement, true
	}
	return s.addRemainingMembers(u, placement, remaining)
}

// addRemainingMembers adds workers in the same scope for the other members of
// the unit.
func (s *Sched) addRemainingMembers(u *guaranteeUnit, placement []place.Cell, remaining int) ([]place.Cell, bool) {
	shape := u.shape
	shape.Members = remaining
	s.fleet.Take(place.Bound, placement, u.need)
	added, ok := s.fleet.Find(place.Query{Shape: shape, View: place.Unbound, SameScopeAs: placement[0].Worker})
	s.fleet.Release(place.Bound, placement, u.need)
	return mergePlacement(append(slices.Clone(placement), added...)), ok
}
