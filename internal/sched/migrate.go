package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

const (
	migrateInterval    = 2 * time.Second // time between two attempts
	maxMigrationScopes = 512             // scopes that one attempt examines; the next one examines others
	maxMoves           = 3               // number of times that a job may be stopped to make room
	// Duration of a move in multiples of the grace for a checkpoint: the
	// checkpoint is written, transferred and read.
	moveCostFactor = 2
)

// migration is a way to make room for a gang by moving other work.
type migration struct {
	placement []place.Cell
	victims   []*job
	accels    int // accelerators of the victims
}

// migrate stops stoppable work so that a starving gang can start on its
// workers. It does so only if the work finds room elsewhere and if the gang's
// waiting costs more than the moves.
func (s *Sched) migrate(j *job, now time.Time) bool {
	if s.opt.NoMigration || now.Sub(s.lastMigration) < migrateInterval || j.Shape.Accels == 0 {
		return false
	}
	if !j.Stoppable && len(s.unboundUnits) > 0 {
		return false
	}
	s.lastMigration = now
	m, ok := s.cheapestMigration(j)
	if !ok || !s.migrationPays(j, m, now) || !s.victimsFitElsewhere(m) {
		return false
	}
	s.cancelReservation(j)
	j.placement = m.placement
	for _, v := range m.victims {
		v.moves++
		s.stopJob(v, now, true, "moved to make room for the gang of job "+j.ID)
	}
	s.claim(j)
	return true
}

// migrationPays reports whether the accelerator time lost by the moves is less
// than that of the gang until it could start without them.
func (s *Sched) migrationPays(j *job, m migration, now time.Time) bool {
	cost := time.Duration(m.accels) * moveCostFactor * s.opt.CheckpointGrace
	gain := time.Duration(j.Shape.TotalAccels()) * max(s.opt.StarvingAfter, s.reservedStart(j, now).Sub(now))
	return cost < gain
}

// reservedStart returns the start of the gang's reservation, or now if it has
// none.
func (s *Sched) reservedStart(j *job, now time.Time) time.Time {
	if r, ok := s.reservations[j.ID]; ok {
		return r.start
	}
	return now
}

// victimsFitElsewhere reports whether every victim finds room outside of the
// gang's placement.
func (s *Sched) victimsFitElsewhere(m migration) bool {
	return s.victimsFit(m, func(string) bool { return false })
}

// victimsFit reports whether every victim finds room outside of the placement
// and of the workers for which avoid returns true.
func (s *Sched) victimsFit(m migration, avoid func(string) bool) bool {
	taken := make(map[string]bool, len(m.placement))
	for _, c := range m.placement {
		taken[c.Worker] = true
	}
	freed := s.fleet.FreedCount()
	var moved []*job
	placements := make(map[*job][]place.Cell)
	ok := true
	for _, v := range m.victims {
		placement, found := s.fleet.Find(place.Query{
			Shape: v.Shape,
			View:  place.Unoccupied,
			Avoid: func(w string) bool { return taken[w] || v.avoids(w) || avoid(w) },
		})
		if !found {
			ok = false
			break
		}
		s.fleet.Take(place.Claimed, placement, v.need)
		moved = append(moved, v)
		placements[v] = placement
	}
	for _, v := range moved {
		s.fleet.Release(place.Claimed, placements[v], v.need)
	}
	s.fleet.RewindFreed(freed)
	return ok
}

// cheapestMigration returns the cheapest way to make room for the gang.
func (s *Sched) cheapestMigration(j *job) (migration, bool) {
	var best migration
	found := false
	scopes := s.fleet.Scopes(j.Shape)
	stride := searchLimits{maxScopes: maxMigrationScopes}.stride(len(scopes))
	s.migrationAttempts++
	for i := s.migrationAttempts % stride; i < len(scopes); i += stride {
		m, ok := s.migrationInScope(j, scopes[i])
		if ok && (!found || m.accels < best.accels) {
			best, found = m, true
		}
	}
	return best, found && len(best.victims) > 0
}

// candidate is a worker with the work that must be moved off it to make room
// for a number of members.
type candidate struct {
	worker  string
	members int
	victims []*job
	accels  int
}

// migrationInScope returns the cheapest way to make room on the workers of one
// scope.
func (s *Sched) migrationInScope(j *job, workers []string) (migration, bool) {
	var candidates []candidate
	for _, w := range workers {
		if _, reserved := s.earliestReservation(w, j); reserved || j.avoids(w) {
			continue
		}
		if cand := s.candidateOn(j, w); cand.members > 0 {
			candidates = append(candidates, cand)
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.accels*b.members, b.accels*a.members),
			cmp.Compare(b.members, a.members),
		)
	})
	var m migration
	seen := make(map[*job]bool)
	remaining := j.Shape.Members
	for _, cand := range candidates {
		if remaining == 0 {
			break
		}
		k := min(cand.members, remaining)
		remaining -= k
		m.placement = append(m.placement, place.Cell{Worker: cand.worker, Count: k})
		for _, v := range cand.victims {
			if !seen[v] {
				seen[v] = true
				m.victims = append(m.victims, v)
				m.accels += v.Shape.TotalAccels()
			}
		}
	}
	return m, remaining == 0
}

// candidateOn chooses the victims on one worker, the smallest first, that make
// room for as many members as possible. It chooses none if a member fits
// already.
func (s *Sched) candidateOn(j *job, worker string) candidate {
	unoccupied := s.fleet.Free(worker, place.Unoccupied)
	unbound := s.fleet.Free(worker, place.Unbound)
	if r := s.reservations[j.ID]; r != nil {
		for _, c := range r.placement {
			if c.Worker == worker {
				unbound = unbound.Add(j.need.Times(c.Count))
			}
		}
	}
	room := func() int {
		if j.Stoppable {
			return j.need.FitCount(unoccupied, j.Shape.Members)
		}
		return j.need.FitCount(unoccupied.Min(unbound), j.Shape.Members)
	}
	best := candidate{worker: worker, members: room()}
	if best.members > 0 {
		return best
	}
	current := best
	for _, v := range s.movableJobs(worker) {
		unoccupied = unoccupied.Add(v.usageOn(worker))
		current.victims = append(current.victims, v)
		current.accels += v.Shape.TotalAccels()
		if k := room(); k > best.members {
			current.members = k
			best = current
			best.victims = slices.Clone(current.victims)
		}
	}
	return best
}

// movableJobs returns the jobs on the worker that may be moved, by ascending
// size.
func (s *Sched) movableJobs(worker string) []*job {
	var vs []*job
	for _, v := range s.jobsByWorker[worker] {
		if v.preemptible() && !v.stopping && v.phase == placed && v.moves < maxMoves {
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
