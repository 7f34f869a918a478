package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// guaranteedMost is the number of waiting jobs per team that one call of Decide
// considers for the team's guarantees.
const guaranteedMost = 256

// Decide returns the decisions that are due. It applies them to its own state at
// once, so that no capacity is allocated twice. Forget undoes a decision that
// could not be committed.
func (s *Sched) Decide(now time.Time) []Decision {
	s.probes(now)
	s.escalate(now)
	s.repairDue(now)
	s.redeemClaims(now)
	s.guaranteed(now)
	s.borrow(now)
	s.tidy(now)
	ds := slices.DeleteFunc(s.pending, s.outdated)
	s.pending = nil
	return ds
}

// outdated reports whether the decision was superseded after it was issued.
func (s *Sched) outdated(d Decision) bool {
	j := s.jobs[d.Job]
	switch d.Kind {
	case Stop:
		return j == nil || !j.stopping
	case Fail:
		return j == nil || !j.failing
	case Quarantine, Probe, Release:
		return !s.sick[d.Worker]
	default:
		return false
	}
}

func (s *Sched) emit(d Decision) { s.pending = append(s.pending, d) }

// Forget undoes a decision that could not be committed.
func (s *Sched) Forget(d Decision, now time.Time) {
	switch d.Kind {
	case Place:
		if j, ok := s.jobs[d.Job]; ok && j.outstanding {
			s.leave(j)
			s.enqueue(j)
		}
	case Stop:
		s.forgetStop(d.Job, now)
	case Fail:
		if j, ok := s.jobs[d.Job]; ok && j.failing {
			j.failing = false
			s.enqueue(j)
		}
	case Quarantine:
		if w, ok := s.workers[d.Worker]; ok {
			s.SetWorker(w.model.WithState(model.WorkerReady), now)
		}
	case Release, Probe:
		if w, ok := s.workers[d.Worker]; ok {
			w.probing = false
		}
	}
}

// forgetStop undoes a decision to stop a job. The next call of Decide stops the
// job again if a claim still needs its resources.
func (s *Sched) forgetStop(id string, now time.Time) {
	j, ok := s.jobs[id]
	if !ok || !j.stopping || j.State == model.JobStopping {
		return
	}
	j.stopping = false
	delete(s.overdue, id)
	s.fleet.Touch()
	if j.lost {
		s.stop(j, now, false, lostReason)
	}
}

// stop tells a placed gang to stop.
func (s *Sched) stop(j *job, now time.Time, checkpoint bool, reason string) {
	if j.stopping || j.phase != placed {
		return
	}
	s.markStopping(j, now.Add(s.opt.Grace))
	s.emit(Decision{Kind: Stop, Job: j.ID, Checkpoint: checkpoint, Deadline: j.stopBy, Reason: reason})
}

// escalate stops jobs again, without a checkpoint, that missed the deadline of
// their stop.
func (s *Sched) escalate(now time.Time) {
	for _, j := range sortedJobs(s.overdue) {
		if now.Before(j.stopBy) {
			continue
		}
		j.stopBy = now.Add(s.opt.Grace)
		s.emit(Decision{Kind: Stop, Job: j.ID, Deadline: j.stopBy, Reason: "it has not stopped by its deadline"})
	}
}

// redeemClaims starts the claimed gangs whose workers have become free.
func (s *Sched) redeemClaims(now time.Time) {
	for _, j := range sortedJobs(s.claims) {
		if j.phase != claimed {
			continue
		}
		if s.unused(j) {
			s.startNow(j, now, "the work on its place has stopped")
			continue
		}
		if !s.clearWay(j, now) {
			s.unclaim(j)
		}
	}
}

// unused reports whether running work leaves room for all members of the job on
// its workers.
func (s *Sched) unused(j *job) bool {
	for _, c := range j.cells {
		if !j.need.Times(c.Count).Fits(s.fleet.Unused(c.Worker)) {
			return false
		}
	}
	return true
}

func (s *Sched) unclaim(j *job) {
	s.leave(j)
	s.enqueue(j)
}

func (s *Sched) startNow(j *job, now time.Time, reason string) {
	s.start(j, now)
	s.emit(Decision{Kind: Place, Job: j.ID, Members: j.Members, Borrowed: j.Borrowed, Reason: reason})
}

// guaranteed starts waiting jobs within the guarantees of their teams.
func (s *Sched) guaranteed(now time.Time) {
	for _, name := range s.sortedDirty() {
		delete(s.dirty, name)
		t, ok := s.teams[name]
		if !ok || len(t.units) == 0 || s.opt.Strict {
			continue
		}
		held := make(map[*unit]bool)
		js := firstJobs(t, guaranteedMost)
		due := dueJobs(js)
		for _, j := range js {
			if s.allowed(j) && !s.delaysDue(t, j, due, now) {
				s.tryUnits(t, j, js, held, now)
			}
		}
	}
}

func (s *Sched) sortedDirty() []string {
	names := make([]string, 0, len(s.dirty))
	for name := range s.dirty {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// allowed reports whether the team's quota has room for the job.
func (s *Sched) allowed(j *job) bool {
	t := s.team(j.Team)
	return t.Quota <= 0 || t.used+j.Shape.TotalAccels() <= t.Quota
}

// tryUnits starts the job in a unit of its team. Failing that, it adds the unit
// that the job waits for to held, so that jobs behind it don't take the unit.
func (s *Sched) tryUnits(t *team, j *job, js []*job, held map[*unit]bool, now time.Time) bool {
	us := suiting(t, j)
	for _, u := range us {
		if held[u] || !u.bound() || s.sparing(u, j, now) || s.outranked(u, j, js) {
			continue
		}
		if s.enterUnit(u, j, now) {
			return true
		}
	}
	for _, u := range us {
		if u.bound() && !u.idle() && !held[u] {
			held[u] = true
			s.displace(u, j, now)
			break
		}
	}
	return false
}

// suiting returns the units that could hold the job: those in use first, so that
// idle ones stay idle, then by ascending size.
func suiting(t *team, j *job) []*unit {
	var us []*unit
	for _, u := range t.units {
		if u.suits(j.Shape) {
			us = append(us, u)
		}
	}
	slices.SortStableFunc(us, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(min(len(b.jobs), 1), min(len(a.jobs), 1)),
			cmp.Compare(a.size(), b.size()),
		)
	})
	return us
}

// sparePart limits which jobs start outside of guarantees although a unit is
// idle: those of at most 1/sparePart of the unit's size.
const sparePart = 4

// sparing reports whether the unit should stay idle for larger gangs of its
// team, because the job is small and can start outside of guarantees.
func (s *Sched) sparing(u *unit, j *job, now time.Time) bool {
	if !u.idle() || !j.Deadline.IsZero() || sizeOf(j.Shape)*sparePart > u.size() {
		return false
	}
	if !j.Stoppable && len(s.short) > 0 {
		return false
	}
	_, ok := s.fleet.Find(place.Query{Shape: j.Shape, View: j.view(), Avoid: s.avoid(j, now)})
	return ok
}

// enterUnit starts the job within the unit, or claims workers of the unit and
// stops the borrowed work on them.
func (s *Sched) enterUnit(u *unit, j *job, now time.Time) bool {
	if u.idle() {
		s.rebindFree(u, j)
	}
	cells, ok := s.cellsIn(u, j)
	if !ok {
		return false
	}
	j.unit, j.cells = u, cells
	if s.vacant(j) {
		s.startNow(j, now, "within the guarantee of its team")
		return true
	}
	if !s.clearWay(j, now) {
		j.unit, j.cells = nil, nil
		s.dirty[j.Team] = true
		return false
	}
	s.claim(j)
	return true
}

// rebindFree binds an idle unit to the best workers that are free now.
func (s *Sched) rebindFree(u *unit, j *job) {
	old := u.cells
	s.unbind(u)
	cells, ok := s.fleet.Find(place.Query{Shape: u.shape, View: place.Firm, Avoid: j.avoids})
	if !ok {
		cells = old
	}
	s.bind(u, cells)
}

// vacant reports whether neither running nor claimed work uses the resources
// that the job needs on its workers.
func (s *Sched) vacant(j *job) bool {
	for _, c := range j.cells {
		if !j.need.Times(c.Count).Fits(s.fleet.Free(c.Worker, place.Soft)) {
			return false
		}
	}
	return true
}

// displace stops work of the same team in the unit for a job that is more urgent
// or that fills the unit. It stops nothing if any of that work can't be stopped,
// doesn't rank below the job or has a deadline, which the scheduler has accepted.
func (s *Sched) displace(u *unit, j *job, now time.Time) {
	if !s.couldEnter(u, j) {
		return
	}
	for _, other := range u.jobs {
		promised := !other.Deadline.IsZero()
		if promised || !other.Stoppable || other.phase != placed || !outranks(u, j, other) {
			return
		}
	}
	for _, other := range sortedJobs(u.jobs) {
		s.stop(other, now, true, "job "+j.ID+" of its team claims the guarantee")
	}
}

// outranks reports whether a job may displace another job of its team from the
// unit: it is more urgent, or it fills the unit and the other doesn't.
func outranks(u *unit, j, other *job) bool {
	if urgentThan(j, other) {
		return true
	}
	return rank(j.Urgency) == rank(other.Urgency) && u.fills(j.Shape) && !u.fills(other.Shape)
}

// outranked reports whether the job should leave an idle unit to another waiting
// job that would otherwise displace it.
func (s *Sched) outranked(u *unit, j *job, js []*job) bool {
	if !u.idle() || !j.Stoppable || !j.Deadline.IsZero() {
		return false
	}
	return slices.ContainsFunc(js, func(k *job) bool {
		return k.phase == queued && outranks(u, k, j) && u.suits(k.Shape) && s.allowed(k) && s.couldEnter(u, k)
	})
}

// couldEnter reports whether the job would fit into the unit if it were idle.
func (s *Sched) couldEnter(u *unit, j *job) bool {
	inside := u.jobs
	u.jobs = nil
	_, ok := s.cellsIn(u, j)
	u.jobs = inside
	return ok
}
