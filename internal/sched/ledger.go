package sched

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// occupy takes the job's resources on its workers. Those of unstoppable work
// outside of guarantees are also taken from what units may be bound to.
func (s *Sched) occupy(j *job, l place.Layer) {
	s.fleet.Take(l, j.cells, j.need)
	if j.unit == nil && (!j.Stoppable || (s.rebuilding && !j.Borrowed)) {
		s.makeFirm(j)
	}
	for _, c := range j.cells {
		if s.on[c.Worker] == nil {
			s.on[c.Worker] = make(map[string]*job)
		}
		s.on[c.Worker][j.ID] = j
	}
	t := s.team(j.Team)
	t.used += j.Shape.TotalAccels()
	if j.unit == nil {
		t.lent += j.Shape.TotalAccels()
		return
	}
	j.unit.jobs[j.ID] = j
}

// vacate undoes occupy.
func (s *Sched) vacate(j *job, l place.Layer) {
	s.fleet.Give(l, j.cells, j.need)
	s.dropFirm(j)
	for _, c := range j.cells {
		delete(s.on[c.Worker], j.ID)
		if len(s.on[c.Worker]) == 0 {
			delete(s.on, c.Worker)
		}
	}
	t := s.team(j.Team)
	t.used -= j.Shape.TotalAccels()
	if j.unit == nil {
		t.lent -= j.Shape.TotalAccels()
		return
	}
	delete(j.unit.jobs, j.ID)
	s.dirty[j.Team] = true
}

// detach takes a job out of its unit, so that it runs outside of guarantees.
func (s *Sched) detach(j *job) {
	delete(j.unit.jobs, j.ID)
	j.unit = nil
	s.team(j.Team).lent += j.Shape.TotalAccels()
	if !j.Stoppable && !s.dying(j) {
		s.makeFirm(j)
	}
}

// attach moves a placed job from outside of guarantees into the unit.
func (s *Sched) attach(j *job, u *unit) {
	s.dropFirm(j)
	j.unit = u
	u.jobs[j.ID] = j
	s.team(j.Team).lent -= j.Shape.TotalAccels()
}

// makeFirm takes the job's resources from what units may be bound to.
func (s *Sched) makeFirm(j *job) {
	j.firm = true
	s.fleet.Take(place.Bound, j.cells, j.need)
}

// dropFirm undoes makeFirm.
func (s *Sched) dropFirm(j *job) {
	if !j.firm {
		return
	}
	j.firm = false
	s.fleet.Give(place.Bound, j.cells, j.need)
}

// dying reports whether a worker of the gang is lost, so that the gang must stop.
func (s *Sched) dying(j *job) bool {
	if j.lost {
		return true
	}
	for _, c := range j.cells {
		w, ok := s.workers[c.Worker]
		if !ok || w.model.State == model.WorkerLost {
			return true
		}
	}
	return false
}

// leave removes the job from the queue or from its workers.
func (s *Sched) leave(j *job) {
	switch j.phase {
	case claimed:
		s.vacate(j, place.Claimed)
		delete(s.claims, j.ID)
	case placed:
		s.vacate(j, place.Running)
	default:
		s.team(j.Team).queue.Delete(j)
	}
	s.lift(j)
	delete(s.overdue, j.ID)
	j.phase = queued
	j.cells, j.unit = nil, nil
	j.outstanding, j.stopping, j.backfilled, j.lost = false, false, false, false
	j.stopBy = time.Time{}
}

// enqueue puts a job without a placement into its team's queue, unless it has
// failed too often.
func (s *Sched) enqueue(j *job) {
	j.phase = queued
	j.Members = nil
	if s.judgeJob(j) {
		return
	}
	j.key = s.order(j)
	s.team(j.Team).queue.ReplaceOrInsert(j)
	s.dirty[j.Team] = true
}

// start places a queued or claimed job on its cells.
func (s *Sched) start(j *job, now time.Time) {
	if j.phase == claimed {
		s.fleet.Give(place.Claimed, j.cells, j.need)
		s.fleet.Take(place.Running, j.cells, j.need)
		delete(s.claims, j.ID)
	} else {
		s.team(j.Team).queue.Delete(j)
		s.occupy(j, place.Running)
	}
	s.lift(j)
	j.phase = placed
	j.outstanding = true
	j.placedAt = now
	j.Members = place.Members(j.cells)
	j.Borrowed = j.unit == nil
}

// claim assigns the cells to a queued job that waits for the work there to stop.
func (s *Sched) claim(j *job) {
	s.team(j.Team).queue.Delete(j)
	s.lift(j)
	s.occupy(j, place.Claimed)
	j.phase = claimed
	s.claims[j.ID] = j
}

func (s *Sched) markStopping(j *job, by time.Time) {
	j.stopping = true
	j.stopBy = by
	s.overdue[j.ID] = j
}
