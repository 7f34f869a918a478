package sched

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// occupy takes the job's resources on its workers. Those of unstoppable work
// outside of guarantees are also taken from what units may be bound to.
func (s *Sched) occupy(j *job, layer place.Layer) {
	s.fleet.Take(layer, j.placement, j.need)
	if j.unit == nil && (!j.Stoppable || (s.rebuilding && !j.Borrowed)) {
		s.blockBinding(j)
	}
	for _, c := range j.placement {
		if s.jobsByWorker[c.Worker] == nil {
			s.jobsByWorker[c.Worker] = make(map[string]*job)
		}
		s.jobsByWorker[c.Worker][j.ID] = j
	}
	t := s.ensureTeam(j.Team)
	t.usedAccels += j.Shape.TotalAccels()
	if j.unit == nil {
		t.borrowed += j.Shape.TotalAccels()
		return
	}
	j.unit.jobs[j.ID] = j
}

// vacate undoes occupy.
func (s *Sched) vacate(j *job, layer place.Layer) {
	s.fleet.Release(layer, j.placement, j.need)
	s.unblockBinding(j)
	for _, c := range j.placement {
		delete(s.jobsByWorker[c.Worker], j.ID)
		if len(s.jobsByWorker[c.Worker]) == 0 {
			delete(s.jobsByWorker, c.Worker)
		}
	}
	t := s.ensureTeam(j.Team)
	t.usedAccels -= j.Shape.TotalAccels()
	if j.unit == nil {
		t.borrowed -= j.Shape.TotalAccels()
		return
	}
	delete(j.unit.jobs, j.ID)
	s.dirtyTeams[j.Team] = true
}

// detachFromUnit takes a job out of its unit, so that it runs outside of
// guarantees.
func (s *Sched) detachFromUnit(j *job) {
	delete(j.unit.jobs, j.ID)
	j.unit = nil
	s.ensureTeam(j.Team).borrowed += j.Shape.TotalAccels()
	if !j.Stoppable && !s.hasLostMember(j) {
		s.blockBinding(j)
	}
}

// attachToUnit moves a placed job from outside of guarantees into the unit.
func (s *Sched) attachToUnit(j *job, u *guaranteeUnit) {
	s.unblockBinding(j)
	j.unit = u
	u.jobs[j.ID] = j
	s.ensureTeam(j.Team).borrowed -= j.Shape.TotalAccels()
}

// blockBinding takes the job's resources from what units may be bound to.
func (s *Sched) blockBinding(j *job) {
	j.blocksBinding = true
	s.fleet.Take(place.Bound, j.placement, j.need)
}

// unblockBinding undoes blockBinding.
func (s *Sched) unblockBinding(j *job) {
	if !j.blocksBinding {
		return
	}
	j.blocksBinding = false
	s.fleet.Release(place.Bound, j.placement, j.need)
}

// hasLostMember reports whether a worker of the gang is lost, so that the gang
// must stop.
func (s *Sched) hasLostMember(j *job) bool {
	if j.memberLost {
		return true
	}
	for _, c := range j.placement {
		w, ok := s.workers[c.Worker]
		if !ok || w.model.State == model.WorkerLost {
			return true
		}
	}
	return false
}

// dequeueOrVacate removes the job from the queue or from its workers.
func (s *Sched) dequeueOrVacate(j *job) {
	switch j.phase {
	case claimed:
		s.vacate(j, place.Claimed)
		delete(s.claims, j.ID)
	case placed:
		s.vacate(j, place.Running)
	default:
		s.ensureTeam(j.Team).queue.Delete(j)
	}
	s.cancelReservation(j)
	delete(s.stoppingJobs, j.ID)
	j.phase = queued
	j.placement, j.unit = nil, nil
	j.uncommitted, j.stopping, j.backfilled, j.memberLost = false, false, false, false
	j.stopDeadline = time.Time{}
}

// enqueue puts a job without a placement into its team's queue, unless it has
// failed too often.
func (s *Sched) enqueue(j *job) {
	j.phase = queued
	j.Members = nil
	if s.maybeFailJob(j) {
		return
	}
	j.queueKey = s.queueKey(j)
	s.ensureTeam(j.Team).queue.ReplaceOrInsert(j)
	s.dirtyTeams[j.Team] = true
}

// markPlaced moves a queued or claimed job to the placed phase.
func (s *Sched) markPlaced(j *job, now time.Time) {
	if j.phase == claimed {
		s.fleet.Release(place.Claimed, j.placement, j.need)
		s.fleet.Take(place.Running, j.placement, j.need)
		delete(s.claims, j.ID)
	} else {
		s.ensureTeam(j.Team).queue.Delete(j)
		s.occupy(j, place.Running)
	}
	s.cancelReservation(j)
	j.phase = placed
	j.uncommitted = true
	j.placedAt = now
	j.Members = place.Members(j.placement)
	j.Borrowed = j.unit == nil
}

// claim claims the job's placement. The job then waits for the work there to
// stop.
func (s *Sched) claim(j *job) {
	s.ensureTeam(j.Team).queue.Delete(j)
	s.cancelReservation(j)
	s.occupy(j, place.Claimed)
	j.phase = claimed
	s.claims[j.ID] = j
}

// markStopping records that a placed job was told to stop.
func (s *Sched) markStopping(j *job, deadline time.Time) {
	j.stopping = true
	j.stopDeadline = deadline
	s.stoppingJobs[j.ID] = j
}
