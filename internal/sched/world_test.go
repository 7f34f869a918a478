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

func at(sec int) time.Time { return time.Unix(1_700_000_000+int64(sec), 0) }

// host returns a worker of today's fleets: 32 cores, 128 GiB, 8 accelerators.
func host(domain, rack, i int) model.Worker {
	return model.Worker{
		Name: fmt.Sprintf("w%d-%d-%d", domain, rack, i), Region: "r",
		Rack: fmt.Sprintf("k%d", rack), Domain: fmt.Sprintf("d%d", domain),
		Cores: 32, Memory: 128 * gib, Accels: 8, Kind: "a", Speed: 1, State: model.WorkerReady,
	}
}

// todays returns a fleet like today's: ten workers, three per rack, in three
// failure domains.
func todays() []model.Worker {
	speeds := []float64{1, 1, 1, 0.8, 0.8, 0.8, 1.5, 1.5, 1.5, 0.6}
	ws := make([]model.Worker, len(speeds))
	for i := range ws {
		rack := i / 3
		ws[i] = host(rack%3, rack, i)
		ws[i].Speed = speeds[i]
	}
	return ws
}

func shape(members, accels int, near model.Near) model.Shape {
	return model.Shape{Members: members, Cores: 2 * accels, Memory: int64(accels) * 4 * gib, Accels: accels, Near: near}
}

func gang(id, team string, s model.Shape, now time.Time) model.Job {
	return model.Job{
		ID: id, Team: team, Shape: s, Urgency: model.Normal, State: model.JobQueued,
		EstimateMs: time.Hour.Milliseconds(), Stoppable: true, Submitted: now,
	}
}

func holding(name string, count int, s model.Shape) model.Team {
	return model.Team{Name: name, Weight: 1, Guarantees: []model.Guarantee{{Shape: s, Count: count}}}
}

// world commits decisions to a scheduler, as the control role does, and holds the
// committed state.
type world struct {
	t       require.TestingT
	s       *Sched
	now     time.Time
	workers map[string]model.Worker
	teams   map[string]model.Team
	jobs    map[string]model.Job
	probes  []string
	doomed  map[string]bool // gangs with a member on a lost worker
}

func newWorld(t require.TestingT, opt Options, workers ...model.Worker) *world {
	w := &world{
		t: t, s: New(opt), now: at(0), workers: make(map[string]model.Worker),
		teams: make(map[string]model.Team), jobs: make(map[string]model.Job), doomed: make(map[string]bool),
	}
	for _, m := range workers {
		w.setWorker(m)
	}
	return w
}

func (w *world) setWorker(m model.Worker) {
	w.workers[m.Name] = m
	for id, j := range w.jobs {
		if holds(j.State) && m.State == model.WorkerLost && onWorker(j, m.Name) {
			w.doomed[id] = true
		}
	}
	w.s.SetWorker(m, w.now)
}

func (w *world) setTeam(m model.Team) {
	w.teams[m.Name] = m
	w.s.SetTeam(m, w.now)
}

func (w *world) setJob(j model.Job) {
	w.jobs[j.ID] = j
	if !holds(j.State) {
		delete(w.doomed, j.ID)
	}
	if j.State.Ended() {
		delete(w.jobs, j.ID)
	}
	w.s.SetJob(j, w.now)
}

func (w *world) end(id string, state model.JobState) {
	j := w.jobs[id].WithState(state, "")
	j.Ended = w.now
	w.setJob(j)
}

// requeue commits that a gang has stopped and waits again.
func (w *world) requeue(id string) {
	j := w.jobs[id].WithState(model.JobQueued, "stopped")
	j.Members, j.Borrowed = nil, false
	w.setJob(j)
}

func (w *world) failOn(id, worker string) {
	j := w.jobs[id]
	j.FailedOn = append(slices.Clone(j.FailedOn), worker)
	w.jobs[id] = j
	w.requeue(id)
}

func (w *world) decide() []Decision {
	ds := w.s.Decide(w.now)
	for _, d := range ds {
		w.commit(d)
	}
	return ds
}

func (w *world) commit(d Decision) {
	switch d.Kind {
	case Place:
		j := w.jobs[d.Job]
		require.False(w.t, holds(j.State), "job %s was placed while it runs", d.Job)
		j = j.WithState(model.JobRunning, d.Reason)
		j.Members, j.Borrowed, j.Started = d.Members, d.Borrowed, w.now
		j.Attempts++
		j.Epoch++
		w.setJob(j)
	case Stop:
		require.True(w.t, holds(w.jobs[d.Job].State), "job %s was stopped but doesn't run", d.Job)
		w.setJob(w.jobs[d.Job].WithState(model.JobStopping, d.Reason))
	case Fail:
		w.end(d.Job, model.JobFailed)
	case Quarantine:
		w.setWorker(w.workers[d.Worker].WithState(model.WorkerQuarantine))
	case Release:
		w.setWorker(w.workers[d.Worker].WithState(model.WorkerReady))
	case Probe:
		w.probes = append(w.probes, d.Worker)
	}
}

// settle completes all stops and calls Decide until nothing changes.
func (w *world) settle() {
	for range 100 {
		stopped := false
		for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
			if w.jobs[id].State == model.JobStopping {
				w.requeue(id)
				stopped = true
			}
		}
		if len(w.decide()) == 0 && !stopped {
			return
		}
	}
	require.Fail(w.t, "decisions don't stop changing the state")
}

// leader returns a new scheduler with the committed state, as a new leader has it.
func (w *world) leader() *Sched {
	s := New(w.s.opt)
	s.Reset(slices.Collect(maps.Values(w.workers)), slices.Collect(maps.Values(w.teams)), slices.Collect(maps.Values(w.jobs)), w.now)
	return s
}

// check verifies the invariants from the committed state and the reported bindings
// alone.
func (w *world) check() {
	used := make(map[string]place.Need)
	for _, j := range w.jobs {
		if !holds(j.State) {
			continue
		}
		w.checkGang(j)
		for _, c := range place.CellsOf(j.Members) {
			used[c.Worker] = used[c.Worker].Add(place.NeedOf(j.Shape).Times(c.Count))
		}
	}
	for name, n := range used {
		require.True(w.t, n.Fits(place.Capacity(w.workers[name])), "worker %s holds %+v", name, n)
	}
	w.checkWitness(w.s)
}

func (w *world) checkGang(j model.Job) {
	require.Len(w.t, j.Members, j.Shape.Members, "gang %s isn't complete", j.ID)
	w.checkNear(j.ID, j.Shape, place.CellsOf(j.Members))
}

func (w *world) checkNear(what string, s model.Shape, cells []place.Cell) {
	scopes := make(map[string]bool)
	for _, c := range cells {
		m := w.workers[c.Worker]
		scopes[place.ScopeOf(s.Near, m)] = true
		require.True(w.t, s.Kind == "" || s.Kind == m.Kind)
	}
	require.Len(w.t, scopes, 1, "%s isn't adjacent: %v", what, cells)
}

// checkWitness checks that the bound guarantees and the unstoppable work on each
// worker don't exceed its capacity, so that stopping all other work lets every
// guarantee be reclaimed.
func (w *world) checkWitness(s *Sched) {
	taken := make(map[string]place.Need)
	inside := make(map[string]bool)
	for _, h := range s.Guarantees() {
		for _, b := range h.Units {
			if len(b.Cells) > 0 {
				w.checkUnit(h, b, taken, inside)
			}
		}
	}
	for id, j := range w.jobs {
		if !holds(j.State) || inside[id] || j.Stoppable || w.doomed[id] {
			continue
		}
		for _, m := range j.Members {
			taken[m.Worker] = taken[m.Worker].Add(place.NeedOf(j.Shape))
		}
	}
	for name, n := range taken {
		require.True(w.t, n.Fits(place.Capacity(w.workers[name])), "guarantees and unstoppable work exceed the capacity of %s: %+v", name, n)
	}
}

func onWorker(j model.Job, worker string) bool {
	return slices.ContainsFunc(j.Members, func(m model.Member) bool { return m.Worker == worker })
}

func (w *world) checkUnit(h Held, b Bound, taken map[string]place.Need, inside map[string]bool) {
	left := make(map[string]place.Need)
	members := 0
	for _, c := range b.Cells {
		members += c.Count
		n := place.NeedOf(b.Shape).Times(c.Count)
		left[c.Worker] = left[c.Worker].Add(n)
		taken[c.Worker] = taken[c.Worker].Add(n)
		require.Equal(w.t, model.WorkerReady, w.workers[c.Worker].State, "%s is bound to %s", h.Team, c.Worker)
	}
	require.Equal(w.t, b.Shape.Members, members)
	w.checkNear("unit of "+h.Team, b.Shape, b.Cells)
	for _, id := range b.Jobs {
		j := w.jobs[id]
		inside[id] = true
		for _, m := range j.Members {
			left[m.Worker] = left[m.Worker].Sub(place.NeedOf(j.Shape))
			require.True(w.t, place.Need{}.Fits(left[m.Worker]), "job %s exceeds its unit", id)
		}
	}
}

// short returns the number of unbound units.
func (w *world) short() int {
	n := 0
	for _, h := range w.s.Guarantees() {
		n += h.Short
	}
	return n
}

// markDoomed recomputes doomed from the present state of the workers, as a new
// leader doesn't know of earlier losses.
func (w *world) markDoomed() {
	clear(w.doomed)
	for id, j := range w.jobs {
		for _, m := range j.Members {
			if w.workers[m.Worker].State == model.WorkerLost {
				w.doomed[id] = true
			}
		}
	}
}
