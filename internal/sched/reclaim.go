package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func rank(u model.Urgency) int {
	switch u {
	case model.Urgent:
		return 0
	case model.Low:
		return 2
	default:
		return 1
	}
}

func urgentThan(a, b *job) bool { return rank(a.Urgency) < rank(b.Urgency) }

// cellsIn chooses workers for the whole job within the unused part of the unit.
func (s *Sched) cellsIn(u *unit, j *job) ([]place.Cell, bool) {
	left := u.left()
	scopes := make(map[string][]place.Cell)
	var order []string
	for _, c := range u.cells {
		if j.avoids(c.Worker) {
			continue
		}
		k := j.need.Into(left[c.Worker], j.Shape.Members)
		if k == 0 {
			continue
		}
		w, _ := s.fleet.Worker(c.Worker)
		key := place.ScopeOf(j.Shape.Near, w)
		if scopes[key] == nil {
			order = append(order, key)
		}
		scopes[key] = append(scopes[key], place.Cell{Worker: c.Worker, Count: k})
	}
	for _, key := range order {
		if cells, ok := s.pick(j, scopes[key]); ok {
			return cells, true
		}
	}
	return nil, false
}

// pick distributes the job's members over the cells, free ones first.
func (s *Sched) pick(j *job, cells []place.Cell) ([]place.Cell, bool) {
	slices.SortStableFunc(cells, func(a, b place.Cell) int {
		return cmp.Compare(s.blocked(j, a), s.blocked(j, b))
	})
	left := j.Shape.Members
	var picked []place.Cell
	for _, c := range cells {
		if left == 0 {
			break
		}
		k := min(c.Count, left)
		left -= k
		picked = append(picked, place.Cell{Worker: c.Worker, Count: k})
	}
	return picked, left == 0
}

// blocked returns the number of the cell's members that find no free room at
// present.
func (s *Sched) blocked(j *job, c place.Cell) int {
	return c.Count - j.need.Into(s.fleet.Free(c.Worker, place.Soft), c.Count)
}

// clearWay stops borrowed work on the job's cells. If that wouldn't make enough
// room, it stops nothing and returns false.
func (s *Sched) clearWay(j *job, now time.Time) bool {
	victims, ok := s.victims(j)
	if !ok {
		return false
	}
	for _, v := range victims {
		if v.phase == claimed {
			s.unclaim(v)
			continue
		}
		s.stop(v, now, true, "its place is claimed by job "+j.ID+" of team "+j.Team)
	}
	return true
}

// victims chooses the borrowed jobs to stop on the job's cells. It reports whether
// that makes enough room.
func (s *Sched) victims(j *job) ([]*job, bool) {
	chosen := make(map[string]*job)
	var victims []*job
	for _, c := range j.cells {
		need := j.need.Times(c.Count)
		room := s.roomAfter(j, c.Worker, chosen)
		for _, v := range s.stoppableOn(c.Worker) {
			if need.Fits(room) {
				break
			}
			if v == j || chosen[v.ID] != nil {
				continue
			}
			chosen[v.ID] = v
			victims = append(victims, v)
			room = room.Add(v.on(c.Worker))
		}
		if !need.Fits(room) {
			return nil, false
		}
	}
	return victims, true
}

// roomAfter returns the resources that are free for the job on the worker once all
// work has stopped that was told to or is chosen.
func (s *Sched) roomAfter(j *job, worker string, chosen map[string]*job) place.Need {
	room := s.fleet.Free(worker, place.Soft)
	for id, v := range s.on[worker] {
		switch {
		case v == j:
			room = room.Add(j.on(worker))
		case v.stopping || chosen[id] != nil:
			room = room.Add(v.on(worker))
		}
	}
	return room
}

// stoppableOn returns the borrowed jobs on a worker in the order in which to stop
// them: the least urgent first, then the latest placed.
func (s *Sched) stoppableOn(worker string) []*job {
	var vs []*job
	for _, v := range s.on[worker] {
		if v.borrowing() && !v.stopping {
			vs = append(vs, v)
		}
	}
	slices.SortFunc(vs, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(rank(b.Urgency), rank(a.Urgency)),
			b.placedAt.Compare(a.placedAt),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return vs
}
