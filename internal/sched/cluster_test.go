package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const gib = 1 << 30

func testTime(sec int) time.Time { return time.Unix(1_700_000_000+int64(sec), 0) }

// testWorker returns a worker like those in use today: 32 cores, 128 GiB, 8
// accelerators.
func testWorker(domain, rack, i int) model.Worker {
	return model.Worker{
		Name: fmt.Sprintf("w%d-%d-%d", domain, rack, i), Region: "r",
		Rack: fmt.Sprintf("k%d", rack), Domain: fmt.Sprintf("d%d", domain),
		Cores: 32, Memory: 128 * gib, Accels: 8, Kind: "a", Speed: 1, State: model.WorkerReady,
	}
}

// testFleet returns a fleet like those in use today: ten workers, three per rack, in three
// failure domains.
func testFleet() []model.Worker {
	speeds := []float64{1, 1, 1, 0.8, 0.8, 0.8, 1.5, 1.5, 1.5, 0.6}
	ws := make([]model.Worker, len(speeds))
	for i := range ws {
		rack := i / 3
		ws[i] = testWorker(rack%3, rack, i)
		ws[i].Speed = speeds[i]
	}
	return ws
}

func newShape(members, accels int, proximity model.Proximity) model.Shape {
	return model.Shape{Members: members, Cores: 2 * accels, Memory: int64(accels) * 4 * gib, Accels: accels, Proximity: proximity}
}

func newGang(id, team string, s model.Shape, now time.Time) model.Job {
	return model.Job{
		ID: id, Team: team, Shape: s, Urgency: model.Normal, State: model.JobQueued,
		EstimateMs: time.Hour.Milliseconds(), Stoppable: true, Submitted: now,
	}
}

func teamWithGuarantee(name string, count int, s model.Shape) model.Team {
	return model.Team{Name: name, Weight: 1, Guarantees: []model.Guarantee{{Shape: s, Count: count}}}
}

// testCluster stands in for the control role: it commits the decisions of a
// scheduler and holds the committed state.
type testCluster struct {
	t          require.TestingT
	s          *Sched
	now        time.Time
	workers    map[string]model.Worker
	teams      map[string]model.Team
	jobs       map[string]model.Job
	probes     []string        // workers with a probe that hasn't reported yet
	lostMember map[string]bool // gangs with a member on a lost worker
}

func newTestCluster(t require.TestingT, opt Options, workers ...model.Worker) *testCluster {
	tc := &testCluster{
		t: t, s: New(opt), now: testTime(0), workers: make(map[string]model.Worker),
		teams: make(map[string]model.Team), jobs: make(map[string]model.Job), lostMember: make(map[string]bool),
	}
	for _, m := range workers {
		tc.setWorker(m)
	}
	return tc
}

func (tc *testCluster) setWorker(m model.Worker) {
	tc.workers[m.Name] = m
	for id, j := range tc.jobs {
		if holdsWorkers(j.State) && m.State == model.WorkerLost && onWorker(j, m.Name) {
			tc.lostMember[id] = true
		}
	}
	tc.s.SetWorker(m, tc.now)
}

func (tc *testCluster) setTeam(m model.Team) {
	tc.teams[m.Name] = m
	tc.s.SetTeam(m, tc.now)
}

func (tc *testCluster) setJob(j model.Job) {
	tc.jobs[j.ID] = j
	if !holdsWorkers(j.State) {
		delete(tc.lostMember, j.ID)
	}
	if j.State.Ended() {
		delete(tc.jobs, j.ID)
	}
	tc.s.SetJob(j, tc.now)
}

func (tc *testCluster) end(id string, state model.JobState) {
	j := tc.jobs[id].WithState(state, "")
	j.Ended = tc.now
	tc.setJob(j)
}

// requeue commits that a gang has stopped and waits again.
func (tc *testCluster) requeue(id string) {
	j := tc.jobs[id].WithState(model.JobQueued, "stopped")
	j.Members, j.Borrowed = nil, false
	tc.setJob(j)
}

// failOn commits that a gang has failed on the worker and waits again.
func (tc *testCluster) failOn(id, worker string) {
	j := tc.jobs[id]
	j.FailedOn = append(slices.Clone(j.FailedOn), worker)
	tc.jobs[id] = j
	tc.requeue(id)
}

func (tc *testCluster) decide() []Decision {
	ds := tc.s.Decide(tc.now)
	for _, d := range ds {
		tc.commit(d)
	}
	return ds
}

func (tc *testCluster) commit(d Decision) {
	switch d.Kind {
	case Place:
		j := tc.jobs[d.Job]
		require.False(tc.t, holdsWorkers(j.State), "job %s was placed while it runs", d.Job)
		j = j.WithState(model.JobRunning, d.Reason)
		j.Members, j.Borrowed, j.Started = d.Members, d.Borrowed, tc.now
		j.Attempts++
		j.Epoch++
		tc.setJob(j)
	case Stop:
		require.True(tc.t, holdsWorkers(tc.jobs[d.Job].State), "job %s was stopped but doesn't run", d.Job)
		tc.setJob(tc.jobs[d.Job].WithState(model.JobStopping, d.Reason))
	case Fail:
		tc.end(d.Job, model.JobFailed)
	case Quarantine:
		tc.setWorker(tc.workers[d.Worker].WithState(model.WorkerQuarantine))
	case Release:
		tc.setWorker(tc.workers[d.Worker].WithState(model.WorkerReady))
	case Probe:
		tc.probes = append(tc.probes, d.Worker)
	}
}

// decideUntilStable completes all stops and calls Decide until nothing changes.
func (tc *testCluster) decideUntilStable() {
	for range 100 {
		stopped := false
		for _, id := range slices.Sorted(maps.Keys(tc.jobs)) {
			if tc.jobs[id].State == model.JobStopping {
				tc.requeue(id)
				stopped = true
			}
		}
		if len(tc.decide()) == 0 && !stopped {
			return
		}
	}
	require.Fail(tc.t, "decisions don't stop changing the state")
}

// newLeader returns a new scheduler with the committed state, as a new leader
// has it.
func (tc *testCluster) newLeader() *Sched {
	s := New(tc.s.opt)
	s.Reset(slices.Collect(maps.Values(tc.workers)), slices.Collect(maps.Values(tc.teams)), slices.Collect(maps.Values(tc.jobs)), tc.now)
	return s
}

// checkInvariants verifies the invariants from the committed state and the
// reported bindings alone.
func (tc *testCluster) checkInvariants() {
	used := make(map[string]place.Resources)
	for _, j := range tc.jobs {
		if !holdsWorkers(j.State) {
			continue
		}
		tc.checkGang(j)
		for _, c := range place.CellsOf(j.Members) {
			used[c.Worker] = used[c.Worker].Add(place.ResourcesOf(j.Shape).Times(c.Count))
		}
	}
	for name, n := range used {
		require.True(tc.t, n.Fits(place.Capacity(tc.workers[name])), "worker %s holds %+v", name, n)
	}
	tc.checkBindings(tc.s)
}

// checkGang checks that all members of a gang run, and within one scope.
func (tc *testCluster) checkGang(j model.Job) {
	require.Len(tc.t, j.Members, j.Shape.Members, "gang %s isn't complete", j.ID)
	tc.checkAdjacent(j.ID, j.Shape, place.CellsOf(j.Members))
}

func (tc *testCluster) checkAdjacent(what string, s model.Shape, placement []place.Cell) {
	scopes := make(map[string]bool)
	for _, c := range placement {
		m := tc.workers[c.Worker]
		scopes[place.ScopeOf(s.Proximity, m)] = true
		require.True(tc.t, s.Kind == "" || s.Kind == m.Kind)
	}
	require.Len(tc.t, scopes, 1, "%s isn't adjacent: %v", what, placement)
}

// checkBindings checks that the bound guarantees and the unstoppable work on
// each worker don't exceed its capacity, so that stopping all other work lets
// every guarantee be reclaimed.
func (tc *testCluster) checkBindings(s *Sched) {
	bound := make(map[string]place.Resources)
	inUnit := make(map[string]bool)
	for _, g := range s.Guarantees() {
		for _, u := range g.Units {
			if len(u.Binding) > 0 {
				tc.checkUnit(g, u, bound, inUnit)
			}
		}
	}
	for id, j := range tc.jobs {
		if !holdsWorkers(j.State) || inUnit[id] || j.Stoppable || tc.lostMember[id] {
			continue
		}
		for _, m := range j.Members {
			bound[m.Worker] = bound[m.Worker].Add(place.ResourcesOf(j.Shape))
		}
	}
	for name, n := range bound {
		require.True(tc.t, n.Fits(place.Capacity(tc.workers[name])), "guarantees and unstoppable work exceed the capacity of %s: %+v", name, n)
	}
}

func onWorker(j model.Job, worker string) bool {
	return slices.ContainsFunc(j.Members, func(m model.Member) bool { return m.Worker == worker })
}

// checkUnit checks that a unit is bound to ready, adjacent workers and that its
// jobs fit into it. It adds the unit to bound and its jobs to inUnit.
func (tc *testCluster) checkUnit(g GuaranteeStatus, u UnitStatus, bound map[string]place.Resources, inUnit map[string]bool) {
	unused := make(map[string]place.Resources)
	members := 0
	for _, c := range u.Binding {
		members += c.Count
		n := place.ResourcesOf(u.Shape).Times(c.Count)
		unused[c.Worker] = unused[c.Worker].Add(n)
		bound[c.Worker] = bound[c.Worker].Add(n)
		require.Equal(tc.t, model.WorkerReady, tc.workers[c.Worker].State, "%s is bound to %s", g.Team, c.Worker)
	}
	require.Equal(tc.t, u.Shape.Members, members)
	tc.checkAdjacent("unit of "+g.Team, u.Shape, u.Binding)
	for _, id := range u.Jobs {
		j := tc.jobs[id]
		inUnit[id] = true
		for _, m := range j.Members {
			unused[m.Worker] = unused[m.Worker].Sub(place.ResourcesOf(j.Shape))
			require.True(tc.t, place.Resources{}.Fits(unused[m.Worker]), "job %s exceeds its unit", id)
		}
	}
}

// countUnbound returns the number of unbound units.
func (tc *testCluster) countUnbound() int {
	n := 0
	for _, g := range tc.s.Guarantees() {
		n += g.Short
	}
	return n
}

// recomputeLostMembers recomputes lostMember from the present state of the
// workers, as a new leader doesn't know of earlier losses.
func (tc *testCluster) recomputeLostMembers() {
	clear(tc.lostMember)
	for id, j := range tc.jobs {
		for _, m := range j.Members {
			if tc.workers[m.Worker].State == model.WorkerLost {
				tc.lostMember[id] = true
			}
		}
	}
}
