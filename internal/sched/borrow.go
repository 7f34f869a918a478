package sched

import (
	"fmt"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

// Bounds of one search for jobs to start outside of guarantees.
const (
	borrowTries = 512  // waiting jobs for which workers are searched
	borrowLooks = 8192 // waiting jobs that are visited
)

// borrow starts waiting jobs on capacity outside of guarantees. Jobs may start
// before a job that is ahead of them in the queue where they don't delay it
// (backfill).
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

// fitsEmpty reports whether the fleet could hold the job if it were empty,
// including workers in any state.
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

// plain reports whether the result of a search depends only on the job's shape
// and view, so that it applies to other such jobs.
func (s *Sched) plain(j *job) bool { return len(j.FailedOn) == 0 && s.held[j.ID] == nil }

// vain reports whether a search for the same shape has failed and no room for it
// was freed since.
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

// onReserved reports whether a worker of the job is reserved for another job.
func (s *Sched) onReserved(j *job) bool {
	for _, c := range j.cells {
		if _, ok := s.reservedAt(c.Worker, j); ok {
			return true
		}
	}
	return false
}

// avoid returns a function that excludes workers that the job failed on, and
// reserved workers if the job would most likely have to be stopped there soon. It
// returns nil if there are neither.
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
