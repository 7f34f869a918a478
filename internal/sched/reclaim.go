package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// urgencyRank orders the levels of urgency from the most to the least urgent.
func urgencyRank(u model.Urgency) int {
	switch u {
	case model.Urgent:
		return 0
	case model.Low:
		return 2
	default:
		return 1
	}
}

func moreUrgent(a, b *job) bool { return urgencyRank(a.Urgency) < urgencyRank(b.Urgency) }

// placementInUnit chooses workers for the whole job within the unused part of
// the unit.
func (s *Sched) placementInUnit(u *guaranteeUnit, j *job) ([]place.Cell, bool) {
	unused := u.unused()
	scopes := make(map[string][]place.Cell)
	var order []string
	for _, c := range u.binding {
		if j.avoids(c.Worker) {
			continue
		}
		k := j.need.FitCount(unused[c.Worker], j.Shape.Members)
		if k == 0 {
			continue
		}
		w, _ := s.fleet.Worker(c.Worker)
		key := place.ScopeOf(j.Shape.Proximity, w)
		if scopes[key] == nil {
			order = append(order, key)
		}
		scopes[key] = append(scopes[key], place.Cell{Worker: c.Worker, Count: k})
	}
	for _, key := range order {
		if placement, ok := s.fillPlacement(j, scopes[key]); ok {
			return placement, true
		}
	}
	return nil, false
}

// fillPlacement distributes the job's members over the given workers, free ones
// first.
func (s *Sched) fillPlacement(j *job, placement []place.Cell) ([]place.Cell, bool) {
	slices.SortStableFunc(placement, func(a, b place.Cell) int {
		return cmp.Compare(s.blockedMembers(j, a), s.blockedMembers(j, b))
	})
	remaining := j.Shape.Members
	var picked []place.Cell
	for _, c := range placement {
		if remaining == 0 {
			break
		}
		k := min(c.Count, remaining)
		remaining -= k
		picked = append(picked, place.Cell{Worker: c.Worker, Count: k})
	}
	return picked, remaining == 0
}

// blockedMembers returns how many of the members on the worker find no free
// room at present.
func (s *Sched) blockedMembers(j *job, c place.Cell) int {
	return c.Count - j.need.FitCount(s.fleet.Free(c.Worker, place.Unoccupied), c.Count)
}

// preemptBorrowed stops borrowed work on the job's workers. If that wouldn't
// make enough room, it stops nothing and returns false.
func (s *Sched) preemptBorrowed(j *job, now time.Time) bool {
	victims, ok := s.chooseVictims(j)
	if !ok {
		return false
	}
	for _, v := range victims {
		if v.phase == claimed {
			s.cancelClaim(v)
			continue
		}
		s.stopJob(v, now, true, "its workers are claimed by job "+j.ID+" of team "+j.Team)
	}
	return true
}

// chooseVictims chooses the borrowed jobs to stop on the job's workers. It
// reports whether that makes enough room.
func (s *Sched) chooseVictims(j *job) ([]*job, bool) {
	chosen := make(map[string]*job)
	var victims []*job
	for _, c := range j.placement {
		need := j.need.Times(c.Count)
		room := s.freeAfterStops(j, c.Worker, chosen)
		for _, v := range s.preemptibleJobs(c.Worker) {
			if need.Fits(room) {
				break
			}
			if v == j || chosen[v.ID] != nil {
				continue
			}
			chosen[v.ID] = v
			victims = append(victims, v)
			room = room.Add(v.usageOn(c.Worker))
		}
		if !need.Fits(room) {
			return nil, false
		}
	}
	return victims, true
}

// freeAfterStops returns the resources that are free for the job on the worker
// once all work has stopped that was told to or is chosen.
func (s *Sched) freeAfterStops(j *job, worker string, chosen map[string]*job) place.Resources {
	room := s.fleet.Free(worker, place.Unoccupied)
	for id, v := range s.jobsByWorker[worker] {
		switch {
		case v == j:
			room = room.Add(j.usageOn(worker))
		case v.stopping || chosen[id] != nil:
			room = room.Add(v.usageOn(worker))
		}
	}
	return room
}

// preemptibleJobs returns the borrowed jobs on a worker in the order in which
// to stop them: the least urgent first, then the latest placed.
func (s *Sched) preemptibleJobs(worker string) []*job {
	var vs []*job
	for _, v := range s.jobsByWorker[worker] {
		if v.preemptible() && !v.stopping {
			vs = append(vs, v)
		}
	}
	slices.SortFunc(vs, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(urgencyRank(b.Urgency), urgencyRank(a.Urgency)),
			b.placedAt.Compare(a.placedAt),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return vs
}
