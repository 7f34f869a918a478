package sched

import "time"

// jobsWithDeadline returns the jobs that have a deadline.
func jobsWithDeadline(js []*job) []*job {
	var withDeadline []*job
	for _, j := range js {
		if !j.Deadline.IsZero() {
			withDeadline = append(withDeadline, j)
		}
	}
	return withDeadline
}

// delaysDeadline reports whether the job, if it started within a guarantee now,
// would make a waiting job of its team miss its deadline there.
func (s *Sched) delaysDeadline(t *team, j *job, withDeadline []*job, now time.Time) bool {
	end := now.Add(s.plannedRunTime(j, 1))
	atRisk := 0
	for _, d := range withDeadline {
		if d == j || d.phase != queued || (!j.Deadline.IsZero() && j.Deadline.Before(d.Deadline)) {
			continue
		}
		latest := d.Deadline.Add(-s.plannedRunTime(d, 1))
		if now.After(latest) || !end.After(latest) {
			continue
		}
		atRisk++
		if countIdleUnits(t, d) <= atRisk {
			return true
		}
	}
	return false
}

// countIdleUnits counts the bound idle units that could hold the job.
func countIdleUnits(t *team, j *job) int {
	n := 0
	for _, u := range t.units {
		if u.bound() && u.idle() && u.canHold(j.Shape) {
			n++
		}
	}
	return n
}
