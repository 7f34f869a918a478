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
	nears     = []model.Near{model.NearWorker, model.NearRack, model.NearDomain, model.NearAny}
	urgencies = []model.Urgency{model.Urgent, model.Normal, model.Low}
)

func drawFleet(t *rapid.T) []model.Worker {
	n := rapid.IntRange(3, 14).Draw(t, "workers")
	ws := make([]model.Worker, n)
	for i := range ws {
		rack := i / rapid.IntRange(2, 3).Draw(t, "perrack")
		ws[i] = host(rack%3, rack, i)
		ws[i].Speed = rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "speed")
		ws[i].Accels = rapid.SampledFrom([]int{0, 4, 8, 8}).Draw(t, "accels")
	}
	return ws
}

func drawShape(t *rapid.T) model.Shape {
	s := shape(rapid.IntRange(1, 4).Draw(t, "members"), rapid.SampledFrom([]int{0, 1, 2, 4, 8}).Draw(t, "accels"),
		rapid.SampledFrom(nears).Draw(t, "near"))
	s.Cores = max(s.Cores, 1)
	return s
}

// machine applies random operations to a world, which is checked after each one.
type machine struct {
	*world
	seq int
}

func (m *machine) anyJob(t *rapid.T, in func(model.Job) bool) (model.Job, bool) {
	var ids []string
	for id, j := range m.jobs {
		if in(j) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return model.Job{}, false
	}
	slices.Sort(ids)
	return m.jobs[rapid.SampledFrom(ids).Draw(t, "job")], true
}

func (m *machine) anyWorker(t *rapid.T) model.Worker {
	return m.workers[rapid.SampledFrom(slices.Sorted(maps.Keys(m.workers))).Draw(t, "worker")]
}

func running(j model.Job) bool  { return j.State == model.JobRunning }
func stopping(j model.Job) bool { return j.State == model.JobStopping }

func (m *machine) submit(t *rapid.T) {
	m.seq++
	j := gang(fmt.Sprintf("j%04d", m.seq), fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "team")), drawShape(t), m.now)
	j.Stoppable = rapid.Bool().Draw(t, "stoppable")
	j.Urgency = rapid.SampledFrom(urgencies).Draw(t, "urgency")
	m.setJob(j)
}

func (m *machine) finish(t *rapid.T) {
	if j, ok := m.anyJob(t, running); ok {
		m.end(j.ID, rapid.SampledFrom([]model.JobState{model.JobDone, model.JobCancelled, model.JobFailed}).Draw(t, "end"))
	}
}

func (m *machine) stopped(t *rapid.T) {
	if j, ok := m.anyJob(t, stopping); ok {
		m.requeue(j.ID)
	}
}

func (m *machine) memberFails(t *rapid.T) {
	if j, ok := m.anyJob(t, running); ok {
		m.failOn(j.ID, j.Members[rapid.IntRange(0, len(j.Members)-1).Draw(t, "member")].Worker)
	}
}

func (m *machine) workerChanges(t *rapid.T) {
	w := m.anyWorker(t)
	m.setWorker(w.WithState(rapid.SampledFrom([]model.WorkerState{
		model.WorkerReady, model.WorkerReady, model.WorkerCordoned, model.WorkerDraining, model.WorkerLost,
	}).Draw(t, "state")))
}

func (m *machine) rackLost(t *rapid.T) {
	rack := m.anyWorker(t).Rack
	for _, name := range slices.Sorted(maps.Keys(m.workers)) {
		if m.workers[name].Rack == rack {
			m.setWorker(m.workers[name].WithState(model.WorkerLost))
		}
	}
}

func (m *machine) probed(t *rapid.T) {
	for _, name := range m.probes {
		m.s.ProbeResult(name, rapid.Bool().Draw(t, "passed"), m.now)
	}
	m.probes = nil
}

func (m *machine) teamChanges(t *rapid.T) {
	name := fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "team"))
	m.setTeam(holding(name, rapid.IntRange(0, 3).Draw(t, "count"), drawShape(t)))
}

// decideOrForget commits the decisions or, one time in six, forgets those to place,
// stop or fail a job. Neither may leave more units unbound.
func (m *machine) decideOrForget(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
	before := m.short()
	ds := m.s.Decide(m.now)
	lose := rapid.IntRange(0, 5).Draw(t, "lose") == 0
	for _, d := range ds {
		if lose && (d.Kind == Place || d.Kind == Stop || d.Kind == Fail) {
			m.s.Forget(d, m.now)
			continue
		}
		m.commit(d)
	}
	if !slices.ContainsFunc(ds, func(d Decision) bool { return d.Kind == Quarantine }) {
		require.LessOrEqual(t, m.short(), before, "a decision has left a guarantee unbound")
	}
}

// plan checks an operation, which must not change the state. An operation that
// isn't refused must leave no more units unbound when it is committed.
func (m *machine) plan(t *rapid.T) {
	w := m.anyWorker(t)
	team := holding(fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "team")), rapid.IntRange(0, 3).Draw(t, "count"), drawShape(t))
	op := rapid.SampledFrom([]model.Op{
		{Kind: model.OpSetTeam, Team: &team},
		{Kind: model.OpDropTeam, Name: team.Name},
		{Kind: model.OpCordon, Scope: model.NearWorker, Name: w.Name},
		{Kind: model.OpDrain, Scope: model.NearRack, Name: w.Rack},
	}).Draw(t, "op")
	before, free := m.s.Guarantees(), m.s.Fragmentation()
	report := m.s.Check([]model.Op{op}, m.now)
	require.Equal(t, before, m.s.Guarantees(), "a check has changed the guarantees")
	require.Equal(t, free, m.s.Fragmentation(), "a check has changed the free accelerators")
	if len(report.Refusals) > 0 {
		return
	}
	short := m.short()
	m.apply(op)
	require.LessOrEqual(t, m.short(), short, "an accepted %s has left a guarantee short", op.Kind)
}

func (m *machine) apply(op model.Op) {
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

// claimAll submits a job for every idle unit at the same time. Once the stops have
// completed, each job must run or other jobs of its team must use the guarantee.
func (m *machine) claimAll(t *rapid.T) {
	var ids []string
	for _, h := range m.s.Guarantees() {
		for k, b := range h.Units {
			if len(b.Cells) == 0 || len(b.Jobs) > 0 {
				continue
			}
			j := gang(fmt.Sprintf("claim-%d-%s-%d-%d", m.seq, h.Team, h.Guarantee, k), h.Team, b.Shape, m.now)
			j.Urgency = model.Urgent
			ids = append(ids, j.ID)
			m.setJob(j)
		}
	}
	m.seq++
	for range 4 {
		for _, d := range m.s.Decide(m.now) {
			m.commit(d)
		}
		m.check()
		for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
			if m.jobs[id].State == model.JobStopping {
				m.requeue(id)
			}
		}
	}
	for _, id := range ids {
		if j := m.jobs[id]; !holds(j.State) {
			require.False(t, m.idleUnit(j), "%s wasn't reclaimed: %+v", id, m.s.Explain(id, m.now))
		}
	}
}

func (m *machine) idleUnit(j model.Job) bool {
	for _, h := range m.s.Guarantees() {
		for _, b := range h.Units {
			if h.Team == j.Team && b.Shape == j.Shape && len(b.Cells) > 0 && len(b.Jobs) == 0 {
				return true
			}
		}
	}
	return false
}

func (m *machine) newLeader(t *rapid.T) {
	before := m.short()
	s := m.leader()
	m.checkWitness(s)
	if before == 0 && rapid.Bool().Draw(t, "take over") {
		m.s = s
		m.probes = nil
		m.markDoomed()
	}
}

// TestInvariants checks after every step of random histories that gangs are
// complete and adjacent, that no worker's capacity is exceeded, that no job runs
// twice, and that every bound guarantee can be reclaimed by stopping work.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{world: newWorld(t, Options{}, drawFleet(t)...)}
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"submit2": m.submit,
			"finish":  m.finish,
			"stopped": m.stopped,
			"fails":   m.memberFails,
			"worker":  m.workerChanges,
			"rack":    m.rackLost,
			"probe":   m.probed,
			"team":    m.teamChanges,
			"decide":  m.decideOrForget,
			"decide2": m.decideOrForget,
			"leader":  m.newLeader,
			"plan":    m.plan,
			"claim":   m.claimAll,
			"":        func(*rapid.T) { m.check() },
		})
	})
}
