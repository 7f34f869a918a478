package sched

import (
	"fmt"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
)

// Explanation tells an operator why a job is in its state.
type Explanation struct {
	Job      string    `json:"job"`                // id
	State    string    `json:"state"`              // committed state, or "unknown"
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
		e.Reason = "it is being stopped, by " + j.stopDeadline.UTC().Format(time.RFC3339) + " at the latest"
	case j.phase == claimed:
		s.explainClaimed(&e, j)
	case j.phase == queued:
		s.explainQueued(&e, j, now)
	}
	return e
}

func (s *Sched) explainClaimed(e *Explanation, j *job) {
	e.Reason = "its workers are claimed; the work on them is being checkpointed and stopped"
	for _, c := range j.placement {
		for _, v := range sortedJobs(s.jobsByWorker[c.Worker]) {
			if v.stopping {
				e.Blockers = append(e.Blockers, v.ID)
				e.Earliest = laterOf(e.Earliest, v.stopDeadline)
			}
		}
	}
}

func (s *Sched) explainQueued(e *Explanation, j *job, now time.Time) {
	t := s.ensureTeam(j.Team)
	total := j.Shape.TotalAccels()
	switch {
	case !s.feasible(j):
		e.Reason = fmt.Sprintf("no %s of this fleet holds more than %d of its %d members", j.Shape.Proximity, s.emptyFleet.MaxMembers(j.Shape), j.Shape.Members)
		return
	case !s.withinQuota(j):
		e.Reason = fmt.Sprintf("team %s uses %d of its quota of %d accelerators; the job needs %d", t.Name, t.usedAccels, t.Quota, total)
		e.Needs = []string{fmt.Sprintf("a quota of %d, or %d accelerators of the team freed", t.usedAccels+total, t.usedAccels+total-t.Quota)}
		return
	}
	e.Reason = s.waitReason(t, j)
	if fitting := s.fleet.MaxMembers(j.Shape); fitting < j.Shape.Members {
		e.Needs = append(e.Needs, fmt.Sprintf("room for %d members in one %s; the best has room for %d, with %d accelerators free in all",
			j.Shape.Members, j.Shape.Proximity, fitting, s.fleet.FreeAccels()))
	}
	if st, ok := s.predictStartInUnit(t, j, now); ok {
		e.Earliest = st.earliest
		e.Needs = append(e.Needs, "a guarantee of its team to become free")
		return
	}
	placement, start, ok := s.earliestStart(j, now, searchLimits{})
	if !ok {
		e.Needs = append(e.Needs, "a guarantee of this shape, or less unstoppable work beside the guarantees")
		return
	}
	e.Earliest = start
	e.Blockers = s.blockers(j, placement, now, start)
}

// waitReason returns why a job waits that is feasible and within its quota.
func (s *Sched) waitReason(t *team, j *job) string {
	for _, u := range suitableUnits(t, j) {
		if u.bound() && !u.idle() {
			return "the guarantees of team " + t.Name + " that suit it are in use, and nothing else is free"
		}
		if !u.bound() {
			return "a guarantee of team " + t.Name + " that suits it is short: the fleet has lost the room for it"
		}
	}
	if !j.Stoppable && len(s.unboundUnits) > 0 {
		return "guarantees are short of room, so no unstoppable work starts outside them"
	}
	if _, ok := s.fleet.Find(place.Query{Shape: j.Shape, View: place.Unoccupied}); ok && !j.Stoppable {
		return "room is free, but it backs guarantees and the job can't be stopped for them"
	}
	if r, ok := s.reservations[j.ID]; ok {
		return "room is reserved for it from " + r.start.UTC().Format(time.RFC3339) + " on"
	}
	return "there is no room for all of its members at once"
}

// blockers returns the jobs that must end for the job to start on the
// placement.
func (s *Sched) blockers(j *job, placement []place.Cell, now, start time.Time) []string {
	var ids []string
	seen := make(map[string]bool)
	for _, c := range placement {
		if j.need.Times(c.Count).Fits(s.fleet.Free(c.Worker, j.borrowView())) {
			continue
		}
		for _, e := range s.jobEndsOn(c.Worker, now) {
			if !seen[e.job.ID] && !e.end.After(start) {
				seen[e.job.ID] = true
				ids = append(ids, e.job.ID)
			}
		}
	}
	return ids
}
