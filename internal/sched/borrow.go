package sched

import (
	"fmt"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

// Bounds of one search for jobs to start outside of guarantees.
const (
	maxBorrowSearches = 512  // waiting jobs for which workers are searched
	maxBorrowVisits   = 8192 // waiting jobs that are visited
)

// startBorrowed starts waiting jobs on capacity outside of guarantees. Jobs may
// start before a job that is ahead of them in the queue where they don't delay
// it (backfill).
func (s *Sched) startBorrowed(now time.Time) {
	blocked, searches, visits := 0, 0, 0
	s.walkQueues(func(j *job) bool {
		if visits++; visits > maxBorrowVisits || searches > maxBorrowSearches {
			return false
		}
		if blocked >= s.opt.MaxReservations && s.knownToFail(j) {
			return true
		}
		searches++
		if j.phase != queued || j.failing || !s.withinQuota(j) {
			return true
		}
		if !s.feasible(j) {
			s.failJob(j, fmt.Sprintf("no workers of this fleet can hold %s, even with nothing else on them", j.Shape))
			return true
		}
		if s.tryBorrow(j, blocked > 0, now) {
			return true
		}
		if s.opt.StrictFIFO {
			return false
		}
		blocked++
		if blocked <= s.opt.MaxReservations {
			s.makeRoom(j, now)
		}
		return true
	})
}

// feasible reports whether the fleet could hold the job if all of its workers
// were ready and empty.
func (s *Sched) feasible(j *job) bool {
	ok, known := s.feasibility[j.Shape]
	if !known {
		_, ok = s.emptyFleet.Find(place.Query{Shape: j.Shape, View: place.Unoccupied})
		if len(s.feasibility) >= maxFailedSearches {
			clear(s.feasibility)
		}
		s.feasibility[j.Shape] = ok
	}
	return ok
}

// cacheable reports whether the result of a search depends only on the job's
// shape and view, so that it applies to other such jobs.
func (s *Sched) cacheable(j *job) bool { return len(j.FailedOn) == 0 && s.reservations[j.ID] == nil }

// knownToFail reports whether a search for the same shape has failed and no
// room for it was freed since.
func (s *Sched) knownToFail(j *job) bool {
	return s.cacheable(j) && s.failedSearches.has(j.Shape, j.borrowView(), s.fleet)
}

// tryBorrow starts the job outside of guarantees if it finds room. An
// unstoppable job doesn't start there while a guarantee is short.
func (s *Sched) tryBorrow(j *job, backfill bool, now time.Time) bool {
	if !j.Stoppable && len(s.unboundUnits) > 0 {
		return false
	}
	if s.knownToFail(j) {
		return false
	}
	r := s.reservations[j.ID]
	if r != nil {
		s.fleet.Release(place.Reserved, r.placement, j.need)
	}
	placement, ok := s.findOutsideGuarantees(j, now)
	if r != nil {
		s.fleet.Take(place.Reserved, r.placement, j.need)
	}
	if !ok {
		if s.cacheable(j) {
			s.failedSearches.add(j.Shape, j.borrowView(), s.fleet)
		}
		return false
	}
	j.placement = placement
	s.placeJob(j, now, "free capacity outside guarantees")
	j.backfilled = backfill || s.onReservedWorker(j)
	return true
}

// onReservedWorker reports whether a worker of the job is reserved for another
// job.
func (s *Sched) onReservedWorker(j *job) bool {
	for _, c := range j.placement {
		if _, ok := s.earliestReservation(c.Worker, j); ok {
			return true
		}
	}
	return false
}

// exclusion returns a function that excludes workers that the job failed on,
// and reserved workers if the job would most likely have to be stopped there
// soon. It returns nil if there are neither.
func (s *Sched) exclusion(j *job, now time.Time) func(string) bool {
	if len(j.FailedOn) == 0 && len(s.reservations) == 0 {
		return nil
	}
	_, high := s.estimateRunTime(j.Job)
	return func(worker string) bool {
		if j.avoids(worker) {
			return true
		}
		start, ok := s.earliestReservation(worker, j)
		return ok && now.Add(high).After(start) && start.Sub(now) < minBackfillGraces*s.opt.CheckpointGrace
	}
}
