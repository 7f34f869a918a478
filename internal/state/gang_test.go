package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// leaseKey identifies one member of a job under one epoch.
type leaseKey struct {
	TaskRef
	epoch uint64
}

// fakeAgent executes the tasks assigned to its worker.
type fakeAgent struct {
	version uint64 // version of its last assignment
	leases  map[leaseKey]MemberState
}

// jobModel runs jobs on fake agents and records which members ran. Assignments
// and reports are delayed, duplicated and reordered.
type jobModel struct {
	harness     *harness
	agents      map[string]*fakeAgent
	assignments []Assignment               // assignments in transit to agents
	reports     []MemberReport             // reports in transit to the leader
	expired     map[uint64]bool            // epochs whose leases have expired
	ran         map[string]map[uint64]bool // epochs under which a member ran, by job
	started     map[uint64]bool            // epochs with a committed start
}

func newJobModel(t *rapid.T) *jobModel {
	m := &jobModel{
		harness: newHarness(t), agents: map[string]*fakeAgent{}, expired: map[uint64]bool{},
		ran: map[string]map[uint64]bool{"j0": {}, "j1": {}}, started: map[uint64]bool{},
	}
	m.harness.addWorkers(3)
	for w := range m.harness.state.View().Workers() {
		m.agents[w.Name] = &fakeAgent{leases: map[leaseKey]MemberState{}}
	}
	m.harness.mustConfirm(setTeam("linen", 1))
	m.harness.mustConfirm(submit("j0", "linen", 2, true), submit("j1", "linen", 2, false))
	return m
}

func drawJob(t *rapid.T) string { return rapid.SampledFrom([]string{"j0", "j1"}).Draw(t, "job") }

// drawEpoch draws the current epoch of a job or, less often, an arbitrary one.
func (m *jobModel) drawEpoch(t *rapid.T, id string) uint64 {
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		return rapid.Uint64Range(0, m.harness.index).Draw(t, "epoch")
	}
	return m.harness.job(id).Epoch
}

func (m *jobModel) place(t *rapid.T) {
	members := []model.Member{{Index: 0, Worker: drawWorker(t)}, {Index: 1, Worker: drawWorker(t)}}
	m.harness.apply(Command{Place: &PlaceJob{ID: drawJob(t), Members: members}})
}

func (m *jobModel) start(t *rapid.T) {
	id := drawJob(t)
	m.commitStart(t, id, m.drawEpoch(t, id))
}

// commitStart starts a gang. If the start is committed, every member must hold
// its lease, unless the leases have expired.
func (m *jobModel) commitStart(t *rapid.T, id string, epoch uint64) {
	if m.harness.apply(Command{Start: &StartJob{ID: id, Epoch: epoch}}).Err != nil {
		return
	}
	m.started[epoch] = true
	for _, member := range m.harness.job(id).Members {
		_, held := m.agents[member.Worker].leases[leaseKey{TaskRef{id, member.Index}, epoch}]
		require.True(t, held || m.expired[epoch], "gang started although a member holds no lease")
	}
}

func (m *jobModel) stop(t *rapid.T) {
	id := drawJob(t)
	m.harness.apply(Command{Stop: &StopJob{ID: id, Epoch: m.drawEpoch(t, id), Reason: "reclaim"}})
}

func (m *jobModel) end(t *rapid.T) {
	id := drawJob(t)
	c := EndJob{ID: id, Epoch: m.drawEpoch(t, id), State: model.JobQueued}
	c.LeasesExpired = rapid.IntRange(0, 3).Draw(t, "leases expired") == 0
	if rapid.IntRange(0, 5).Draw(t, "done") == 0 {
		c.State = model.JobDone
	}
	if c.LeasesExpired {
		m.expireLeases(c.Epoch)
	}
	m.harness.apply(Command{End: &c})
}

// expireLeases expires every lease under an epoch.
func (m *jobModel) expireLeases(epoch uint64) {
	m.expired[epoch] = true
	for _, a := range m.agents {
		for l := range a.leases {
			if l.epoch == epoch {
				delete(a.leases, l)
			}
		}
	}
}

func (m *jobModel) poll(t *rapid.T) {
	name := drawWorker(t)
	if a, ok := m.harness.state.View().Assignments(name, m.agents[name].version); ok {
		m.assignments = append(m.assignments, a)
	}
}

// exchange lets every agent poll and execute its assignment, and delivers all
// reports to the leader.
func (m *jobModel) exchange(t *rapid.T) {
	for _, name := range sortedKeys(m.agents) {
		if a, ok := m.harness.state.View().Assignments(name, m.agents[name].version); ok {
			m.deliverAssignment(a)
		}
	}
	m.queueReports(t)
	m.harness.mustApply(Command{Report: &Report{Members: m.reports}})
}

// advance moves a job to its next state, as the leader does when nothing fails.
func (m *jobModel) advance(t *rapid.T) {
	id := drawJob(t)
	j := m.harness.job(id)
	m.exchange(t)
	switch j.State {
	case model.JobQueued:
		members := []model.Member{{Index: 0, Worker: drawWorker(t)}, {Index: 1, Worker: drawWorker(t)}}
		m.harness.apply(Command{Place: &PlaceJob{ID: id, Members: members}})
	case model.JobPreparing:
		m.commitStart(t, id, j.Epoch)
		m.exchange(t)
	case model.JobStopping:
		m.harness.apply(Command{End: &EndJob{ID: id, Epoch: j.Epoch, State: model.JobQueued}})
	}
}

// receiveAssignment delivers an arbitrary assignment in transit to its agent.
func (m *jobModel) receiveAssignment(t *rapid.T) {
	if len(m.assignments) == 0 {
		t.Skip()
	}
	m.deliverAssignment(rapid.SampledFrom(m.assignments).Draw(t, "assignment"))
}

func (m *jobModel) deliverAssignment(a Assignment) {
	agent := m.agents[a.Worker]
	if a.Version <= agent.version {
		return
	}
	agent.version = a.Version
	for _, task := range a.Changed {
		m.runTask(agent, task)
	}
}

func (m *jobModel) runTask(a *fakeAgent, task Task) {
	l := leaseKey{TaskRef: task.TaskRef, epoch: task.Epoch}
	if m.expired[task.Epoch] {
		return
	}
	switch {
	case task.Phase == PhasePrepare:
		a.leases[l] = MemberPrepared
	case task.Phase == PhaseRun && a.leases[l] == MemberPrepared:
		a.leases[l] = MemberRunning
		m.ran[l.Job][l.epoch] = true
	case task.Phase == PhaseStop:
		delete(a.leases, l)
		m.reports = append(m.reports, MemberReport{Job: l.Job, Epoch: l.epoch, Member: l.Member, State: MemberStopped})
	}
}

// queueReports queues a report from every agent on the members whose leases it
// holds.
func (m *jobModel) queueReports(*rapid.T) {
	for _, name := range sortedKeys(m.agents) {
		for l, s := range m.agents[name].leases {
			m.reports = append(m.reports, MemberReport{Job: l.Job, Epoch: l.epoch, Member: l.Member, State: s})
		}
	}
	m.reports = sortedUniqueReports(m.reports)
}

// deliverReports delivers some of the queued reports to the leader. They stay
// queued, so they may be delivered again.
func (m *jobModel) deliverReports(t *rapid.T) {
	if len(m.reports) == 0 {
		t.Skip()
	}
	reports := rapid.SliceOfN(rapid.SampledFrom(m.reports), 1, 6).Draw(t, "reports")
	m.harness.mustApply(Command{Report: &Report{Members: reports}})
}

func (m *jobModel) check(t *rapid.T) {
	m.checkTasks(t)
	running := map[string]map[uint64]bool{"j0": {}, "j1": {}}
	for _, a := range m.agents {
		for l, s := range a.leases {
			if s != MemberRunning {
				continue
			}
			running[l.Job][l.epoch] = true
			require.True(t, m.started[l.epoch], "member runs although no start of its gang was committed")
		}
	}
	for id, epochs := range running {
		require.LessOrEqual(t, len(epochs), 1, "job %s runs under several epochs at once", id)
	}
	require.LessOrEqual(t, len(m.ran["j1"]), 1, "non-idempotent job ran more than once")
	if j := m.harness.job("j1"); j.State == model.JobDone {
		require.True(t, j.StartedEpoch != 0, "job is done but was never started")
	}
}

// checkTasks checks that the tasks of the workers are exactly the members of the
// placed jobs.
func (m *jobModel) checkTasks(t *rapid.T) {
	var want, got []TaskRef
	for j := range m.harness.state.View().Jobs() {
		if j.placed() {
			want = append(want, TaskRef{Job: j.ID}, TaskRef{Job: j.ID, Member: 1})
		}
	}
	for w := range m.harness.state.View().Workers() {
		got = append(got, w.Tasks...)
	}
	require.ElementsMatch(t, want, got)
}

func drawWorker(t *rapid.T) string {
	return rapid.SampledFrom([]string{"w00", "w01", "w02"}).Draw(t, "worker")
}

func TestGangsStartCompleteAndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newJobModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "advance": m.advance, "advance again": m.advance, "place": m.place, "start": m.start, "stop": m.stop, "end": m.end,
			"poll": m.poll, "receive": m.receiveAssignment,
			"tell": m.queueReports, "deliver": m.deliverReports,
			"restart": func(*rapid.T) { m.harness.restart() },
		})
	})
}

// sortedUniqueReports returns the distinct reports in a deterministic order. The
// order of the input comes from map iteration.
func sortedUniqueReports(reports []MemberReport) []MemberReport {
	byText := map[string]MemberReport{}
	for _, r := range reports {
		byText[fmt.Sprint(r)] = r
	}
	var out []MemberReport
	for _, key := range sortedKeys(byText) {
		out = append(out, byText[key])
	}
	return out
}
