package sched

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

// asideMost is the number of placements that moveAside tries for one job.
const asideMost = 3

// moveAside finds workers for an unstoppable job that idle units are bound to, and
// binds those units to other workers. If one of the units finds no other room,
// all bindings stay as they are.
func (s *Sched) moveAside(j *job) ([]place.Cell, bool) {
	refused := make(map[string]bool)
	for range asideMost {
		cells, ok := s.fleet.Find(place.Query{
			Shape: j.Shape,
			View:  place.Soft,
			Avoid: func(w string) bool {
				return refused[w] || j.avoids(w) || s.reservedFor(w, j) || !s.movable(j, w)
			},
		})
		if !ok {
			return nil, false
		}
		blocker, ok := s.bindAside(j, cells)
		if ok {
			return cells, true
		}
		refused[blocker] = true
	}
	return nil, false
}

// movable reports whether a member of the job would fit on the worker if no idle
// units were bound to it.
func (s *Sched) movable(j *job, worker string) bool {
	room := s.fleet.Free(worker, place.Hard)
	for u := range s.units[worker] {
		if u.idle() {
			room = room.Add(u.on(worker))
		}
	}
	return j.need.Fits(room)
}

// bindAside binds the idle units elsewhere that keep the job off the cells. It
// returns the name of a worker whose units can't be bound elsewhere, if any.
func (s *Sched) bindAside(j *job, cells []place.Cell) (string, bool) {
	freed := s.fleet.Freed()
	old := make(map[*unit][]place.Cell)
	for _, c := range cells {
		for _, u := range sortedUnits(s.units[c.Worker]) {
			if j.need.Times(c.Count).Fits(s.fleet.Free(c.Worker, place.Hard)) {
				break
			}
			if u.idle() {
				old[u] = u.cells
				s.unbind(u)
			}
		}
	}
	blocker := s.rebindBeside(j, cells, old)
	if blocker == "" {
		return "", true
	}
	for u, was := range old {
		s.unbind(u)
		s.bind(u, was)
	}
	s.fleet.Rewind(freed)
	return blocker, false
}

// rebindBeside binds the units again while the job occupies the cells. It returns
// the name of a worker that stays blocked, if any.
func (s *Sched) rebindBeside(j *job, cells []place.Cell, units map[*unit][]place.Cell) string {
	for _, c := range cells {
		if !j.need.Times(c.Count).Fits(s.fleet.Free(c.Worker, place.Hard)) {
			return c.Worker
		}
	}
	s.fleet.Take(place.Bound, cells, j.need)
	defer s.fleet.Give(place.Bound, cells, j.need)
	moved := make(map[*unit]bool, len(units))
	for u := range units {
		moved[u] = true
	}
	for _, u := range sortedUnits(moved) {
		if !s.bindFree(u) {
			return units[u][0].Worker
		}
	}
	return ""
}

// reservedFor reports whether the worker is reserved for another job. Jobs with
// reservations on the same worker could wait for each other.
func (s *Sched) reservedFor(worker string, j *job) bool {
	_, reserved := s.reservedAt(worker, j)
	return reserved
}

// findOutside finds workers for the job outside of guarantees.
func (s *Sched) findOutside(j *job, now time.Time) ([]place.Cell, bool) {
	cells, ok := s.fleet.Find(place.Query{Shape: j.Shape, View: j.view(), Avoid: s.avoid(j, now)})
	if ok || j.Stoppable || s.opt.Strict {
		return cells, ok
	}
	return s.moveAside(j)
}
