package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Jobs of one team that are looked at for its guarantees in one decision.
const guaranteedMost = 256

// Decide returns the decisions that are due. They are accounted for at once,
// so that no capacity is given out twice; Forget undoes one that could not be
// committed.
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

// outdated reports whether an event since has made a decision pointless.
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

// forgetStop lets a stop be decided again. Claims that count on it ask for it
// once more with the next decision.
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

// escalate stops without a checkpoint what has not stopped by its deadline.
func (s *Sched) escalate(now time.Time) {
	for _, j := range sortedJobs(s.overdue) {
		if now.Before(j.stopBy) {
			continue
		}
		j.stopBy = now.Add(s.opt.Grace)
		s.emit(Decision{Kind: Stop, Job: j.ID, Deadline: j.stopBy, Reason: "it has not stopped by its deadline"})
	}
}

// redeemClaims starts the claimed gangs whose places have become free.
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

// unused reports whether running work leaves room for all of the job's cells.
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

// tryUnits starts the job in a unit of its team, or holds the unit that it
// waits for against jobs behind it.
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

// suiting returns the units that suit the job: those in use first, so that
// whole ones stay whole, then from the smallest on.
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

// Part of a unit below which a job rather borrows than uses it.
const sparePart = 4

// sparing reports whether the unit should stay whole for larger gangs of its
// team, because the job is small and can start outside.
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

// enterUnit starts the job within the unit, or claims its place there from
// borrowed work that is stopped for it.
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

// rebindFree moves an idle unit to the best workers that are free now.
func (s *Sched) rebindFree(u *unit, j *job) {
	old := u.cells
	s.unbind(u)
	cells, ok := s.fleet.Find(place.Query{Shape: u.shape, View: place.Firm, Avoid: j.avoids})
	if !ok {
		cells = old
	}
	s.bind(u, cells)
}

// vacant reports whether all of the job's cells are free at this instant.
func (s *Sched) vacant(j *job) bool {
	for _, c := range j.cells {
		if !j.need.Times(c.Count).Fits(s.fleet.Free(c.Worker, place.Soft)) {
			return false
		}
	}
	return true
}

// displace stops work of the same team that keeps the unit from a more urgent
// job, or from one that fills it. What was promised to meet a deadline stays.
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

// outranks reports whether a job may displace another of its team: it is more
// urgent, or it fills the unit that the other only takes a part of.
func outranks(u *unit, j, other *job) bool {
	if urgentThan(j, other) {
		return true
	}
	return rank(j.Urgency) == rank(other.Urgency) && u.fills(j.Shape) && !u.fills(other.Shape)
}

// outranked reports whether the job should leave an idle unit to another that
// waits, and that would displace it there.
func (s *Sched) outranked(u *unit, j *job, js []*job) bool {
	if !u.idle() || !j.Stoppable || !j.Deadline.IsZero() {
		return false
	}
	return slices.ContainsFunc(js, func(k *job) bool {
		return k.phase == queued && outranks(u, k, j) && u.suits(k.Shape) && s.allowed(k) && s.couldEnter(u, k)
	})
}

// couldEnter reports whether the unit would take the job with nothing else in it.
func (s *Sched) couldEnter(u *unit, j *job) bool {
	inside := u.jobs
	u.jobs = nil
	_, ok := s.cellsIn(u, j)
	u.jobs = inside
	return ok
}
