package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

const (
	migrateEvery = 2 * time.Second // time between two attempts
	clearScopes  = 512             // scopes that one attempt examines; the next one examines others
	movedMost    = 3               // number of times that a job may be stopped to make room
	// Duration of a move in multiples of the grace for a checkpoint: the checkpoint
	// is written, transferred and read.
	moveCost = 2
)

// clearing is a way to make room for a gang by moving other work.
type clearing struct {
	cells   []place.Cell
	victims []*job
	accels  int // accelerators of the victims
}

// migrate stops stoppable work so that a starving gang can start on its workers.
// It does so only if the work finds room elsewhere and if the gang's waiting costs
// more than the moves.
func (s *Sched) migrate(j *job, now time.Time) bool {
	if s.opt.NoMigration || now.Sub(s.tried) < migrateEvery || j.Shape.Accels == 0 {
		return false
	}
	if !j.Stoppable && len(s.short) > 0 {
		return false
	}
	s.tried = now
	c, ok := s.clearing(j)
	if !ok || !s.pays(j, c, now) || !s.findElsewhere(c) {
		return false
	}
	s.lift(j)
	j.cells = c.cells
	for _, v := range c.victims {
		v.moved++
		s.stop(v, now, true, "moved to make room for the gang of job "+j.ID)
	}
	s.claim(j)
	return true
}

// pays reports whether the accelerator time lost by the moves is less than that of
// the gang until it could start without them.
func (s *Sched) pays(j *job, c clearing, now time.Time) bool {
	cost := time.Duration(c.accels) * moveCost * s.opt.Grace
	gain := time.Duration(j.Shape.TotalAccels()) * max(s.opt.Patience, s.startOf(j, now).Sub(now))
	return cost < gain
}

func (s *Sched) startOf(j *job, now time.Time) time.Time {
	if h, ok := s.held[j.ID]; ok {
		return h.at
	}
	return now
}

// findElsewhere reports whether every victim finds room outside of the cells.
func (s *Sched) findElsewhere(c clearing) bool {
	return s.findRoom(c, func(string) bool { return false })
}

// findRoom reports whether every victim finds room outside of the cells and of the
// workers for which avoid returns true.
func (s *Sched) findRoom(c clearing, avoid func(string) bool) bool {
	taken := make(map[string]bool, len(c.cells))
	for _, cell := range c.cells {
		taken[cell.Worker] = true
	}
	freed := s.fleet.Freed()
	var entered []*job
	where := make(map[*job][]place.Cell)
	ok := true
	for _, v := range c.victims {
		cells, found := s.fleet.Find(place.Query{
			Shape: v.Shape,
			View:  place.Soft,
			Avoid: func(w string) bool { return taken[w] || v.avoids(w) || avoid(w) },
		})
		if !found {
			ok = false
			break
		}
		s.fleet.Take(place.Claimed, cells, v.need)
		entered = append(entered, v)
		where[v] = cells
	}
	for _, v := range entered {
		s.fleet.Give(place.Claimed, where[v], v.need)
	}
	s.fleet.Rewind(freed)
	return ok
}

// clearing returns the cheapest way to make room for the gang.
func (s *Sched) clearing(j *job) (clearing, bool) {
	var best clearing
	found := false
	scopes := s.fleet.Scopes(j.Shape)
	stride := outlook{scopes: clearScopes}.stride(len(scopes))
	s.rotor++
	for i := s.rotor % stride; i < len(scopes); i += stride {
		c, ok := s.clearScope(j, scopes[i])
		if ok && (!found || c.accels < best.accels) {
			best, found = c, true
		}
	}
	return best, found && len(best.victims) > 0
}

// site is a worker with the work that must be moved off it to make room for a
// number of members.
type site struct {
	worker  string
	members int
	victims []*job
	accels  int
}

// clearScope returns the cheapest way to make room on the workers of one scope.
func (s *Sched) clearScope(j *job, workers []string) (clearing, bool) {
	var sites []site
	for _, w := range workers {
		if _, reserved := s.reservedAt(w, j); reserved || j.avoids(w) {
			continue
		}
		if st := s.clearSite(j, w); st.members > 0 {
			sites = append(sites, st)
		}
	}
	slices.SortStableFunc(sites, func(a, b site) int {
		return cmp.Or(
			cmp.Compare(a.accels*b.members, b.accels*a.members),
			cmp.Compare(b.members, a.members),
		)
	})
	var c clearing
	seen := make(map[*job]bool)
	left := j.Shape.Members
	for _, st := range sites {
		if left == 0 {
			break
		}
		k := min(st.members, left)
		left -= k
		c.cells = append(c.cells, place.Cell{Worker: st.worker, Count: k})
		for _, v := range st.victims {
			if !seen[v] {
				seen[v] = true
				c.victims = append(c.victims, v)
				c.accels += v.Shape.TotalAccels()
			}
		}
	}
	return c, left == 0
}

// clearSite chooses the victims on one worker, the smallest first, that make room
// for as many members as possible. It chooses none if a member fits already.
func (s *Sched) clearSite(j *job, worker string) site {
	soft := s.fleet.Free(worker, place.Soft)
	hard := s.fleet.Free(worker, place.Hard)
	if h := s.held[j.ID]; h != nil {
		for _, c := range h.cells {
			if c.Worker == worker {
				hard = hard.Add(j.need.Times(c.Count))
			}
		}
	}
	room := func() int {
		if j.Stoppable {
			return j.need.Into(soft, j.Shape.Members)
		}
		return j.need.Into(soft.Min(hard), j.Shape.Members)
	}
	best := site{worker: worker, members: room()}
	if best.members > 0 {
		return best
	}
	cur := best
	for _, v := range s.movableOn(worker) {
		soft = soft.Add(v.on(worker))
		cur.victims = append(cur.victims, v)
		cur.accels += v.Shape.TotalAccels()
		if k := room(); k > best.members {
			cur.members = k
			best = cur
			best.victims = slices.Clone(cur.victims)
		}
	}
	return best
}

// movableOn returns the jobs on the worker that may be moved, by ascending size.
func (s *Sched) movableOn(worker string) []*job {
	var vs []*job
	for _, v := range s.on[worker] {
		if v.borrowing() && !v.stopping && v.phase == placed && v.moved < movedMost {
			vs = append(vs, v)
		}
	}
	slices.SortFunc(vs, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(a.Shape.TotalAccels(), b.Shape.TotalAccels()),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return vs
}
