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
	maxMemory    = math.MaxInt64 / model.MaxMembers / 1024 // bytes
	maxPerWorker = 1024                                    // members of guaranteed shapes on one worker
)

// checkShape refuses a shape that is malformed or that the fleet could not hold
// even if it were empty.
func (d *dryRun) checkShape(field string, s model.Shape) bool {
	n := len(d.report.Refusals)
	d.checkRange(field+".members", int64(s.Members), 1, model.MaxMembers)
	d.checkRange(field+".cores", int64(s.Cores), 0, maxCores)
	d.checkRange(field+".memory", s.Memory, 0, maxMemory)
	d.checkRange(field+".accels", int64(s.Accels), 0, maxAccels)
	if s.Cores == 0 && s.Accels == 0 {
		d.refuse(field, s, "needs cores or accelerators")
	}
	switch s.Proximity {
	case model.ProximityWorker, model.ProximityRack, model.ProximityDomain, model.ProximityAny:
	default:
		d.refuse(field+".near", s.Proximity, "must be worker, rack, domain or any")
	}
	if len(d.report.Refusals) > n {
		return false
	}
	j := newJob(model.Job{Shape: s})
	if !d.s.feasible(j) {
		d.refuse(field, s, "no %s of this fleet holds more than %d of the %d members, even with nothing else on it",
			s.Proximity, d.s.emptyFleet.MaxMembers(s), s.Members)
		return false
	}
	return true
}

func (d *dryRun) checkRange(field string, value, lowest, highest int64) {
	if value < lowest || value > highest {
		d.refuse(field, value, "must lie between %d and %d", lowest, highest)
	}
}

// checkSubmit checks whether the job can ever run, and reports its earliest
// start and the jobs that it would stop.
func (d *dryRun) checkSubmit(field string, m model.Job) {
	if d.s.jobs[m.ID] != nil || d.submitted[m.ID] {
		d.refuse(field+".id", m.ID, "a live job has this id")
		return
	}
	t, ok := d.s.teams[m.Team]
	if !ok {
		d.refuse(field+".team", m.Team, "no team has this name")
		return
	}
	if m.EstimateMs < 0 {
		d.refuse(field+".estimatems", m.EstimateMs, "must not be negative")
		return
	}
	if !d.checkShape(field+".shape", m.Shape) {
		return
	}
	if need := m.Shape.TotalAccels(); t.Quota > 0 && need > t.Quota {
		d.refuse(field+".shape", m.Shape, "needs %d accelerators, more than the quota of %d of team %s", need, t.Quota, m.Team)
		return
	}
	d.submitted[m.ID] = true
	if m.Submitted.IsZero() {
		m.Submitted = d.now
	}
	j := newJob(m)
	j.queueKey = d.s.queueKey(j)
	start, known := d.s.predictStart(t, j, d.now)
	if known {
		d.report.EarliestStarts[m.ID] = start.earliest
		d.report.PreemptedJobs = append(d.report.PreemptedJobs, start.preempts...)
	}
	d.checkDeadline(field, j, start, known)
}

// checkDeadline refuses a job whose deadline can't be met from its predicted
// start, or for which no start can be predicted.
func (d *dryRun) checkDeadline(field string, j *job, start predictedStart, known bool) {
	if j.Deadline.IsZero() {
		return
	}
	value := j.Deadline.UTC().Format(time.RFC3339)
	if !known {
		d.refuse(field+".deadline", value, "no start can be foreseen: guarantees and unstoppable work leave no room for %s", j.Shape)
		return
	}
	run := d.s.plannedRunTime(j, start.speed)
	end := start.earliest.Add(run)
	if end.After(j.Deadline) {
		d.refuse(field+".deadline", value, "earliest start %s plus an expected %s ends %s, after the deadline",
			start.earliest.UTC().Format(time.RFC3339), run.Round(time.Second), end.UTC().Format(time.RFC3339))
	}
}

// predictedStart is the earliest start of a job, with the speed of its workers
// and the jobs that would be stopped for it.
type predictedStart struct {
	earliest time.Time
	speed    float64
	preempts []string
}

// plannedRunTime returns the run time to plan for the job on workers of the
// given speed: what nearly all similar jobs have needed, or the declared time
// while there are too few of them.
func (s *Sched) plannedRunTime(j *job, speed float64) time.Duration {
	median, high := s.estimateRunTime(j.Job)
	r := s.runTimes[runTimeKeyOf(j.Job)]
	if r == nil || len(r.samples) < minRatios {
		high = median
	}
	return time.Duration(float64(high) / speed)
}

// predictStart returns the earliest start of a new job: within a guarantee of
// its team if one could hold it, else on capacity that is free or is expected
// to become free.
func (s *Sched) predictStart(t *team, j *job, now time.Time) (predictedStart, bool) {
	if st, ok := s.predictStartInUnit(t, j, now); ok {
		return st, true
	}
	if placement, ok := s.fleet.Find(place.Query{Shape: j.Shape, View: j.borrowView()}); ok {
		return predictedStart{earliest: now, speed: s.slowestSpeed(placement)}, true
	}
	placement, start, ok := s.earliestStart(j, now, searchLimits{})
	return predictedStart{earliest: start, speed: s.slowestSpeed(placement)}, ok
}

// predictStartInUnit returns when a unit of the team is free for j, after the
// jobs ahead of j in the team's queue have used the units.
func (s *Sched) predictStartInUnit(t *team, j *job, now time.Time) (predictedStart, bool) {
	free := make(map[*guaranteeUnit]time.Time)
	for _, u := range t.units {
		if !u.bound() {
			continue
		}
		free[u] = now
		for _, other := range u.jobs {
			free[u] = laterOf(free[u], s.expectedEnd(other, now))
		}
	}
	for _, ahead := range firstJobs(t, maxGuaranteeJobs) {
		if !jobLess(ahead, j) {
			break
		}
		if u := firstFreeUnit(t, ahead, free); u != nil {
			free[u] = free[u].Add(s.plannedRunTime(ahead, s.slowestSpeed(u.binding)))
		}
	}
	u := firstFreeUnit(t, j, free)
	if u == nil {
		return predictedStart{}, false
	}
	st := predictedStart{earliest: free[u], speed: s.slowestSpeed(u.binding)}
	if u.idle() && free[u].Equal(now) {
		s.addVictims(&st, u, j, now)
	}
	return st, true
}

// firstFreeUnit returns the unit that could hold the job and is free first, or
// nil.
func firstFreeUnit(t *team, j *job, free map[*guaranteeUnit]time.Time) *guaranteeUnit {
	var best *guaranteeUnit
	for _, u := range suitableUnits(t, j) {
		freeFrom, bound := free[u]
		if bound && (best == nil || freeFrom.Before(free[best])) {
			best = u
		}
	}
	return best
}

// addVictims adds to the predicted start the borrowed work that must be stopped
// for j to start in the idle unit u, and delays the start by the time for their
// checkpoints.
func (s *Sched) addVictims(st *predictedStart, u *guaranteeUnit, j *job, now time.Time) {
	if _, ok := s.fleet.Find(place.Query{Shape: j.Shape, View: place.Unoccupied}); ok {
		return
	}
	placement, ok := s.placementInUnit(u, j)
	if !ok {
		return
	}
	j.unit, j.placement = u, placement
	vs, _ := s.chooseVictims(j)
	j.unit, j.placement = nil, nil
	if len(vs) > 0 {
		st.earliest = now.Add(s.opt.CheckpointGrace)
	}
	for _, v := range vs {
		st.preempts = append(st.preempts, v.ID)
	}
}
