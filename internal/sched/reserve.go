package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// maxReservationScopes is the number of scopes that a search for a reservation
// examines.
const maxReservationScopes = 512

// minBackfillGraces is how far ahead the start of a reservation must be, in
// multiples of Options.CheckpointGrace, for work to start on the reserved
// workers that may have to be stopped by then.
const minBackfillGraces = 8

// reservation is capacity that is reserved for a starving gang. Unstoppable
// work doesn't start there. Stoppable work does, and is stopped once the work
// that ran before has ended.
type reservation struct {
	job       *job
	placement []place.Cell
	start     time.Time // time by which the gang is promised to start
}

func (s *Sched) sortedReservedJobs() []*job {
	js := make(map[string]*job, len(s.reservations))
	for id, r := range s.reservations {
		js[id] = r.job
	}
	return sortedJobs(js)
}

// cancelReservation cancels the reservation of the job, if there is one.
func (s *Sched) cancelReservation(j *job) {
	r, ok := s.reservations[j.ID]
	if !ok {
		return
	}
	s.fleet.Release(place.Reserved, r.placement, j.need)
	s.fleet.RecordExternalChange()
	delete(s.reservations, j.ID)
	for _, c := range r.placement {
		delete(s.reservationsByWorker[c.Worker], j.ID)
		if len(s.reservationsByWorker[c.Worker]) == 0 {
			delete(s.reservationsByWorker, c.Worker)
		}
	}
}

func (s *Sched) reserve(j *job, placement []place.Cell, start time.Time) {
	r := &reservation{job: j, placement: placement, start: start}
	s.reservations[j.ID] = r
	s.fleet.Take(place.Reserved, placement, j.need)
	for _, c := range placement {
		if s.reservationsByWorker[c.Worker] == nil {
			s.reservationsByWorker[c.Worker] = make(map[string]*reservation)
		}
		s.reservationsByWorker[c.Worker][j.ID] = r
	}
}

// earliestReservation returns the earliest start of a reservation for another
// job on the worker.
func (s *Sched) earliestReservation(worker string, j *job) (time.Time, bool) {
	var start time.Time
	found := false
	for id, r := range s.reservationsByWorker[worker] {
		if id != j.ID && (!found || r.start.Before(start)) {
			start, found = r.start, true
		}
	}
	return start, found
}

// makeRoom makes room for a gang that finds none: it claims the gang's
// reservation, migrates other work, or reserves capacity.
func (s *Sched) makeRoom(j *job, now time.Time) {
	r := s.reservations[j.ID]
	if r != nil && s.claimReservation(r, now) {
		return
	}
	if now.Sub(j.Submitted) < s.opt.StarvingAfter {
		return
	}
	if s.migrate(j, now) {
		return
	}
	expired := r != nil && now.After(r.start.Add(s.opt.StarvingAfter))
	if expired {
		s.cancelReservation(j)
	}
	if (r != nil && !expired) || len(s.reservations) >= s.opt.MaxReservations || s.lastReservationSearch.Equal(now) {
		return
	}
	s.lastReservationSearch = now
	if placement, start, ok := s.earliestStart(j, now, searchLimits{exclude: s.reservedForOther, maxScopes: maxReservationScopes}); ok {
		s.reserve(j, placement, start.Add(s.opt.CheckpointGrace))
	}
}

// searchLimits limits a search for the earliest start.
type searchLimits struct {
	exclude   func(worker string, j *job) bool // optional: workers to exclude
	maxScopes int                              // number of scopes to examine, evenly spread; 0 means all
}

// stride returns the step between the examined scopes of n scopes.
func (l searchLimits) stride(n int) int {
	if l.maxScopes == 0 {
		return 1
	}
	return max(n/l.maxScopes, 1)
}

// claimReservation claims the reserved workers once only work that was
// backfilled there is left on them.
func (s *Sched) claimReservation(r *reservation, now time.Time) bool {
	j := r.job
	s.fleet.Release(place.Reserved, r.placement, j.need)
	ok := s.reservationClaimable(r)
	s.fleet.Take(place.Reserved, r.placement, j.need)
	if !ok {
		return false
	}
	j.placement = r.placement
	if !s.preemptBorrowed(j, now) {
		j.placement = nil
		return false
	}
	s.claim(j)
	return true
}

// reservationClaimable reports whether the reserved workers have room for the
// gang once stopping and backfilled work has ended there.
func (s *Sched) reservationClaimable(r *reservation) bool {
	for _, c := range r.placement {
		w, ok := s.workers[c.Worker]
		if !ok || w.model.State != model.WorkerReady {
			return false
		}
		need := r.job.need.Times(c.Count)
		if !r.job.Stoppable && !need.Fits(s.fleet.Free(c.Worker, place.Unbound)) {
			return false
		}
		room := s.fleet.Free(c.Worker, place.Unoccupied)
		for _, v := range s.jobsByWorker[c.Worker] {
			if v.stopping || (v.preemptible() && v.backfilled && v.phase == placed) {
				room = room.Add(v.usageOn(c.Worker))
			}
		}
		if !need.Fits(room) {
			return false
		}
	}
	return true
}

// capacityIncrease is a time from which a worker has room for more members.
type capacityIncrease struct {
	from    time.Time
	worker  string
	members int
}

// earliestStart returns where and when the whole gang is expected to find room,
// given the work that runs now and the estimates of its run time.
func (s *Sched) earliestStart(j *job, now time.Time, limits searchLimits) ([]place.Cell, time.Time, bool) {
	var best []capacityIncrease
	scopes := s.fleet.Scopes(j.Shape)
	for i := 0; i < len(scopes); i += limits.stride(len(scopes)) {
		scope := scopes[i]
		increases := s.capacityIncreases(j, scope, now, limits)
		n, total := 0, 0
		for n < len(increases) && total < j.Shape.Members {
			total += increases[n].members
			n++
		}
		if total < j.Shape.Members {
			continue
		}
		increases = increases[:n]
		if best == nil || increases[n-1].from.Before(best[len(best)-1].from) {
			best = increases
		}
	}
	if best == nil {
		return nil, time.Time{}, false
	}
	return placementOf(best, j.Shape.Members), best[len(best)-1].from, true
}

// placementOf places the members on the first of the increases.
func placementOf(increases []capacityIncrease, members int) []place.Cell {
	var placement []place.Cell
	for _, inc := range increases {
		k := min(inc.members, members)
		members -= k
		if k > 0 {
			placement = append(placement, place.Cell{Worker: inc.worker, Count: k})
		}
	}
	return mergePlacement(placement)
}

// capacityIncreases returns the increases on the given workers in order of time.
func (s *Sched) capacityIncreases(j *job, workers []string, now time.Time, limits searchLimits) []capacityIncrease {
	var increases []capacityIncrease
	for _, w := range workers {
		if (limits.exclude == nil || !limits.exclude(w, j)) && !j.avoids(w) {
			increases = append(increases, s.capacityIncreasesOn(j, w, now)...)
		}
	}
	slices.SortStableFunc(increases, func(a, b capacityIncrease) int {
		return cmp.Or(a.from.Compare(b.from), cmp.Compare(b.members, a.members))
	})
	return increases
}

// capacityIncreasesOn returns the increases on one worker: the room that it has
// now, and what it gains each time a job there ends.
func (s *Sched) capacityIncreasesOn(j *job, worker string, now time.Time) []capacityIncrease {
	unoccupied := s.fleet.Free(worker, place.Unoccupied)
	unbound := s.fleet.Free(worker, place.Unbound)
	fitting := 0
	var increases []capacityIncrease
	record := func(from time.Time) {
		room := unoccupied
		if !j.Stoppable {
			room = unoccupied.Min(unbound)
		}
		if k := j.need.FitCount(room, j.Shape.Members); k > fitting {
			increases = append(increases, capacityIncrease{from, worker, k - fitting})
			fitting = k
		}
	}
	record(now)
	for _, e := range s.jobEndsOn(worker, now) {
		unoccupied = unoccupied.Add(e.job.usageOn(worker))
		if e.job.blocksBinding {
			unbound = unbound.Add(e.job.usageOn(worker))
		}
		record(e.end)
	}
	return increases
}

// jobEnd is the time at which a placed job is expected to end.
type jobEnd struct {
	job *job
	end time.Time
}

// jobEndsOn returns the expected ends of the placed jobs on the worker, the
// earliest first.
func (s *Sched) jobEndsOn(worker string, now time.Time) []jobEnd {
	var ends []jobEnd
	for _, v := range s.jobsByWorker[worker] {
		if v.phase == placed {
			ends = append(ends, jobEnd{v, s.expectedEnd(v, now)})
		}
	}
	slices.SortFunc(ends, func(a, b jobEnd) int {
		return cmp.Or(a.end.Compare(b.end), cmp.Compare(a.job.ID, b.job.ID))
	})
	return ends
}
