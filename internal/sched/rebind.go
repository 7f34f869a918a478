package sched

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

// maxRebindTries is the number of placements that findByRebinding tries for one
// job.
const maxRebindTries = 3

// findByRebinding finds workers for an unstoppable job that idle units are
// bound to, and binds those units to other workers. If one of the units finds
// no other room, all bindings stay as they are.
func (s *Sched) findByRebinding(j *job) ([]place.Cell, bool) {
	excluded := make(map[string]bool)
	for range maxRebindTries {
		placement, ok := s.fleet.Find(place.Query{
			Shape: j.Shape,
			View:  place.Unoccupied,
			Avoid: func(w string) bool {
				return excluded[w] || j.avoids(w) || s.reservedForOther(w, j) || !s.fitsWithoutIdleUnits(j, w)
			},
		})
		if !ok {
			return nil, false
		}
		blocker, ok := s.rebindElsewhere(j, placement)
		if ok {
			return placement, true
		}
		excluded[blocker] = true
	}
	return nil, false
}

// fitsWithoutIdleUnits reports whether a member of the job would fit on the
// worker if no idle units were bound to it.
func (s *Sched) fitsWithoutIdleUnits(j *job, worker string) bool {
	room := s.fleet.Free(worker, place.Unbound)
	for u := range s.unitsByWorker[worker] {
		if u.idle() {
			room = room.Add(u.usageOn(worker))
		}
	}
	return j.need.Fits(room)
}

// rebindElsewhere binds the idle units elsewhere that block the job's
// placement. It returns the name of a worker whose units can't be bound
// elsewhere, if any.
func (s *Sched) rebindElsewhere(j *job, placement []place.Cell) (string, bool) {
	freed := s.fleet.FreedCount()
	oldBindings := make(map[*guaranteeUnit][]place.Cell)
	for _, c := range placement {
		for _, u := range sortedUnits(s.unitsByWorker[c.Worker]) {
			if j.need.Times(c.Count).Fits(s.fleet.Free(c.Worker, place.Unbound)) {
				break
			}
			if u.idle() {
				oldBindings[u] = u.binding
				s.unbind(u)
			}
		}
	}
	blocker := s.rebindWithJobPlaced(j, placement, oldBindings)
	if blocker == "" {
		return "", true
	}
	for u, prev := range oldBindings {
		s.unbind(u)
		s.bind(u, prev)
	}
	s.fleet.RewindFreed(freed)
	return blocker, false
}

// rebindWithJobPlaced binds the units of oldBindings again while the job
// occupies its placement. It returns the name of a worker that stays blocked, if any.
func (s *Sched) rebindWithJobPlaced(j *job, placement []place.Cell, oldBindings map[*guaranteeUnit][]place.Cell) string {
	for _, c := range placement {
		if !j.need.Times(c.Count).Fits(s.fleet.Free(c.Worker, place.Unbound)) {
			return c.Worker
		}
	}
	s.fleet.Take(place.Bound, placement, j.need)
	defer s.fleet.Release(place.Bound, placement, j.need)
	unbound := make(map[*guaranteeUnit]bool, len(oldBindings))
	for u := range oldBindings {
		unbound[u] = true
	}
	for _, u := range sortedUnits(unbound) {
		if !s.tryBind(u) {
			return oldBindings[u][0].Worker
		}
	}
	return ""
}

// reservedForOther reports whether the worker is reserved for another job. Jobs
// with reservations on the same worker could wait for each other.
func (s *Sched) reservedForOther(worker string, j *job) bool {
	_, reserved := s.earliestReservation(worker, j)
	return reserved
}

// findOutsideGuarantees finds workers for the job outside of guarantees.
func (s *Sched) findOutsideGuarantees(j *job, now time.Time) ([]place.Cell, bool) {
	placement, ok := s.fleet.Find(place.Query{Shape: j.Shape, View: j.borrowView(), Avoid: s.exclusion(j, now)})
	if ok || j.Stoppable || s.opt.StrictFIFO {
		return placement, ok
	}
	return s.findByRebinding(j)
}
