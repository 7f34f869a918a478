package sched

import (
	"cmp"
	"slices"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// byGuarantee sorts the jobs for Reset: those that run within guarantees first,
// then those that run outside, then those that wait, each by descending size.
func byGuarantee(jobs []model.Job) []model.Job {
	sorted := slices.Clone(jobs)
	class := func(j model.Job) int {
		switch {
		case holds(j.State) && !j.Borrowed:
			return 0
		case holds(j.State):
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(sorted, func(a, b model.Job) int {
		return cmp.Or(
			cmp.Compare(class(a), class(b)),
			cmp.Compare(b.Shape.TotalAccels(), a.Shape.TotalAccels()),
			cmp.Compare(b.Shape.Members, a.Shape.Members),
		)
	})
	return sorted
}

// reattach assigns a unit to a placed job that was added without one.
func (s *Sched) reattach(j *job) {
	s.dropFirm(j)
	s.adopt(j)
	if u := j.unit; u != nil {
		s.attach(j, u)
		return
	}
	if !j.Stoppable && !s.dying(j) {
		s.makeFirm(j)
	}
}

// adopt finds a unit for a job that is committed with a placement within the
// guarantee of its team.
func (s *Sched) adopt(j *job) {
	if j.Borrowed || s.dying(j) {
		return
	}
	us := suiting(s.team(j.Team), j)
	for _, u := range us {
		if u.bound() && j.within(u.left()) {
			j.unit = u
			return
		}
	}
	for _, u := range us {
		if u.idle() && s.bindAround(u, j) {
			j.unit = u
			return
		}
	}
}

// bindAround binds an idle unit to workers that include those of the job.
func (s *Sched) bindAround(u *unit, j *job) bool {
	old, had := u.cells, u.bound()
	s.unbind(u)
	cells, ok := s.around(u, j)
	if ok {
		s.bind(u, cells)
		return true
	}
	if had {
		s.bind(u, old)
	}
	return false
}

// around returns workers for the unit that include those of the job.
func (s *Sched) around(u *unit, j *job) ([]place.Cell, bool) {
	var cells []place.Cell
	left := u.shape.Members
	scopes := make(map[string]bool)
	for _, c := range j.cells {
		k := 1
		for k <= left && !j.need.Times(c.Count).Fits(u.need.Times(k)) {
			k++
		}
		if k > left || !u.need.Times(k).Fits(s.fleet.Free(c.Worker, place.Hard)) {
			return nil, false
		}
		w, ok := s.fleet.Worker(c.Worker)
		if !ok || w.State != model.WorkerReady {
			return nil, false
		}
		scopes[place.ScopeOf(u.shape.Near, w)] = true
		left -= k
		cells = append(cells, place.Cell{Worker: c.Worker, Count: k})
	}
	if len(scopes) > 1 {
		return nil, false
	}
	if left == 0 {
		return cells, true
	}
	return s.aroundRest(u, cells, left)
}

// aroundRest adds workers in the same scope for the other members of the unit.
func (s *Sched) aroundRest(u *unit, cells []place.Cell, left int) ([]place.Cell, bool) {
	rest := u.shape
	rest.Members = left
	s.fleet.Take(place.Bound, cells, u.need)
	more, ok := s.fleet.Find(place.Query{Shape: rest, View: place.Hard, Beside: cells[0].Worker})
	s.fleet.Give(place.Bound, cells, u.need)
	return mergeCells(append(slices.Clone(cells), more...)), ok
}
