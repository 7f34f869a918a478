package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// start is the initial time on the leader's clock in every test.
var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// rig applies commands to two state machines, as a single leader would, and checks
// that both give the same results and the same snapshots. A restart replaces one
// of the two with a state machine that was restored from a snapshot.
type rig struct {
	t     require.TestingT
	s     *State
	twin  *State // nil in benchmarks
	index uint64
	term  uint64
	now   time.Time
}

func newRig(t require.TestingT) *rig {
	return &rig{t: t, s: New(), twin: New(), term: 1, now: start}
}

func (r *rig) apply(c Command) Result {
	c.Term = r.term
	c.Now = r.now
	b, err := Encode(c)
	require.NoError(r.t, err)
	r.index++
	out := r.s.Apply(r.index, b).(Result)
	if r.twin != nil {
		r.compare(out, r.twin.Apply(r.index, b).(Result))
	}
	return out
}

func (r *rig) compare(a, b Result) {
	require.Equal(r.t, fmt.Sprint(a.Err, a.Refused), fmt.Sprint(b.Err, b.Refused))
	a.Err, a.Refused, b.Err, b.Refused = nil, nil, nil, nil
	require.Equal(r.t, a, b)
}

// restart replaces the state machine with one that is restored from its snapshot.
// The original becomes the second state machine.
func (r *rig) restart() {
	require.Equal(r.t, string(r.snapshot()), string(snapshotOf(r.t, r.twin)))
	r.s, r.twin = restored(r.t, r.s), r.s
}

// must applies a command and requires success.
func (r *rig) must(c Command) Result {
	out := r.apply(c)
	require.NoError(r.t, out.Err)
	return out
}

func (r *rig) snapshot() []byte { return snapshotOf(r.t, r.s) }

func snapshotOf(t require.TestingT, s *State) []byte {
	write, err := s.Snapshot()
	require.NoError(t, err)
	var buf bytes.Buffer
	require.NoError(t, write(&buf))
	return buf.Bytes()
}

// restored returns a new state machine, restored from a snapshot of s.
func restored(t require.TestingT, s *State) *State {
	out := New()
	require.NoError(t, out.Restore(bytes.NewReader(snapshotOf(t, s))))
	return out
}

func (r *rig) plan(operator, id string, ops ...model.Op) Result {
	return r.planAt(operator, id, 0, ops...)
}

func (r *rig) planAt(operator, id string, base uint64, ops ...model.Op) Result {
	in := model.Intent{ID: id, Operator: operator, Base: base, Ops: ops}
	return r.apply(Command{Plan: &PlanIntent{Intent: in, Deadline: r.now.Add(10 * time.Minute)}})
}

func (r *rig) confirm(operator, plan string) Result {
	return r.apply(Command{Confirm: &ConfirmPlan{PlanID: plan, Operator: operator}})
}

// carry plans and confirms operations, and requires success.
func (r *rig) carry(ops ...model.Op) model.Plan {
	p := r.plan("setup", fmt.Sprintf("i%d", r.index), ops...)
	require.NoError(r.t, p.Err)
	out := r.confirm("setup", p.Plan.ID)
	require.NoError(r.t, out.Err)
	return *out.Plan
}

// fleet adds n workers with 8 accelerators each, three to a rack and six to a
// failure domain.
func (r *rig) fleet(n int) {
	var set []model.Worker
	for i := range n {
		set = append(set, model.Worker{
			Name: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/3), Domain: fmt.Sprintf("d%d", i/6),
			Region: "pl", Cores: 32, Memory: 128 << 30, Accels: 8, Kind: "a", Speed: 1,
		})
	}
	r.must(Command{Workers: &SetWorkers{Set: set}})
}

func setTeam(name string, weight int) model.Op {
	return model.Op{Kind: model.OpSetTeam, Team: &model.Team{Name: name, Slots: 1, Weight: weight}}
}

func setService(name string, keep int) model.Op {
	return model.Op{Kind: model.OpSetService, Service: &model.Service{Name: name, LimitMs: 1000, KeepDays: keep}}
}

func shape(members int) model.Shape {
	return model.Shape{Members: members, Cores: 1, Memory: 1 << 30, Accels: 1, Near: model.NearAny}
}

func submit(id, team string, members int, idempotent bool) model.Op {
	return model.Op{Kind: model.OpSubmitJob, Job: &model.Job{
		ID: id, Team: team, Shape: shape(members), Command: "render " + id, Idempotent: idempotent,
	}}
}

// ready returns a rig with six workers, the team "linen" and the service "rota".
func ready(t testing.TB) *rig {
	r := newRig(t)
	r.fleet(6)
	r.carry(setTeam("linen", 1), setService("rota", 2))
	return r
}

// place places the members of a job on the first workers, one on each.
func (r *rig) place(id string, members int) Result {
	var m []model.Member
	for i := range members {
		m = append(m, model.Member{Index: i, Worker: fmt.Sprintf("w%02d", i)})
	}
	return r.apply(Command{Place: &PlaceJob{ID: id, Members: m}})
}

// report reports state m for every member of a job.
func (r *rig) report(id string, epoch uint64, members int, m MemberState) Result {
	var out Report
	for i := range members {
		out.Members = append(out.Members, MemberReport{Job: id, Epoch: epoch, Member: i, State: m})
	}
	return r.apply(Command{Report: &out})
}

// running submits, places and starts a job, and returns its epoch.
func (r *rig) running(id string, members int, idempotent bool) uint64 {
	r.carry(submit(id, "linen", members, idempotent))
	placed := r.place(id, members)
	require.NoError(r.t, placed.Err)
	r.report(id, placed.Job.Epoch, members, MemberPrepared)
	r.must(Command{Start: &StartJob{ID: id, Epoch: placed.Job.Epoch}})
	return placed.Job.Epoch
}

func (r *rig) job(id string) Job {
	j, ok := r.s.View().Job(id)
	require.True(r.t, ok)
	return j
}
