package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// reserveScopes is the number of scopes that a search for a reservation examines.
const reserveScopes = 512

// holdWorth is the least time before the start of a reservation, in multiples of
// the grace for a checkpoint, for other work to start there that may have to be
// stopped for it.
const holdWorth = 8

// hold is capacity that is reserved for a starving gang. Unstoppable work doesn't
// start there. Stoppable work does, and is stopped once the work that ran before
// has ended.
type hold struct {
	j     *job
	cells []place.Cell
	at    time.Time // time by which the gang is promised to start
}

func (s *Sched) sortedHolds() []*job {
	js := make(map[string]*job, len(s.held))
	for id, h := range s.held {
		js[id] = h.j
	}
	return sortedJobs(js)
}

// lift cancels the reservation of the job, if there is one.
func (s *Sched) lift(j *job) {
	h, ok := s.held[j.ID]
	if !ok {
		return
	}
	s.fleet.Give(place.Reserved, h.cells, j.need)
	s.fleet.Touch()
	delete(s.held, j.ID)
	for _, c := range h.cells {
		delete(s.heldOn[c.Worker], j.ID)
		if len(s.heldOn[c.Worker]) == 0 {
			delete(s.heldOn, c.Worker)
		}
	}
}

func (s *Sched) reserve(j *job, cells []place.Cell, at time.Time) {
	h := &hold{j: j, cells: cells, at: at}
	s.held[j.ID] = h
	s.fleet.Take(place.Reserved, cells, j.need)
	for _, c := range cells {
		if s.heldOn[c.Worker] == nil {
			s.heldOn[c.Worker] = make(map[string]*hold)
		}
		s.heldOn[c.Worker][j.ID] = h
	}
}

// reservedAt returns the earliest start of a reservation for another job on the
// worker.
func (s *Sched) reservedAt(worker string, j *job) (time.Time, bool) {
	var at time.Time
	found := false
	for id, h := range s.heldOn[worker] {
		if id != j.ID && (!found || h.at.Before(at)) {
			at, found = h.at, true
		}
	}
	return at, found
}

// starving makes room for a gang that finds none: it claims the gang's
// reservation, migrates other work, or reserves capacity.
func (s *Sched) starving(j *job, now time.Time) {
	h := s.held[j.ID]
	if h != nil && s.redeem(h, now) {
		return
	}
	if now.Sub(j.Submitted) < s.opt.Patience {
		return
	}
	if s.migrate(j, now) {
		return
	}
	stale := h != nil && now.After(h.at.Add(s.opt.Patience))
	if stale {
		s.lift(j)
	}
	if (h != nil && !stale) || len(s.held) >= s.opt.Reservations || s.searched.Equal(now) {
		return
	}
	s.searched = now
	if cells, at, ok := s.earliest(j, now, outlook{skip: s.reservedFor, scopes: reserveScopes}); ok {
		s.reserve(j, cells, at.Add(s.opt.Grace))
	}
}

// outlook limits a search for the earliest start.
type outlook struct {
	skip   func(worker string, j *job) bool // optional: workers to exclude
	scopes int                              // number of scopes to examine, evenly spread; 0 means all
}

func (o outlook) stride(n int) int {
	if o.scopes == 0 {
		return 1
	}
	return max(n/o.scopes, 1)
}

// redeem claims the reserved workers once only work that was backfilled there is
// left on them.
func (s *Sched) redeem(h *hold, now time.Time) bool {
	j := h.j
	s.fleet.Give(place.Reserved, h.cells, j.need)
	ok := s.redeemable(h)
	s.fleet.Take(place.Reserved, h.cells, j.need)
	if !ok {
		return false
	}
	j.cells = h.cells
	if !s.clearWay(j, now) {
		j.cells = nil
		return false
	}
	s.claim(j)
	return true
}

func (s *Sched) redeemable(h *hold) bool {
	for _, c := range h.cells {
		w, ok := s.workers[c.Worker]
		if !ok || w.model.State != model.WorkerReady {
			return false
		}
		need := h.j.need.Times(c.Count)
		if !h.j.Stoppable && !need.Fits(s.fleet.Free(c.Worker, place.Hard)) {
			return false
		}
		room := s.fleet.Free(c.Worker, place.Soft)
		for _, v := range s.on[c.Worker] {
			if v.stopping || (v.borrowing() && v.backfilled && v.phase == placed) {
				room = room.Add(v.on(c.Worker))
			}
		}
		if !need.Fits(room) {
			return false
		}
	}
	return true
}

// opening is a time from which a worker has room for more members.
type opening struct {
	at      time.Time
	worker  string
	members int
}

// earliest returns where and when the whole gang is expected to find room, given
// the work that runs now and the estimates of its run time.
func (s *Sched) earliest(j *job, now time.Time, o outlook) ([]place.Cell, time.Time, bool) {
	var best []opening
	scopes := s.fleet.Scopes(j.Shape)
	for i := 0; i < len(scopes); i += o.stride(len(scopes)) {
		scope := scopes[i]
		os := s.openings(j, scope, now, o)
		n, sum := 0, 0
		for n < len(os) && sum < j.Shape.Members {
			sum += os[n].members
			n++
		}
		if sum < j.Shape.Members {
			continue
		}
		os = os[:n]
		if best == nil || os[n-1].at.Before(best[len(best)-1].at) {
			best = os
		}
	}
	if best == nil {
		return nil, time.Time{}, false
	}
	return cellsOf(best, j.Shape.Members), best[len(best)-1].at, true
}

func cellsOf(os []opening, members int) []place.Cell {
	var cells []place.Cell
	for _, o := range os {
		k := min(o.members, members)
		members -= k
		if k > 0 {
			cells = append(cells, place.Cell{Worker: o.worker, Count: k})
		}
	}
	return mergeCells(cells)
}

func (s *Sched) openings(j *job, workers []string, now time.Time, o outlook) []opening {
	var os []opening
	for _, w := range workers {
		if (o.skip == nil || !o.skip(w, j)) && !j.avoids(w) {
			os = append(os, s.openingsOn(j, w, now)...)
		}
	}
	slices.SortStableFunc(os, func(a, b opening) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(b.members, a.members))
	})
	return os
}

func (s *Sched) openingsOn(j *job, worker string, now time.Time) []opening {
	soft := s.fleet.Free(worker, place.Soft)
	hard := s.fleet.Free(worker, place.Hard)
	have := 0
	var os []opening
	open := func(at time.Time) {
		room := soft
		if !j.Stoppable {
			room = soft.Min(hard)
		}
		if k := j.need.Into(room, j.Shape.Members); k > have {
			os = append(os, opening{at, worker, k - have})
			have = k
		}
	}
	open(now)
	for _, e := range s.endings(worker, now) {
		soft = soft.Add(e.j.on(worker))
		if e.j.firm {
			hard = hard.Add(e.j.on(worker))
		}
		open(e.at)
	}
	return os
}

// ending is the time at which a placed job is expected to end.
type ending struct {
	j  *job
	at time.Time
}

func (s *Sched) endings(worker string, now time.Time) []ending {
	var es []ending
	for _, v := range s.on[worker] {
		if v.phase == placed {
			es = append(es, ending{v, s.endOf(v, now)})
		}
	}
	slices.SortFunc(es, func(a, b ending) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.j.ID, b.j.ID))
	})
	return es
}
