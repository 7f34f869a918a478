package sched

import (
	"fmt"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

// Explanation tells an operator why a job is in its state.
type Explanation struct {
	Job      string    `json:"job"`
	State    string    `json:"state"`
	Reason   string    `json:"reason"`             // why it isn't running
	Needs    []string  `json:"needs,omitempty"`    // what would let it start; one of them is enough
	Blockers []string  `json:"blockers,omitempty"` // jobs that it waits for
	Earliest time.Time `json:"earliest,omitzero"`  // when it can be expected to start
}

// Explain returns why a job isn't running and what would let it start.
func (s *Sched) Explain(id string, now time.Time) Explanation {
	j, ok := s.jobs[id]
	if !ok {
		return Explanation{Job: id, State: "unknown", Reason: "no live job has this id"}
	}
	e := Explanation{Job: id, State: string(j.State), Reason: j.Reason}
	switch {
	case j.failing:
		e.Reason = "it is about to be failed"
	case j.stopping:
		e.Reason = "it is being stopped, by " + j.stopBy.UTC().Format(time.RFC3339) + " at the latest"
	case j.phase == claimed:
		s.explainClaim(&e, j)
	case j.phase == queued:
		s.explainQueued(&e, j, now)
	}
	return e
}

func (s *Sched) explainClaim(e *Explanation, j *job) {
	e.Reason = "its place is claimed; the work on it is being checkpointed and stopped"
	for _, c := range j.cells {
		for _, v := range sortedJobs(s.on[c.Worker]) {
			if v.stopping {
				e.Blockers = append(e.Blockers, v.ID)
				e.Earliest = later(e.Earliest, v.stopBy)
			}
		}
	}
}

func (s *Sched) explainQueued(e *Explanation, j *job, now time.Time) {
	t := s.team(j.Team)
	total := j.Shape.TotalAccels()
	switch {
	case !s.fitsEmpty(j):
		e.Reason = fmt.Sprintf("no %s of this fleet holds more than %d of its %d members", j.Shape.Near, s.empty.Most(j.Shape), j.Shape.Members)
		return
	case !s.allowed(j):
		e.Reason = fmt.Sprintf("team %s uses %d of its quota of %d accelerators; the job needs %d", t.Name, t.used, t.Quota, total)
		e.Needs = []string{fmt.Sprintf("a quota of %d, or %d accelerators of the team freed", t.used+total, t.used+total-t.Quota)}
		return
	}
	e.Reason = s.whyWaits(t, j)
	if most := s.fleet.Most(j.Shape); most < j.Shape.Members {
		e.Needs = append(e.Needs, fmt.Sprintf("room for %d members in one %s; the best has room for %d, with %d accelerators free in all",
			j.Shape.Members, j.Shape.Near, most, s.fleet.FreeAccels()))
	}
	if st, ok := s.startInUnit(t, j, now); ok {
		e.Earliest = st.at
		e.Needs = append(e.Needs, "a guarantee of its team to become free")
		return
	}
	cells, when, ok := s.earliest(j, now, outlook{})
	if !ok {
		e.Needs = append(e.Needs, "a guarantee of this shape, or less unstoppable work beside the guarantees")
		return
	}
	e.Earliest = when
	e.Blockers = s.blockers(j, cells, now, when)
}

func (s *Sched) whyWaits(t *team, j *job) string {
	for _, u := range suiting(t, j) {
		if u.bound() && !u.idle() {
			return "the guarantees of team " + t.Name + " that suit it are in use, and nothing else is free"
		}
		if !u.bound() {
			return "a guarantee of team " + t.Name + " that suits it is short: the fleet has lost the room for it"
		}
	}
	if !j.Stoppable && len(s.short) > 0 {
		return "guarantees are short of room, so no unstoppable work starts outside them"
	}
	if _, ok := s.fleet.Find(place.Query{Shape: j.Shape, View: place.Soft}); ok && !j.Stoppable {
		return "room is free, but it backs guarantees and the job can't be stopped for them"
	}
	if h, ok := s.held[j.ID]; ok {
		return "room is reserved for it from " + h.at.UTC().Format(time.RFC3339) + " on"
	}
	return "no place has room for all of its members at once"
}

// blockers returns the jobs that must end for the job to start on the cells.
func (s *Sched) blockers(j *job, cells []place.Cell, now, when time.Time) []string {
	var ids []string
	seen := make(map[string]bool)
	for _, c := range cells {
		if j.need.Times(c.Count).Fits(s.fleet.Free(c.Worker, j.view())) {
			continue
		}
		for _, e := range s.endings(c.Worker, now) {
			if !seen[e.j.ID] && !e.at.After(when) {
				seen[e.j.ID] = true
				ids = append(ids, e.j.ID)
			}
		}
	}
	return ids
}
