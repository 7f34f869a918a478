package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// fullRepairInterval is the time between two full repairs by Decide.
const fullRepairInterval = 10 * time.Second

// addUnits adds the units that the team's guarantees require, unbound.
func (s *Sched) addUnits(t *team) {
	existing := make(map[string]bool, len(t.units))
	for _, u := range t.units {
		existing[u.id] = true
	}
	for i, g := range t.Guarantees {
		for k := range g.Count {
			u := newUnit(t.Name, i, k, g.Shape)
			if existing[u.id] {
				continue
			}
			t.units = append(t.units, u)
			s.unboundUnits[u] = true
		}
	}
}

// removeUnits removes the units that the team's guarantees no longer require.
func (s *Sched) removeUnits(t *team) {
	t.units = slices.DeleteFunc(t.units, func(u *guaranteeUnit) bool {
		if u.guaranteeIndex < len(t.Guarantees) {
			g := t.Guarantees[u.guaranteeIndex]
			if g.Shape == u.shape && u.copyIndex < g.Count {
				return false
			}
		}
		s.unbind(u)
		delete(s.unboundUnits, u)
		return true
	})
}

// bind binds the unit to the workers of the placement.
func (s *Sched) bind(u *guaranteeUnit, placement []place.Cell) {
	u.binding = placement
	s.fleet.Take(place.Bound, placement, u.need)
	for _, c := range placement {
		if s.unitsByWorker[c.Worker] == nil {
			s.unitsByWorker[c.Worker] = make(map[*guaranteeUnit]bool)
		}
		s.unitsByWorker[c.Worker][u] = true
	}
	delete(s.unboundUnits, u)
	s.dirtyTeams[u.team] = true
}

// unbind removes the unit's binding. Jobs within it continue outside of
// guarantees.
func (s *Sched) unbind(u *guaranteeUnit) {
	if !u.bound() {
		return
	}
	s.fleet.Release(place.Bound, u.binding, u.need)
	for _, c := range u.binding {
		delete(s.unitsByWorker[c.Worker], u)
		if len(s.unitsByWorker[c.Worker]) == 0 {
			delete(s.unitsByWorker, c.Worker)
		}
	}
	u.binding = nil
	s.unboundUnits[u] = true
	for _, j := range sortedJobs(u.jobs) {
		s.detachFromUnit(j)
	}
}

func sortedJobs(m map[string]*job) []*job {
	js := make([]*job, 0, len(m))
	for _, j := range m {
		js = append(js, j)
	}
	slices.SortFunc(js, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return js
}

func sortedUnits(m map[*guaranteeUnit]bool) []*guaranteeUnit {
	us := make([]*guaranteeUnit, 0, len(m))
	for u := range m {
		us = append(us, u)
	}
	slices.SortFunc(us, compareUnits)
	return us
}

// compareUnits orders units for binding, the hardest first: the largest, then
// those whose members must be closest together.
func compareUnits(a, b *guaranteeUnit) int {
	return cmp.Or(
		cmp.Compare(b.size(), a.size()),
		cmp.Compare(nearRank(a.shape.Proximity), nearRank(b.shape.Proximity)),
		cmp.Compare(a.id, b.id),
	)
}

// repair binds the unbound units. If they don't all find room, it cancels the
// reservations and binds all idle units again. It skips this full repair if
// nothing was freed since the last one.
func (s *Sched) repair() {
	s.bindUnboundUnits()
	if len(s.unboundUnits) == 0 || s.rebuilding || s.freedAtLastRepair == s.fleet.FreedCount() {
		return
	}
	for _, j := range s.sortedReservedJobs() {
		s.cancelReservation(j)
	}
	s.rebindIdleUnits()
	s.freedAtLastRepair = s.fleet.FreedCount()
}

// bindUnboundUnits binds the unbound units that find room without changing
// other bindings.
func (s *Sched) bindUnboundUnits() {
	if s.rebuilding {
		return
	}
	for _, u := range sortedUnits(s.unboundUnits) {
		s.tryBind(u)
	}
}

// repairIfDue binds the unbound units that find room, and does a full repair
// each time fullRepairInterval has passed.
func (s *Sched) repairIfDue(now time.Time) {
	if len(s.unboundUnits) == 0 {
		return
	}
	if now.Sub(s.lastFullRepair) < fullRepairInterval {
		s.bindUnboundUnits()
		return
	}
	s.lastFullRepair = now
	s.repair()
}

// tryBind binds the unit to workers that are free for it, if there are any.
func (s *Sched) tryBind(u *guaranteeUnit) bool {
	placement, ok := s.fleet.Find(place.Query{Shape: u.shape, View: place.Unbound})
	if ok {
		s.bind(u, placement)
	}
	return ok
}

// rebindIdleUnits binds all idle units again, the hardest to bind first. It
// restores the old bindings if more units are unbound than before or if one is
// that was bound.
func (s *Sched) rebindIdleUnits() {
	before := len(s.unboundUnits)
	oldBindings := make(map[*guaranteeUnit][]place.Cell)
	for _, t := range s.teams {
		for _, u := range t.units {
			if u.bound() && u.idle() {
				oldBindings[u] = u.binding
			}
		}
	}
	for u := range oldBindings {
		s.unbind(u)
	}
	for _, u := range sortedUnits(s.unboundUnits) {
		s.tryBind(u)
	}
	if len(s.unboundUnits) <= before && !anyUnbound(oldBindings) {
		return
	}
	s.restoreBindings(oldBindings)
}

// anyUnbound reports whether a unit that was bound before is unbound now.
func anyUnbound(oldBindings map[*guaranteeUnit][]place.Cell) bool {
	for u := range oldBindings {
		if !u.bound() {
			return true
		}
	}
	return false
}

// restoreBindings binds the units of oldBindings as they were, and unbinds idle
// units that were bound since. It then binds unbound units that find room.
func (s *Sched) restoreBindings(oldBindings map[*guaranteeUnit][]place.Cell) {
	for _, t := range s.teams {
		for _, u := range t.units {
			if u.bound() && u.idle() {
				s.unbind(u)
			}
		}
	}
	for u, placement := range oldBindings {
		s.bind(u, placement)
	}
	for _, u := range sortedUnits(s.unboundUnits) {
		s.tryBind(u)
	}
}

// moveBindings moves the bindings off a worker that guarantees can't be
// reclaimed on.
func (s *Sched) moveBindings(worker string) {
	for _, u := range sortedUnits(s.unitsByWorker[worker]) {
		if !s.replaceWorker(u, worker) {
			s.unbind(u)
		}
	}
}

// replaceWorker replaces one worker of a unit by others in the same scope. Jobs
// that have members there leave the unit, the others stay in it.
func (s *Sched) replaceWorker(u *guaranteeUnit, worker string) bool {
	i := slices.IndexFunc(u.binding, func(c place.Cell) bool { return c.Worker == worker })
	if len(u.binding) < 2 || i < 0 {
		return false
	}
	if s.hasUnstoppableOn(u, worker) {
		return false
	}
	kept := slices.Delete(slices.Clone(u.binding), i, i+1)
	missing := u.shape
	missing.Members = u.binding[i].Count
	added, ok := s.fleet.Find(place.Query{Shape: missing, View: place.Unbound, SameScopeAs: kept[0].Worker})
	if !ok {
		return false
	}
	s.rebindTo(u, append(kept, added...))
	return true
}

// hasUnstoppableOn reports whether an unstoppable job of the unit has members
// on the worker. If it left the unit, it would need room in addition to the
// unit.
func (s *Sched) hasUnstoppableOn(u *guaranteeUnit, worker string) bool {
	for _, j := range u.jobs {
		if !j.Stoppable && !s.hasLostMember(j) && !j.usageOn(worker).IsZero() {
			return true
		}
	}
	return false
}

// rebindTo binds the unit to other workers and detaches the jobs that are no
// longer within it.
func (s *Sched) rebindTo(u *guaranteeUnit, placement []place.Cell) {
	jobs := u.jobs
	u.jobs = make(map[string]*job)
	s.unbind(u)
	s.bind(u, mergePlacement(placement))
	unused := u.unused()
	for _, j := range sortedJobs(jobs) {
		u.jobs[j.ID] = j
		if j.fitsWithin(unused) {
			j.subtractFrom(unused)
			continue
		}
		s.detachFromUnit(j)
	}
}

// mergePlacement combines the members on the same worker.
func mergePlacement(placement []place.Cell) []place.Cell {
	var ms []model.Member
	for _, c := range placement {
		for range c.Count {
			ms = append(ms, model.Member{Worker: c.Worker})
		}
	}
	return place.CellsOf(ms)
}

// fitsWithin reports whether the resources left on each worker hold the job.
func (j *job) fitsWithin(unused map[string]place.Resources) bool {
	for _, c := range j.placement {
		if !j.need.Times(c.Count).Fits(unused[c.Worker]) {
			return false
		}
	}
	return true
}

// subtractFrom subtracts the job's resources from those left on each worker.
func (j *job) subtractFrom(unused map[string]place.Resources) {
	for _, c := range j.placement {
		unused[c.Worker] = unused[c.Worker].Sub(j.need.Times(c.Count))
	}
}
