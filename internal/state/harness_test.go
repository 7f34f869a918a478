package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// startTime is the initial time on the leader's clock in every test.
var startTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// harness applies commands to two state machines, as a single leader would, and
// checks that both give the same results and the same snapshots. A restart
// replaces one of the two with a state machine that was restored from a snapshot.
type harness struct {
	t      require.TestingT
	state  *State
	second *State // receives the same commands; nil in benchmarks
	index  uint64
	term   uint64
	now    time.Time
}

func newHarness(t require.TestingT) *harness {
	return &harness{t: t, state: New(), second: New(), term: 1, now: startTime}
}

func (h *harness) apply(c Command) Result {
	c.Term = h.term
	c.Now = h.now
	b, err := Encode(c)
	require.NoError(h.t, err)
	h.index++
	result := h.state.Apply(h.index, b).(Result)
	if h.second != nil {
		h.requireEqualResults(result, h.second.Apply(h.index, b).(Result))
	}
	return result
}

func (h *harness) requireEqualResults(a, b Result) {
	require.Equal(h.t, fmt.Sprint(a.Err, a.Refused), fmt.Sprint(b.Err, b.Refused))
	a.Err, a.Refused, b.Err, b.Refused = nil, nil, nil, nil
	require.Equal(h.t, a, b)
}

// restart replaces the state machine with one that is restored from its snapshot.
// The original becomes the second state machine.
func (h *harness) restart() {
	require.Equal(h.t, string(h.snapshot()), string(snapshotOf(h.t, h.second)))
	h.state, h.second = restoreCopy(h.t, h.state), h.state
}

// mustApply applies a command and requires success.
func (h *harness) mustApply(c Command) Result {
	result := h.apply(c)
	require.NoError(h.t, result.Err)
	return result
}

func (h *harness) snapshot() []byte { return snapshotOf(h.t, h.state) }

func snapshotOf(t require.TestingT, s *State) []byte {
	write, err := s.Snapshot()
	require.NoError(t, err)
	var buf bytes.Buffer
	require.NoError(t, write(&buf))
	return buf.Bytes()
}

// restoreCopy returns a new state machine, restored from a snapshot of s.
func restoreCopy(t require.TestingT, s *State) *State {
	copied := New()
	require.NoError(t, copied.Restore(bytes.NewReader(snapshotOf(t, s))))
	return copied
}

func (h *harness) plan(operator, id string, ops ...model.Op) Result {
	return h.planAt(operator, id, 0, ops...)
}

func (h *harness) planAt(operator, id string, base uint64, ops ...model.Op) Result {
	in := model.Intent{ID: id, Operator: operator, BaseRevision: base, Ops: ops}
	return h.apply(Command{Plan: &PlanIntent{Intent: in, Deadline: h.now.Add(10 * time.Minute)}})
}

func (h *harness) confirm(operator, plan string) Result {
	return h.apply(Command{Confirm: &ConfirmPlan{PlanID: plan, Operator: operator}})
}

// mustConfirm plans and confirms operations, and requires success.
func (h *harness) mustConfirm(ops ...model.Op) model.Plan {
	planned := h.plan("setup", fmt.Sprintf("i%d", h.index), ops...)
	require.NoError(h.t, planned.Err)
	result := h.confirm("setup", planned.Plan.ID)
	require.NoError(h.t, result.Err)
	return *result.Plan
}

// addWorkers adds n workers with 8 accelerators each, three to a rack and six to
// a failure domain.
func (h *harness) addWorkers(n int) {
	var workers []model.Worker
	for i := range n {
		workers = append(workers, model.Worker{
			Name: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/3), Domain: fmt.Sprintf("d%d", i/6),
			Region: "pl", Cores: 32, Memory: 128 << 30, Accels: 8, Kind: "a", Speed: 1,
		})
	}
	h.mustApply(Command{Workers: &SetWorkers{Set: workers}})
}

func setTeam(name string, weight int) model.Op {
	return model.Op{Kind: model.OpSetTeam, Team: &model.Team{Name: name, Slots: 1, Weight: weight}}
}

func setService(name string, keepDays int) model.Op {
	return model.Op{Kind: model.OpSetService, Service: &model.Service{Name: name, LimitMs: 1000, KeepDays: keepDays}}
}

func shape(members int) model.Shape {
	return model.Shape{Members: members, Cores: 1, Memory: 1 << 30, Accels: 1, Proximity: model.ProximityAny}
}

func submit(id, team string, members int, idempotent bool) model.Op {
	return model.Op{Kind: model.OpSubmitJob, Job: &model.Job{
		ID: id, Team: team, Shape: shape(members), Command: "render " + id, Idempotent: idempotent,
	}}
}

// newReadyHarness returns a harness with six workers, the team "linen" and the
// service "rota".
func newReadyHarness(t testing.TB) *harness {
	h := newHarness(t)
	h.addWorkers(6)
	h.mustConfirm(setTeam("linen", 1), setService("rota", 2))
	return h
}

// place places the members of a job on the first workers, one on each.
func (h *harness) place(id string, members int) Result {
	var placement []model.Member
	for i := range members {
		placement = append(placement, model.Member{Index: i, Worker: fmt.Sprintf("w%02d", i)})
	}
	return h.apply(Command{Place: &PlaceJob{ID: id, Members: placement}})
}

// reportAll reports the same state for every member of a job.
func (h *harness) reportAll(id string, epoch uint64, members int, state MemberState) Result {
	var report Report
	for i := range members {
		report.Members = append(report.Members, MemberReport{Job: id, Epoch: epoch, Member: i, State: state})
	}
	return h.apply(Command{Report: &report})
}

// startJob submits, places and starts a job, and returns its epoch.
func (h *harness) startJob(id string, members int, idempotent bool) uint64 {
	h.mustConfirm(submit(id, "linen", members, idempotent))
	placed := h.place(id, members)
	require.NoError(h.t, placed.Err)
	h.reportAll(id, placed.Job.Epoch, members, MemberPrepared)
	h.mustApply(Command{Start: &StartJob{ID: id, Epoch: placed.Job.Epoch}})
	return placed.Job.Epoch
}

func (h *harness) job(id string) Job {
	j, ok := h.state.View().Job(id)
	require.True(h.t, ok)
	return j
}
