package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// maxGuaranteeJobs is the number of waiting jobs per team that one call of
// Decide considers for the team's guarantees.
const maxGuaranteeJobs = 256

// Decide returns the decisions that are due. It applies them to its own state
// at once, so that no capacity is allocated twice. A decision that could not be
// committed has to be undone.
func (s *Sched) Decide(now time.Time) []Decision {
	s.emitProbes(now)
	s.repeatOverdueStops(now)
	s.repairIfDue(now)
	s.startClaimedJobs(now)
	s.startWithinGuarantees(now)
	s.startBorrowed(now)
	s.defragment(now)
	ds := slices.DeleteFunc(s.pendingDecisions, s.superseded)
	s.pendingDecisions = nil
	return ds
}

// superseded reports whether an event since the decision has made it obsolete.
func (s *Sched) superseded(d Decision) bool {
	j := s.jobs[d.Job]
	switch d.Kind {
	case Stop:
		return j == nil || !j.stopping
	case Fail:
		return j == nil || !j.failing
	case Quarantine, Probe, Release:
		return !s.quarantined[d.Worker]
	default:
		return false
	}
}

func (s *Sched) emit(d Decision) { s.pendingDecisions = append(s.pendingDecisions, d) }

// Undo reverts a decision that could not be committed.
func (s *Sched) Undo(d Decision, now time.Time) {
	switch d.Kind {
	case Place:
		if j, ok := s.jobs[d.Job]; ok && j.uncommitted {
			s.dequeueOrVacate(j)
			s.enqueue(j)
		}
	case Stop:
		s.undoStop(d.Job, now)
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

// undoStop reverts a decision to stop a job. The next call of Decide stops the
// job again if a claim still needs its resources.
func (s *Sched) undoStop(id string, now time.Time) {
	j, ok := s.jobs[id]
	if !ok || !j.stopping || j.State == model.JobStopping {
		return
	}
	j.stopping = false
	delete(s.stoppingJobs, id)
	s.fleet.RecordExternalChange()
	if j.memberLost {
		s.stopJob(j, now, false, memberLostReason)
	}
}

// stopJob tells a placed gang to stop.
func (s *Sched) stopJob(j *job, now time.Time, checkpoint bool, reason string) {
	if j.stopping || j.phase != placed {
		return
	}
	s.markStopping(j, now.Add(s.opt.CheckpointGrace))
	s.emit(Decision{Kind: Stop, Job: j.ID, Checkpoint: checkpoint, Deadline: j.stopDeadline, Reason: reason})
}

// repeatOverdueStops stops jobs again, without a checkpoint, that missed the
// deadline of their stop.
func (s *Sched) repeatOverdueStops(now time.Time) {
	for _, j := range sortedJobs(s.stoppingJobs) {
		if now.Before(j.stopDeadline) {
			continue
		}
		j.stopDeadline = now.Add(s.opt.CheckpointGrace)
		s.emit(Decision{Kind: Stop, Job: j.ID, Deadline: j.stopDeadline, Reason: "it has not stopped by its deadline"})
	}
}

// startClaimedJobs starts the claimed gangs whose workers have become free.
func (s *Sched) startClaimedJobs(now time.Time) {
	for _, j := range sortedJobs(s.claims) {
		if j.phase != claimed {
			continue
		}
		if s.runningWorkLeavesRoom(j) {
			s.placeJob(j, now, "the work on its workers has stopped")
			continue
		}
		if !s.preemptBorrowed(j, now) {
			s.cancelClaim(j)
		}
	}
}

// runningWorkLeavesRoom reports whether running work leaves room for all
// members of the job on its workers.
func (s *Sched) runningWorkLeavesRoom(j *job) bool {
	for _, c := range j.placement {
		if !j.need.Times(c.Count).Fits(s.fleet.Unused(c.Worker)) {
			return false
		}
	}
	return true
}

func (s *Sched) cancelClaim(j *job) {
	s.dequeueOrVacate(j)
	s.enqueue(j)
}

func (s *Sched) placeJob(j *job, now time.Time, reason string) {
	s.markPlaced(j, now)
	s.emit(Decision{Kind: Place, Job: j.ID, Members: j.Members, Borrowed: j.Borrowed, Reason: reason})
}

// startWithinGuarantees starts waiting jobs within the guarantees of their
// teams.
func (s *Sched) startWithinGuarantees(now time.Time) {
	for _, name := range s.sortedDirtyTeams() {
		delete(s.dirtyTeams, name)
		t, ok := s.teams[name]
		if !ok || len(t.units) == 0 || s.opt.StrictFIFO {
			continue
		}
		awaited := make(map[*guaranteeUnit]bool)
		js := firstJobs(t, maxGuaranteeJobs)
		withDeadline := jobsWithDeadline(js)
		for _, j := range js {
			if s.withinQuota(j) && !s.delaysDeadline(t, j, withDeadline, now) {
				s.tryGuarantee(t, j, js, awaited, now)
			}
		}
	}
}

func (s *Sched) sortedDirtyTeams() []string {
	names := make([]string, 0, len(s.dirtyTeams))
	for name := range s.dirtyTeams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// withinQuota reports whether the team's quota has room for the job.
func (s *Sched) withinQuota(j *job) bool {
	t := s.ensureTeam(j.Team)
	return t.Quota <= 0 || t.usedAccels+j.Shape.TotalAccels() <= t.Quota
}

// tryGuarantee starts the job in a unit of its team. Failing that, it adds the
// unit that the job waits for to awaited, so that jobs behind it don't take the
// unit.
func (s *Sched) tryGuarantee(t *team, j *job, waiting []*job, awaited map[*guaranteeUnit]bool, now time.Time) bool {
	us := suitableUnits(t, j)
	for _, u := range us {
		if awaited[u] || !u.bound() || s.shouldSpareUnit(u, j, now) || s.shouldYieldUnit(u, j, waiting) {
			continue
		}
		if s.startInUnit(u, j, now) {
			return true
		}
	}
	for _, u := range us {
		if u.bound() && !u.idle() && !awaited[u] {
			awaited[u] = true
			s.displaceJobs(u, j, now)
			break
		}
	}
	return false
}

// suitableUnits returns the units that could hold the job: those in use first,
// so that idle ones stay idle, then by ascending size.
func suitableUnits(t *team, j *job) []*guaranteeUnit {
	var us []*guaranteeUnit
	for _, u := range t.units {
		if u.canHold(j.Shape) {
			us = append(us, u)
		}
	}
	slices.SortStableFunc(us, func(a, b *guaranteeUnit) int {
		return cmp.Or(
			cmp.Compare(min(len(b.jobs), 1), min(len(a.jobs), 1)),
			cmp.Compare(a.size(), b.size()),
		)
	})
	return us
}

// smallJobDivisor limits which jobs start outside of guarantees although a unit
// is idle: those of at most 1/smallJobDivisor of the unit's size.
const smallJobDivisor = 4

// shouldSpareUnit reports whether the unit should stay idle for larger gangs of
// its team, because the job is small and can start outside of guarantees.
func (s *Sched) shouldSpareUnit(u *guaranteeUnit, j *job, now time.Time) bool {
	if !u.idle() || !j.Deadline.IsZero() || sizeOf(j.Shape)*smallJobDivisor > u.size() {
		return false
	}
	if !j.Stoppable && len(s.unboundUnits) > 0 {
		return false
	}
	_, ok := s.fleet.Find(place.Query{Shape: j.Shape, View: j.borrowView(), Avoid: s.exclusion(j, now)})
	return ok
}

// startInUnit starts the job within the unit, or claims workers of the unit and
// stops the borrowed work on them.
func (s *Sched) startInUnit(u *guaranteeUnit, j *job, now time.Time) bool {
	if u.idle() {
		s.rebindToFree(u, j)
	}
	placement, ok := s.placementInUnit(u, j)
	if !ok {
		return false
	}
	j.unit, j.placement = u, placement
	if s.placementFree(j) {
		s.placeJob(j, now, "within the guarantee of its team")
		return true
	}
	if !s.preemptBorrowed(j, now) {
		j.unit, j.placement = nil, nil
		s.dirtyTeams[j.Team] = true
		return false
	}
	s.claim(j)
	return true
}

// rebindToFree binds an idle unit to the best workers that are free now.
func (s *Sched) rebindToFree(u *guaranteeUnit, j *job) {
	oldBinding := u.binding
	s.unbind(u)
	placement, ok := s.fleet.Find(place.Query{Shape: u.shape, View: place.UnoccupiedUnbound, Avoid: j.avoids})
	if !ok {
		placement = oldBinding
	}
	s.bind(u, placement)
}

// placementFree reports whether neither running nor claimed work uses the
// resources that the job needs on its workers.
func (s *Sched) placementFree(j *job) bool {
	for _, c := range j.placement {
		if !j.need.Times(c.Count).Fits(s.fleet.Free(c.Worker, place.Unoccupied)) {
			return false
		}
	}
	return true
}

// displaceJobs stops work of the same team in the unit for a job that is more
// urgent or that fills the unit. It stops nothing if any of that work can't be
// stopped, doesn't rank below the job or has a deadline, which the scheduler
// has accepted.
func (s *Sched) displaceJobs(u *guaranteeUnit, j *job, now time.Time) {
	if !s.fitsIdleUnit(u, j) {
		return
	}
	for _, other := range u.jobs {
		hasDeadline := !other.Deadline.IsZero()
		if hasDeadline || !other.Stoppable || other.phase != placed || !outranks(u, j, other) {
			return
		}
	}
	for _, other := range sortedJobs(u.jobs) {
		s.stopJob(other, now, true, "job "+j.ID+" of its team claims the guarantee")
	}
}

// outranks reports whether a job may displace another job of its team from the
// unit: it is more urgent, or it fills the unit and the other doesn't.
func outranks(u *guaranteeUnit, j, other *job) bool {
	if moreUrgent(j, other) {
		return true
	}
	return urgencyRank(j.Urgency) == urgencyRank(other.Urgency) && u.fills(j.Shape) && !u.fills(other.Shape)
}

// shouldYieldUnit reports whether the job should leave an idle unit to another
// waiting job that would otherwise displace it.
func (s *Sched) shouldYieldUnit(u *guaranteeUnit, j *job, waiting []*job) bool {
	if !u.idle() || !j.Stoppable || !j.Deadline.IsZero() {
		return false
	}
	return slices.ContainsFunc(waiting, func(k *job) bool {
		return k.phase == queued && outranks(u, k, j) && u.canHold(k.Shape) && s.withinQuota(k) && s.fitsIdleUnit(u, k)
	})
}

// fitsIdleUnit reports whether the job would fit into the unit if it were idle.
func (s *Sched) fitsIdleUnit(u *guaranteeUnit, j *job) bool {
	jobs := u.jobs
	u.jobs = nil
	_, ok := s.placementInUnit(u, j)
	u.jobs = jobs
	return ok
}
