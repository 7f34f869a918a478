package sched

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

const (
	tidyEvery = 3 * time.Second // time between two attempts
	tidyMost  = 16              // workers that one attempt examines
	tidyWorth = 2               // least remaining run time of moved work, in multiples of the cost of the move
)

// tidy defragments: it moves stoppable work off a worker with few accelerators in
// use, if that work finds room on other partly used workers. All accelerators of
// the worker are then free.
func (s *Sched) tidy(now time.Time) {
	if s.opt.NoMigration || s.opt.Strict || now.Sub(s.tidied) < tidyEvery {
		return
	}
	s.tidied = now
	for _, w := range s.fleet.Broken(tidyMost) {
		if s.tidyWorker(w, now) {
			return
		}
	}
}

// tidyWorker moves all work with accelerators off the worker, or none. It reports
// whether it did.
func (s *Sched) tidyWorker(worker string, now time.Time) bool {
	if _, reserved := s.reservedAt(worker, &job{}); reserved {
		return false
	}
	var c clearing
	for _, v := range sortedJobs(s.on[worker]) {
		if v.Shape.Accels == 0 {
			continue
		}
		if !s.worthMoving(v, now) {
			return false
		}
		c.victims = append(c.victims, v)
	}
	for _, v := range c.victims {
		for _, cell := range v.cells {
			c.cells = append(c.cells, place.Cell{Worker: cell.Worker})
		}
	}
	if len(c.victims) == 0 || !s.findBroken(c) {
		return false
	}
	for _, v := range c.victims {
		v.moved++
		s.stop(v, now, true, "moved to leave worker "+worker+" whole")
	}
	return true
}

// worthMoving reports whether the job may be moved and is expected to run for much
// longer than the move takes.
func (s *Sched) worthMoving(v *job, now time.Time) bool {
	if !v.borrowing() || v.stopping || v.phase != placed || v.moved >= movedMost {
		return false
	}
	mid, _ := s.expect(v.Job)
	left := time.Duration(float64(mid)/s.pace(v.cells)) - now.Sub(v.placedAt)
	return left > tidyWorth*moveCost*s.opt.Grace
}

// findBroken reports whether every victim finds room on workers whose accelerators
// are partly used already.
func (s *Sched) findBroken(c clearing) bool {
	return s.findRoom(c, s.fleet.Whole)
}
