package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// reboundEvery is the time between two full repairs by Decide.
const reboundEvery = 10 * time.Second

// growUnits adds the units that the team's guarantees require, unbound.
func (s *Sched) growUnits(t *team) {
	have := make(map[string]bool, len(t.units))
	for _, u := range t.units {
		have[u.id] = true
	}
	for i, g := range t.Guarantees {
		for k := range g.Count {
			u := newUnit(t.Name, i, k, g.Shape)
			if have[u.id] {
				continue
			}
			t.units = append(t.units, u)
			s.short[u] = true
		}
	}
}

// shrinkUnits removes the units that the team's guarantees no longer require.
func (s *Sched) shrinkUnits(t *team) {
	t.units = slices.DeleteFunc(t.units, func(u *unit) bool {
		if u.index < len(t.Guarantees) {
			g := t.Guarantees[u.index]
			if g.Shape == u.shape && u.copy < g.Count {
				return false
			}
		}
		s.unbind(u)
		delete(s.short, u)
		return true
	})
}

// bind binds the unit to the workers of the cells.
func (s *Sched) bind(u *unit, cells []place.Cell) {
	u.cells = cells
	s.fleet.Take(place.Bound, cells, u.need)
	for _, c := range cells {
		if s.units[c.Worker] == nil {
			s.units[c.Worker] = make(map[*unit]bool)
		}
		s.units[c.Worker][u] = true
	}
	delete(s.short, u)
	s.dirty[u.team] = true
}

// unbind removes the unit's binding. Jobs within it continue outside of
// guarantees.
func (s *Sched) unbind(u *unit) {
	if !u.bound() {
		return
	}
	s.fleet.Give(place.Bound, u.cells, u.need)
	for _, c := range u.cells {
		delete(s.units[c.Worker], u)
		if len(s.units[c.Worker]) == 0 {
			delete(s.units, c.Worker)
		}
	}
	u.cells = nil
	s.short[u] = true
	for _, j := range sortedJobs(u.jobs) {
		s.detach(j)
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

func sortedUnits(m map[*unit]bool) []*unit {
	us := make([]*unit, 0, len(m))
	for u := range m {
		us = append(us, u)
	}
	slices.SortFunc(us, compareUnits)
	return us
}

// compareUnits orders units for binding, the hardest first: the largest, then
// those whose members must be closest together.
func compareUnits(a, b *unit) int {
	return cmp.Or(
		cmp.Compare(b.size(), a.size()),
		cmp.Compare(reach(a.shape.Near), reach(b.shape.Near)),
		cmp.Compare(a.id, b.id),
	)
}

// repair binds the unbound units. If they don't all find room, it cancels the
// reservations and binds all idle units again.
func (s *Sched) repair() {
	s.bindShort()
	if len(s.short) == 0 || s.rebuilding || s.repaired == s.fleet.Freed() {
		return
	}
	for _, j := range s.sortedHolds() {
		s.lift(j)
	}
	s.rebindIdle()
	s.repaired = s.fleet.Freed()
}

// bindShort binds the unbound units that find room without changing other
// bindings.
func (s *Sched) bindShort() {
	if s.rebuilding {
		return
	}
	for _, u := range sortedUnits(s.short) {
		s.bindFree(u)
	}
}

// repairDue binds the unbound units that find room, and does a full repair each
// time reboundEvery has passed.
func (s *Sched) repairDue(now time.Time) {
	if len(s.short) == 0 {
		return
	}
	if now.Sub(s.rebound) < reboundEvery {
		s.bindShort()
		return
	}
	s.rebound = now
	s.repair()
}

func (s *Sched) bindFree(u *unit) bool {
	cells, ok := s.fleet.Find(place.Query{Shape: u.shape, View: place.Hard})
	if ok {
		s.bind(u, cells)
	}
	return ok
}

// rebindIdle binds all idle units again, the hardest to bind first. It restores the
// old bindings if more units are unbound than before or if one is that was bound.
func (s *Sched) rebindIdle() {
	before := len(s.short)
	old := make(map[*unit][]place.Cell)
	for _, t := range s.teams {
		for _, u := range t.units {
			if u.bound() && u.idle() {
				old[u] = u.cells
			}
		}
	}
	for u := range old {
		s.unbind(u)
	}
	for _, u := range sortedUnits(s.short) {
		s.bindFree(u)
	}
	if len(s.short) <= before && !anyUnbound(old) {
		return
	}
	s.restore(old)
}

// anyUnbound reports whether a unit that was bound before is unbound now.
func anyUnbound(old map[*unit][]place.Cell) bool {
	for u := range old {
		if !u.bound() {
			return true
		}
	}
	return false
}

// restore binds the units as they were, and unbinds idle ones that were bound
// since. It then binds unbound units that find room.
func (s *Sched) restore(old map[*unit][]place.Cell) {
	for _, t := range s.teams {
		for _, u := range t.units {
			if u.bound() && u.idle() {
				s.unbind(u)
			}
		}
	}
	for u, cells := range old {
		s.bind(u, cells)
	}
	for _, u := range sortedUnits(s.short) {
		s.bindFree(u)
	}
}

// evict moves the bindings off a worker that guarantees can't be reclaimed on.
func (s *Sched) evict(worker string) {
	for _, u := range sortedUnits(s.units[worker]) {
		if !s.patch(u, worker) {
			s.unbind(u)
		}
	}
}

// patch replaces one worker of a unit by others in the same scope. Jobs that have
// members there leave the unit, the others stay in it.
func (s *Sched) patch(u *unit, worker string) bool {
	i := slices.IndexFunc(u.cells, func(c place.Cell) bool { return c.Worker == worker })
	if len(u.cells) < 2 || i < 0 {
		return false
	}
	if s.pinnedOn(u, worker) {
		return false
	}
	kept := slices.Delete(slices.Clone(u.cells), i, i+1)
	missing := u.shape
	missing.Members = u.cells[i].Count
	more, ok := s.fleet.Find(place.Query{Shape: missing, View: place.Hard, Beside: kept[0].Worker})
	if !ok {
		return false
	}
	s.swapCells(u, append(kept, more...))
	return true
}

// pinnedOn reports whether an unstoppable job of the unit has members on the
// worker. If it left the unit, it would need room in addition to the unit.
func (s *Sched) pinnedOn(u *unit, worker string) bool {
	for _, j := range u.jobs {
		if !j.Stoppable && !s.dying(j) && !j.on(worker).IsZero() {
			return true
		}
	}
	return false
}

// swapCells binds the unit to other workers and detaches the jobs that are no
// longer within it.
func (s *Sched) swapCells(u *unit, cells []place.Cell) {
	inside := u.jobs
	u.jobs = make(map[string]*job)
	s.unbind(u)
	s.bind(u, mergeCells(cells))
	left := u.left()
	for _, j := range sortedJobs(inside) {
		u.jobs[j.ID] = j
		if j.within(left) {
			j.takeFrom(left)
			continue
		}
		s.detach(j)
	}
}

// mergeCells merges the cells that are on the same worker.
func mergeCells(cells []place.Cell) []place.Cell {
	var ms []model.Member
	for _, c := range cells {
		for range c.Count {
			ms = append(ms, model.Member{Worker: c.Worker})
		}
	}
	return place.CellsOf(ms)
}

// within reports whether the resources left on each worker hold the job.
func (j *job) within(left map[string]place.Need) bool {
	for _, c := range j.cells {
		if !j.need.Times(c.Count).Fits(left[c.Worker]) {
			return false
		}
	}
	return true
}

// takeFrom subtracts the job's resources from those left on each worker.
func (j *job) takeFrom(left map[string]place.Need) {
	for _, c := range j.cells {
		left[c.Worker] = left[c.Worker].Sub(j.need.Times(c.Count))
	}
}
