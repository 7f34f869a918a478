package sched

import "time"

// dueJobs returns the jobs that have a deadline.
func dueJobs(js []*job) []*job {
	var due []*job
	for _, j := range js {
		if !j.Deadline.IsZero() {
			due = append(due, j)
		}
	}
	return due
}

// delaysDue reports whether the job, if it started within a guarantee now, would
// make a waiting job of its team miss its deadline there.
func (s *Sched) delaysDue(t *team, j *job, due []*job, now time.Time) bool {
	end := now.Add(s.runTime(j, 1))
	endangered := 0
	for _, d := range due {
		if d == j || d.phase != queued || (!j.Deadline.IsZero() && j.Deadline.Before(d.Deadline)) {
			continue
		}
		latest := d.Deadline.Add(-s.runTime(d, 1))
		if now.After(latest) || !end.After(latest) {
			continue
		}
		endangered++
		if idleUnits(t, d) <= endangered {
			return true
		}
	}
	return false
}

// idleUnits counts the bound idle units that could hold the job.
func idleUnits(t *team, j *job) int {
	n := 0
	for _, u := range t.units {
		if u.bound() && u.idle() && u.suits(j.Shape) {
			n++
		}
	}
	return n
}
