package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// lease identifies one member of a job under one epoch.
type lease struct {
	TaskRef
	epoch uint64
}

// fakeAgent executes the tasks assigned to its worker.
type fakeAgent struct {
	version uint64
	held    map[lease]MemberState
}

// fleetModel runs jobs on fake agents and records which members ran. Assignments
// and reports are delayed, duplicated and reordered.
type fleetModel struct {
	rig     *rig
	agents  map[string]*fakeAgent
	inbox   []Assignment               // assignments in transit to agents
	outbox  []MemberReport             // reports in transit to the leader
	lapsed  map[uint64]bool            // epochs whose leases have expired
	ran     map[string]map[uint64]bool // epochs under which a member ran, by job
	started map[uint64]bool            // epochs with a committed start
}

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{
		rig: newRig(t), agents: map[string]*fakeAgent{}, lapsed: map[uint64]bool{},
		ran: map[string]map[uint64]bool{"j0": {}, "j1": {}}, started: map[uint64]bool{},
	}
	m.rig.fleet(3)
	for w := range m.rig.s.View().Workers() {
		m.agents[w.Name] = &fakeAgent{held: map[lease]MemberState{}}
	}
	m.rig.carry(setTeam("linen", 1))
	m.rig.carry(submit("j0", "linen", 2, true), submit("j1", "linen", 2, false))
	return m
}

func drawJob(t *rapid.T) string { return rapid.SampledFrom([]string{"j0", "j1"}).Draw(t, "job") }

// epoch draws the current epoch of a job or an arbitrary one.
func (m *fleetModel) epoch(t *rapid.T, id string) uint64 {
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		return rapid.Uint64Range(0, m.rig.index).Draw(t, "epoch")
	}
	return m.rig.job(id).Epoch
}

func (m *fleetModel) place(t *rapid.T) {
	members := []model.Member{{Index: 0, Worker: drawWorker(t)}, {Index: 1, Worker: drawWorker(t)}}
	m.rig.apply(Command{Place: &PlaceJob{ID: drawJob(t), Members: members}})
}

func (m *fleetModel) start(t *rapid.T) {
	id := drawJob(t)
	m.begin(t, id, m.epoch(t, id))
}

// begin starts a gang. If the start is committed, every member must hold its
// lease, unless the leases have expired.
func (m *fleetModel) begin(t *rapid.T, id string, epoch uint64) {
	if m.rig.apply(Command{Start: &StartJob{ID: id, Epoch: epoch}}).Err != nil {
		return
	}
	m.started[epoch] = true
	for _, member := range m.rig.job(id).Members {
		_, held := m.agents[member.Worker].held[lease{TaskRef{id, member.Index}, epoch}]
		require.True(t, held || m.lapsed[epoch], "gang started although a member holds no lease")
	}
}

func (m *fleetModel) stop(t *rapid.T) {
	id := drawJob(t)
	m.rig.apply(Command{Stop: &StopJob{ID: id, Epoch: m.epoch(t, id), Reason: "reclaim"}})
}

func (m *fleetModel) end(t *rapid.T) {
	id := drawJob(t)
	c := EndJob{ID: id, Epoch: m.epoch(t, id), State: model.JobQueued}
	c.Lapsed = rapid.IntRange(0, 3).Draw(t, "lapsed") == 0
	if rapid.IntRange(0, 5).Draw(t, "done") == 0 {
		c.State = model.JobDone
	}
	if c.Lapsed {
		m.lapse(c.Epoch)
	}
	m.rig.apply(Command{End: &c})
}

// lapse expires every lease under an epoch.
func (m *fleetModel) lapse(epoch uint64) {
	m.lapsed[epoch] = true
	for _, a := range m.agents {
		for l := range a.held {
			if l.epoch == epoch {
				delete(a.held, l)
			}
		}
	}
}

func (m *fleetModel) poll(t *rapid.T) {
	name := drawWorker(t)
	if a, ok := m.rig.s.View().Assignments(name, m.agents[name].version); ok {
		m.inbox = append(m.inbox, a)
	}
}

// exchange lets every agent poll and execute its assignment, and delivers all
// reports to the leader.
func (m *fleetModel) exchange(t *rapid.T) {
	for _, name := range sortedKeys(m.agents) {
		if a, ok := m.rig.s.View().Assignments(name, m.agents[name].version); ok {
			m.hand(a)
		}
	}
	m.tell(t)
	m.rig.must(Command{Report: &Report{Members: m.outbox}})
}

// advance moves a job to its next state, as the leader does when nothing fails.
func (m *fleetModel) advance(t *rapid.T) {
	id := drawJob(t)
	j := m.rig.job(id)
	m.exchange(t)
	switch j.State {
	case model.JobQueued:
		members := []model.Member{{Index: 0, Worker: drawWorker(t)}, {Index: 1, Worker: drawWorker(t)}}
		m.rig.apply(Command{Place: &PlaceJob{ID: id, Members: members}})
	case model.JobPreparing:
		m.begin(t, id, j.Epoch)
		m.exchange(t)
	case model.JobStopping:
		m.rig.apply(Command{End: &EndJob{ID: id, Epoch: j.Epoch, State: model.JobQueued}})
	}
}

// receive delivers an arbitrary assignment in transit to its agent.
func (m *fleetModel) receive(t *rapid.T) {
	if len(m.inbox) == 0 {
		t.Skip()
	}
	m.hand(rapid.SampledFrom(m.inbox).Draw(t, "answer"))
}

func (m *fleetModel) hand(a Assignment) {
	agent := m.agents[a.Worker]
	if a.Version <= agent.version {
		return
	}
	agent.version = a.Version
	for _, task := range a.Changed {
		m.carryOut(agent, task)
	}
}

func (m *fleetModel) carryOut(a *fakeAgent, task Task) {
	l := lease{TaskRef: task.TaskRef, epoch: task.Epoch}
	if m.lapsed[task.Epoch] {
		return
	}
	switch {
	case task.Phase == PhasePrepare:
		a.held[l] = MemberPrepared
	case task.Phase == PhaseRun && a.held[l] == MemberPrepared:
		a.held[l] = MemberRunning
		m.ran[l.Job][l.epoch] = true
	case task.Phase == PhaseStop:
		delete(a.held, l)
		m.outbox = append(m.outbox, MemberReport{Job: l.Job, Epoch: l.epoch, Member: l.Member, State: MemberStopped})
	}
}

// tell queues a report from every agent on the members whose leases it holds.
func (m *fleetModel) tell(*rapid.T) {
	for _, name := range sortedKeys(m.agents) {
		for l, s := range m.agents[name].held {
			m.outbox = append(m.outbox, MemberReport{Job: l.Job, Epoch: l.epoch, Member: l.Member, State: s})
		}
	}
	m.outbox = sortReports(m.outbox)
}

// deliver delivers some of the queued reports to the leader. They stay queued, so
// they may be delivered again.
func (m *fleetModel) deliver(t *rapid.T) {
	if len(m.outbox) == 0 {
		t.Skip()
	}
	some := rapid.SliceOfN(rapid.SampledFrom(m.outbox), 1, 6).Draw(t, "reports")
	m.rig.must(Command{Report: &Report{Members: some}})
}

func (m *fleetModel) check(t *rapid.T) {
	m.checkTasks(t)
	running := map[string]map[uint64]bool{"j0": {}, "j1": {}}
	for _, a := range m.agents {
		for l, s := range a.held {
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
	if s := m.rig.job("j1"); s.State == model.JobDone {
		require.True(t, s.Begun != 0, "job is done but was never started")
	}
}

// checkTasks checks that the tasks of the workers are exactly the members of the
// placed jobs.
func (m *fleetModel) checkTasks(t *rapid.T) {
	var want, got []TaskRef
	for j := range m.rig.s.View().Jobs() {
		if j.placed() {
			want = append(want, TaskRef{Job: j.ID}, TaskRef{Job: j.ID, Member: 1})
		}
	}
	for w := range m.rig.s.View().Workers() {
		got = append(got, w.Tasks...)
	}
	require.ElementsMatch(t, want, got)
}

func drawWorker(t *rapid.T) string {
	return rapid.SampledFrom([]string{"w00", "w01", "w02"}).Draw(t, "worker")
}

func TestGangsRunWholeAndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "advance": m.advance, "advance again": m.advance, "place": m.place, "start": m.start, "stop": m.stop, "end": m.end,
			"poll": m.poll, "receive": m.receive,
			"tell": m.tell, "deliver": m.deliver,
			"restart": func(*rapid.T) { m.rig.restart() },
		})
	})
}

// sortReports returns the distinct reports in a deterministic order. The order of
// the input comes from map iteration.
func sortReports(rs []MemberReport) []MemberReport {
	byText := map[string]MemberReport{}
	for _, r := range rs {
		byText[fmt.Sprint(r)] = r
	}
	var out []MemberReport
	for _, key := range sortedKeys(byText) {
		out = append(out, byText[key])
	}
	return out
}
