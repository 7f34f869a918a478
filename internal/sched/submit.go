package sched

import (
	"math"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Bounds on the resources of one member. They are far above those of any worker
// and keep sums over a gang from overflowing.
const (
	maxCores     = 1 << 16
	maxAccels    = 1 << 12
	maxMemory    = math.MaxInt64 / model.MaxMembers / 1024
	maxPerWorker = 1024 // members on one worker
)

// checkShape refuses a shape that is malformed or that the fleet could not hold
// even if it were empty.
func (t *trial) checkShape(field string, s model.Shape) bool {
	n := len(t.report.Refusals)
	t.bound(field+".members", int64(s.Members), 1, model.MaxMembers)
	t.bound(field+".cores", int64(s.Cores), 0, maxCores)
	t.bound(field+".memory", s.Memory, 0, maxMemory)
	t.bound(field+".accels", int64(s.Accels), 0, maxAccels)
	if s.Cores == 0 && s.Accels == 0 {
		t.refuse(field, s, "needs cores or accelerators")
	}
	switch s.Near {
	case model.NearWorker, model.NearRack, model.NearDomain, model.NearAny:
	default:
		t.refuse(field+".near", s.Near, "must be worker, rack, domain or any")
	}
	if len(t.report.Refusals) > n {
		return false
	}
	j := newJob(model.Job{Shape: s})
	if !t.s.fitsEmpty(j) {
		t.refuse(field, s, "no %s of this fleet holds more than %d of the %d members, even with nothing else on it",
			s.Near, t.s.empty.Most(s), s.Members)
		return false
	}
	return true
}

func (t *trial) bound(field string, value, least, most int64) {
	if value < least || value > most {
		t.refuse(field, value, "must lie between %d and %d", least, most)
	}
}

// submit checks whether the job can ever run, and reports its earliest start and
// the jobs that it would stop.
func (t *trial) submit(field string, m model.Job) {
	if t.s.jobs[m.ID] != nil || t.jobs[m.ID] {
		t.refuse(field+".id", m.ID, "a live job has this id")
		return
	}
	tm, ok := t.s.teams[m.Team]
	if !ok {
		t.refuse(field+".team", m.Team, "no team has this name")
		return
	}
	if m.EstimateMs < 0 {
		t.refuse(field+".estimatems", m.EstimateMs, "must not be negative")
		return
	}
	if !t.checkShape(field+".shape", m.Shape) {
		return
	}
	if need := m.Shape.TotalAccels(); tm.Quota > 0 && need > tm.Quota {
		t.refuse(field+".shape", m.Shape, "needs %d accelerators, more than the quota of %d of team %s", need, tm.Quota, m.Team)
		return
	}
	t.jobs[m.ID] = true
	if m.Submitted.IsZero() {
		m.Submitted = t.now
	}
	j := newJob(m)
	j.key = t.s.order(j)
	start, known := t.s.startFor(tm, j, t.now)
	if known {
		t.report.Starts[m.ID] = start.at
		t.report.Preempts = append(t.report.Preempts, start.preempts...)
	}
	t.checkDeadline(field, j, start, known)
}

func (t *trial) checkDeadline(field string, j *job, start start, known bool) {
	if j.Deadline.IsZero() {
		return
	}
	value := j.Deadline.UTC().Format(time.RFC3339)
	if !known {
		t.refuse(field+".deadline", value, "no start can be foreseen: guarantees and unstoppable work leave no room for %s", j.Shape)
		return
	}
	run := t.s.runTime(j, start.pace)
	end := start.at.Add(run)
	if end.After(j.Deadline) {
		t.refuse(field+".deadline", value, "earliest start %s plus an expected %s ends %s, after the deadline",
			start.at.UTC().Format(time.RFC3339), run.Round(time.Second), end.UTC().Format(time.RFC3339))
	}
}

// start is the earliest start of a job, with the speed of its workers and the jobs
// that would be stopped for it.
type start struct {
	at       time.Time
	pace     float64
	preempts []string
}

// runTime returns the run time to plan for the job on workers of the speed pace:
// what nearly all similar jobs have needed, or the declared time while there are
// too few of them.
func (s *Sched) runTime(j *job, pace float64) time.Duration {
	mid, high := s.expect(j.Job)
	r := s.learned[lessonOf(j.Job)]
	if r == nil || len(r.vals) < learnEnough {
		high = mid
	}
	return time.Duration(float64(high) / pace)
}

// startFor returns the earliest start of a new job: within a guarantee of its team
// if one could hold it, else on capacity that is free or is expected to become
// free.
func (s *Sched) startFor(t *team, j *job, now time.Time) (start, bool) {
	if st, ok := s.startInUnit(t, j, now); ok {
		return st, true
	}
	if cells, ok := s.fleet.Find(place.Query{Shape: j.Shape, View: j.view()}); ok {
		return start{at: now, pace: s.pace(cells)}, true
	}
	cells, at, ok := s.earliest(j, now, outlook{})
	return start{at: at, pace: s.pace(cells)}, ok
}

// startInUnit returns when a unit of the team is free for j, after the jobs ahead
// of j in the team's queue have used the units.
func (s *Sched) startInUnit(t *team, j *job, now time.Time) (start, bool) {
	free := make(map[*unit]time.Time)
	for _, u := range t.units {
		if !u.bound() {
			continue
		}
		free[u] = now
		for _, other := range u.jobs {
			free[u] = later(free[u], s.endOf(other, now))
		}
	}
	for _, ahead := range firstJobs(t, guaranteedMost) {
		if !jobLess(ahead, j) {
			break
		}
		if u := soonest(t, ahead, free); u != nil {
			free[u] = free[u].Add(s.runTime(ahead, s.pace(u.cells)))
		}
	}
	u := soonest(t, j, free)
	if u == nil {
		return start{}, false
	}
	st := start{at: free[u], pace: s.pace(u.cells)}
	if u.idle() && free[u].Equal(now) {
		s.addVictims(&st, u, j, now)
	}
	return st, true
}

// soonest returns the unit that could hold the job and is free first, or nil.
func soonest(t *team, j *job, free map[*unit]time.Time) *unit {
	var best *unit
	for _, u := range suiting(t, j) {
		at, bound := free[u]
		if bound && (best == nil || at.Before(free[best])) {
			best = u
		}
	}
	return best
}

// addVictims adds to st the borrowed work that must be stopped for j to start in
// the idle unit u, and delays the start by the time for their checkpoints.
func (s *Sched) addVictims(st *start, u *unit, j *job, now time.Time) {
	if _, ok := s.fleet.Find(place.Query{Shape: j.Shape, View: place.Soft}); ok {
		return
	}
	cells, ok := s.cellsIn(u, j)
	if !ok {
		return
	}
	j.unit, j.cells = u, cells
	vs, _ := s.victims(j)
	j.unit, j.cells = nil, nil
	if len(vs) > 0 {
		st.at = now.Add(s.opt.Grace)
	}
	for _, v := range vs {
		st.preempts = append(st.preempts, v.ID)
	}
}
