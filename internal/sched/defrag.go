package sched

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

const (
	defragInterval   = 3 * time.Second // time between two attempts
	maxDefragWorkers = 16              // highest number of workers that one attempt examines
	minDefragGain    = 2               // least remaining run time of moved work, in multiples of the cost of the move
)

// defragment moves stoppable work off a worker with few accelerators in use, if
// that work finds room on other partly used workers. All accelerators of the
// worker are then free.
func (s *Sched) defragment(now time.Time) {
	if s.opt.NoMigration || s.opt.StrictFIFO || now.Sub(s.lastDefrag) < defragInterval {
		return
	}
	s.lastDefrag = now
	for _, w := range s.fleet.PartlyUsed(maxDefragWorkers) {
		if s.defragmentWorker(w, now) {
			return
		}
	}
}

// defragmentWorker moves all work with accelerators off the worker, or none. It
// reports whether it did.
func (s *Sched) defragmentWorker(worker string, now time.Time) bool {
	if _, reserved := s.earliestReservation(worker, &job{}); reserved {
		return false
	}
	var m migration
	for _, v := range sortedJobs(s.jobsByWorker[worker]) {
		if v.Shape.Accels == 0 {
			continue
		}
		if !s.worthMoving(v, now) {
			return false
		}
		m.victims = append(m.victims, v)
	}
	for _, v := range m.victims {
		for _, c := range v.placement {
			m.placement = append(m.placement, place.Cell{Worker: c.Worker})
		}
	}
	if len(m.victims) == 0 || !s.victimsFitOnPartlyUsed(m) {
		return false
	}
	for _, v := range m.victims {
		v.moves++
		s.stopJob(v, now, true, "moved to leave worker "+worker+" without work on its accelerators")
	}
	return true
}

// worthMoving reports whether the job may be moved and is expected to run for
// much longer than the move takes.
func (s *Sched) worthMoving(v *job, now time.Time) bool {
	if !v.preemptible() || v.stopping || v.phase != placed || v.moves >= maxMoves {
		return false
	}
	median, _ := s.estimateRunTime(v.Job)
	remaining := time.Duration(float64(median)/s.slowestSpeed(v.placement)) - now.Sub(v.placedAt)
	return remaining > minDefragGain*moveCostFactor*s.opt.CheckpointGrace
}

// victimsFitOnPartlyUsed reports whether every victim finds room on workers
// whose accelerators are partly used already.
func (s *Sched) victimsFitOnPartlyUsed(m migration) bool {
	return s.victimsFit(m, s.fleet.AllFree)
}
