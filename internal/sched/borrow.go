package sched

import (
	"fmt"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

// Bounds of one decision outside guarantees.
const (
	borrowTries = 512  // waiting jobs for which a place is looked for
	borrowLooks = 8192 // waiting jobs that are looked at
)

// borrow starts waiting jobs on capacity outside their guarantees. Jobs behind
// one that waits may start where they don't delay it.
func (s *Sched) borrow(now time.Time) {
	blocked, tries, looks := 0, 0, 0
	s.walk(func(j *job) bool {
		if looks++; looks > borrowLooks || tries > borrowTries {
			return false
		}
		if blocked >= s.opt.Reservations && s.vain(j) {
			return true
		}
		tries++
		if j.phase != queued || j.failing || !s.allowed(j) {
			return true
		}
		if !s.fitsEmpty(j) {
			s.fail(j, fmt.Sprintf("no workers of this fleet can hold %s, even with nothing else on them", j.Shape))
			return true
		}
		if s.tryBorrow(j, blocked > 0, now) {
			return true
		}
		if s.opt.Strict {
			return false
		}
		blocked++
		if blocked <= s.opt.Reservations {
			s.starving(j, now)
		}
		return true
	})
}

// fitsEmpty reports whether the fleet could hold the job with nothing else on
// it, counting workers in any state.
func (s *Sched) fitsEmpty(j *job) bool {
	ok, known := s.possible[j.Shape]
	if !known {
		_, ok = s.empty.Find(place.Query{Shape: j.Shape, View: place.Soft})
		if len(s.possible) >= memoMost {
			clear(s.possible)
		}
		s.possible[j.Shape] = ok
	}
	return ok
}

// plain reports whether what was found for the job's shape holds for the job.
func (s *Sched) plain(j *job) bool { return len(j.FailedOn) == 0 && s.held[j.ID] == nil }

// vain reports whether a look for the same shape has failed since room was made.
func (s *Sched) vain(j *job) bool {
	return s.plain(j) && s.failed.has(j.Shape, j.view(), s.fleet)
}

func (s *Sched) tryBorrow(j *job, behind bool, now time.Time) bool {
	if !j.Stoppable && len(s.short) > 0 {
		return false
	}
	if s.vain(j) {
		return false
	}
	h := s.held[j.ID]
	if h != nil {
		s.fleet.Give(place.Reserved, h.cells, j.need)
	}
	cells, ok := s.findOutside(j, now)
	if h != nil {
		s.fleet.Take(place.Reserved, h.cells, j.need)
	}
	if !ok {
		if s.plain(j) {
			s.failed.add(j.Shape, j.view(), s.fleet)
		}
		return false
	}
	j.cells = cells
	s.startNow(j, now, "free capacity outside guarantees")
	j.backfilled = behind || s.onReserved(j)
	return true
}

// onReserved reports whether the job lies on room reserved for another.
func (s *Sched) onReserved(j *job) bool {
	for _, c := range j.cells {
		if _, ok := s.reservedAt(c.Worker, j); ok {
			return true
		}
	}
	return false
}

// avoid keeps a job off workers that it failed on and, if it would most likely
// have to be stopped soon, off workers that are reserved.
func (s *Sched) avoid(j *job, now time.Time) func(string) bool {
	if len(j.FailedOn) == 0 && len(s.held) == 0 {
		return nil
	}
	_, high := s.expect(j.Job)
	return func(worker string) bool {
		if j.avoids(worker) {
			return true
		}
		at, ok := s.reservedAt(worker, j)
		return ok && now.Add(high).After(at) && at.Sub(now) < holdWorth*s.opt.Grace
	}
}
