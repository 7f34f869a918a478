package sched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

var (
	proximities = []model.Proximity{model.ProximityWorker, model.ProximityRack, model.ProximityDomain, model.ProximityAny}
	urgencies   = []model.Urgency{model.Urgent, model.Normal, model.Low}
)

func randomFleet(t *rapid.T) []model.Worker {
	n := rapid.IntRange(3, 14).Draw(t, "workers")
	ws := make([]model.Worker, n)
	for i := range ws {
		rack := i / rapid.IntRange(2, 3).Draw(t, "perrack")
		ws[i] = testWorker(rack%3, rack, i)
		ws[i].Speed = rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "speed")
		ws[i].Accels = rapid.SampledFrom([]int{0, 4, 8, 8}).Draw(t, "accels")
	}
	return ws
}

func randomShape(t *rapid.T) model.Shape {
	s := newShape(rapid.IntRange(1, 4).Draw(t, "members"), rapid.SampledFrom([]int{0, 1, 2, 4, 8}).Draw(t, "accels"),
		rapid.SampledFrom(proximities).Draw(t, "near"))
	s.Cores = max(s.Cores, 1)
	return s
}

// stateMachine applies random operations to a cluster, which is checked after
// each one.
type stateMachine struct {
	*testCluster
	lastID int
}

func (m *stateMachine) randomJob(t *rapid.T, filter func(model.Job) bool) (model.Job, bool) {
	var ids []string
	for id, j := range m.jobs {
		if filter(j) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return model.Job{}, false
	}
	slices.Sort(ids)
	return m.jobs[rapid.SampledFrom(ids).Draw(t, "job")], true
}

func (m *stateMachine) randomWorker(t *rapid.T) model.Worker {
	return m.workers[rapid.SampledFrom(slices.Sorted(maps.Keys(m.workers))).Draw(t, "worker")]
}

func isRunning(j model.Job) bool  { return j.State == model.JobRunning }
func isStopping(j model.Job) bool { return j.State == model.JobStopping }

func (m *stateMachine) submit(t *rapid.T) {
	m.lastID++
	j := newGang(fmt.Sprintf("j%04d", m.lastID), fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "team")), randomShape(t), m.now)
	j.Stoppable = rapid.Bool().Draw(t, "stoppable")
	j.Urgency = rapid.SampledFrom(urgencies).Draw(t, "urgency")
	m.setJob(j)
}

func (m *stateMachine) endJob(t *rapid.T) {
	if j, ok := m.randomJob(t, isRunning); ok {
		m.end(j.ID, rapid.SampledFrom([]model.JobState{model.JobDone, model.JobCancelled, model.JobFailed}).Draw(t, "end"))
	}
}

func (m *stateMachine) completeStop(t *rapid.T) {
	if j, ok := m.randomJob(t, isStopping); ok {
		m.requeue(j.ID)
	}
}

func (m *stateMachine) failMember(t *rapid.T) {
	if j, ok := m.randomJob(t, isRunning); ok {
		m.failOn(j.ID, j.Members[rapid.IntRange(0, len(j.Members)-1).Draw(t, "member")].Worker)
	}
}

func (m *stateMachine) changeWorker(t *rapid.T) {
	w := m.randomWorker(t)
	m.setWorker(w.WithState(rapid.SampledFrom([]model.WorkerState{
		model.WorkerReady, model.WorkerReady, model.WorkerCordoned, model.WorkerDraining, model.WorkerLost,
	}).Draw(t, "state")))
}

func (m *stateMachine) loseRack(t *rapid.T) {
	rack := m.randomWorker(t).Rack
	for _, name := range slices.Sorted(maps.Keys(m.workers)) {
		if m.workers[name].Rack == rack {
			m.setWorker(m.workers[name].WithState(model.WorkerLost))
		}
	}
}

func (m *stateMachine) reportProbes(t *rapid.T) {
	for _, name := range m.probes {
		m.s.ProbeResult(name, rapid.Bool().Draw(t, "passed"), m.now)
	}
	m.probes = nil
}

func (m *stateMachine) changeTeam(t *rapid.T) {
	name := fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "team"))
	m.setTeam(teamWithGuarantee(name, rapid.IntRange(0, 3).Draw(t, "count"), randomShape(t)))
}

// decideOrUndo commits the decisions or, one time in six, undoes those to
// place, stop or fail a job. Neither may leave more units unbound.
func (m *stateMachine) decideOrUndo(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
	before := m.countUnbound()
	ds := m.s.Decide(m.now)
	undo := rapid.IntRange(0, 5).Draw(t, "undo") == 0
	for _, d := range ds {
		if undo && (d.Kind == Place || d.Kind == Stop || d.Kind == Fail) {
			m.s.Undo(d, m.now)
			continue
		}
		m.commit(d)
	}
	if !slices.ContainsFunc(ds, func(d Decision) bool { return d.Kind == Quarantine }) {
		require.LessOrEqual(t, m.countUnbound(), before, "a decision has left a guarantee unbound")
	}
}

// checkPlan checks an operation, which must not change the state. An operation
// that isn't refused must leave no more units unbound when it is committed.
func (m *stateMachine) checkPlan(t *rapid.T) {
	w := m.randomWorker(t)
	team := teamWithGuarantee(fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "team")), rapid.IntRange(0, 3).Draw(t, "count"), randomShape(t))
	op := rapid.SampledFrom([]model.Op{
		{Kind: model.OpSetTeam, Team: &team},
		{Kind: model.OpDropTeam, Name: team.Name},
		{Kind: model.OpCordon, Scope: model.ProximityWorker, Name: w.Name},
		{Kind: model.OpDrain, Scope: model.ProximityRack, Name: w.Rack},
	}).Draw(t, "op")
	before, free := m.s.Guarantees(), m.s.Fragmentation()
	report := m.s.Check([]model.Op{op}, m.now)
	require.Equal(t, before, m.s.Guarantees(), "a check has changed the guarantees")
	require.Equal(t, free, m.s.Fragmentation(), "a check has changed the free accelerators")
	if len(report.Refusals) > 0 {
		return
	}
	unbound := m.countUnbound()
	m.apply(op)
	require.LessOrEqual(t, m.countUnbound(), unbound, "an accepted %s has left a guarantee short", op.Kind)
}

func (m *stateMachine) apply(op model.Op) {
	switch op.Kind {
	case model.OpSetTeam:
		m.setTeam(*op.Team)
	case model.OpDropTeam:
		delete(m.teams, op.Name)
		m.s.DropTeam(op.Name, m.now)
	case model.OpCordon:
		m.setWorker(m.workers[op.Name].WithState(model.WorkerCordoned))
	case model.OpDrain:
		for _, name := range slices.Sorted(maps.Keys(m.workers)) {
			if m.workers[name].Rack == op.Name {
				m.setWorker(m.workers[name].WithState(model.WorkerDraining))
			}
		}
	}
}

// claimAll submits a job for every idle unit at the same time. Once the stops
// have completed, each job must run or other jobs of its team must use the
// guarantee.
func (m *stateMachine) claimAll(t *rapid.T) {
	var ids []string
	for _, g := range m.s.Guarantees() {
		for k, u := range g.Units {
			if len(u.Binding) == 0 || len(u.Jobs) > 0 {
				continue
			}
			j := newGang(fmt.Sprintf("claim-%d-%s-%d-%d", m.lastID, g.Team, g.Guarantee, k), g.Team, u.Shape, m.now)
			j.Urgency = model.Urgent
			ids = append(ids, j.ID)
			m.setJob(j)
		}
	}
	m.lastID++
	for range 4 {
		for _, d := range m.s.Decide(m.now) {
			m.commit(d)
		}
		m.checkInvariants()
		for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
			if m.jobs[id].State == model.JobStopping {
				m.requeue(id)
			}
		}
	}
	for _, id := range ids {
		if j := m.jobs[id]; !holdsWorkers(j.State) {
			require.False(t, m.hasIdleUnit(j), "%s wasn't reclaimed: %+v", id, m.s.Explain(id, m.now))
		}
	}
}

func (m *stateMachine) hasIdleUnit(j model.Job) bool {
	for _, g := range m.s.Guarantees() {
		for _, u := range g.Units {
			if g.Team == j.Team && u.Shape == j.Shape && len(u.Binding) > 0 && len(u.Jobs) == 0 {
				return true
			}
		}
	}
	return false
}

func (m *stateMachine) replaceLeader(t *rapid.T) {
	before := m.countUnbound()
	s := m.newLeader()
	m.checkBindings(s)
	if before == 0 && rapid.Bool().Draw(t, "take over") {
		m.s = s
		m.probes = nil
		m.recomputeLostMembers()
	}
}

// TestInvariants checks after every step of random histories that gangs are
// complete and adjacent, that no worker's capacity is exceeded, that no job
// runs twice, and that every bound guarantee can be reclaimed by stopping work.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{testCluster: newTestCluster(t, Options{}, randomFleet(t)...)}
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"submit2": m.submit,
			"finish":  m.endJob,
			"stopped": m.completeStop,
			"fails":   m.failMember,
			"worker":  m.changeWorker,
			"rack":    m.loseRack,
			"probe":   m.reportProbes,
			"team":    m.changeTeam,
			"decide":  m.decideOrUndo,
			"decide2": m.decideOrUndo,
			"leader":  m.replaceLeader,
			"plan":    m.checkPlan,
			"claim":   m.claimAll,
			"":        func(*rapid.T) { m.checkInvariants() },
		})
	})
}
