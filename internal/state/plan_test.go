package state

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func TestRacingOperatorsOneWinner(t *testing.T) {
	r := ready(t)
	// Both operators use the same intent id, base and weight.
	ann := r.plan("ann", "42", setTeam("linen", 5))
	bob := r.plan("bob", "42", setTeam("linen", 5))
	require.NoError(t, ann.Err)
	require.NoError(t, bob.Err)
	require.NotEqual(t, ann.Plan.ID, bob.Plan.ID)
	require.Equal(t, ann.Plan.Base, bob.Plan.Base)

	won := r.confirm("ann", ann.Plan.ID)
	require.NoError(t, won.Err)
	require.Equal(t, model.PlanConfirmed, won.Plan.State)
	lost := r.confirm("bob", bob.Plan.ID)
	require.ErrorIs(t, lost.Err, ErrConflict)
	require.Equal(t, model.PlanConflict, lost.Plan.State)
	require.Contains(t, lost.Err.Error(), "revision 2")
	require.Contains(t, lost.Err.Error(), ann.Plan.ID)
	require.Contains(t, lost.Err.Error(), "ann")
	require.Equal(t, won.Plan.Revision, r.s.View().Revision())

	again := r.confirm("bob", bob.Plan.ID)
	require.Equal(t, lost.Plan, again.Plan)
	require.ErrorIs(t, again.Err, ErrConflict)
}

func TestConfirmResentGetsStoredAnswer(t *testing.T) {
	r := ready(t)
	p := r.plan("ann", "1", setTeam("linen", 5))
	first := r.confirm("ann", p.Plan.ID)
	require.NoError(t, first.Err)
	r.now = r.now.Add(6 * 24 * time.Hour)
	r.must(Command{Expire: &Expire{}})
	r.carry(setTeam("linen", 6))
	r.restart()
	again := r.confirm("ann", p.Plan.ID)
	require.NoError(t, again.Err)
	require.Equal(t, first.Plan, again.Plan)
	resent := r.plan("ann", "1", setTeam("linen", 5))
	require.Equal(t, first.Plan, resent.Plan)
	linen, _ := r.s.View().Config().Team("linen")
	require.Equal(t, 6, linen.Weight, "a resend changes nothing")
}

func TestIntentIDReused(t *testing.T) {
	r := ready(t)
	p := r.plan("ann", "1", setTeam("linen", 5))
	require.NoError(t, p.Err)
	require.ErrorIs(t, r.plan("ann", "1", setTeam("linen", 6)).Err, ErrIntentReused)
	require.NoError(t, r.plan("bob", "1", setTeam("linen", 6)).Err, "ids are scoped to the operator")
}

func TestPlanExpires(t *testing.T) {
	r := ready(t)
	p := r.plan("ann", "1", setTeam("linen", 5))
	r.now = p.Plan.Deadline
	out := r.confirm("ann", p.Plan.ID)
	require.ErrorIs(t, out.Err, ErrExpired)
	r.now = start // the clock of another leader is behind; the stored answer doesn't change
	require.ErrorIs(t, r.confirm("ann", p.Plan.ID).Err, ErrExpired)
	require.EqualValues(t, 1, r.s.View().Revision())
}

func TestExpireMarksOpenPlans(t *testing.T) {
	r := ready(t)
	p := r.plan("ann", "1", setTeam("linen", 5))
	r.now = r.now.Add(time.Hour)
	r.must(Command{Expire: &Expire{}})
	got, ok := r.s.View().Plan(p.Plan.ID)
	require.True(t, ok)
	require.Equal(t, model.PlanExpired, got.State)
	r.now = r.now.Add(planRetention)
	r.must(Command{Expire: &Expire{}})
	_, ok = r.s.View().Plan(p.Plan.ID)
	require.False(t, ok)
}

func TestDryRunStoresNothing(t *testing.T) {
	r := ready(t)
	in := PlanIntent{
		Intent:   model.Intent{ID: "1", Operator: "ann", DryRun: true, Ops: []model.Op{setTeam("linen", 5)}},
		Deadline: r.now.Add(time.Minute),
	}
	before := r.s.View().Counts()
	out := r.must(Command{Plan: &in})
	require.Empty(t, out.Plan.ID)
	require.Equal(t, *out.Plan, DryRun(r.s.View(), in, r.now))
	require.NotEmpty(t, out.Plan.Changes)
	require.Equal(t, before, r.s.View().Counts())
	require.ErrorIs(t, r.confirm("ann", "").Err, ErrNotFound)
	require.NoError(t, r.plan("ann", "1", setTeam("linen", 5)).Err, "the id is free for the real intent")
}

func TestOtherOperatorCannotConfirm(t *testing.T) {
	r := ready(t)
	p := r.plan("ann", "1", setTeam("linen", 5))
	out := r.confirm("bob", p.Plan.ID)
	require.ErrorIs(t, out.Err, ErrRefused)
	require.Equal(t, "operator", out.Refusals[0].Field)
}

func TestExplicitBase(t *testing.T) {
	r := ready(t)
	r.carry(setTeam("linen", 2))
	stale := r.planAt("ann", "1", 1, setTeam("linen", 5))
	require.ErrorIs(t, stale.Err, ErrConflict)
	future := r.planAt("ann", "2", 99, setTeam("linen", 5))
	require.ErrorIs(t, future.Err, ErrRefused)
	require.Equal(t, "base", future.Refusals[0].Field)
}

func TestJobsAndWorkersConflictPerObject(t *testing.T) {
	r := ready(t)
	ann := r.plan("ann", "1", submit("j1", "linen", 1, true))
	bob := r.plan("bob", "1", submit("j1", "linen", 1, true))
	cid := r.plan("cid", "1", submit("j2", "linen", 1, true))
	dot := r.plan("dot", "1", model.Op{Kind: model.OpCordon, Scope: model.NearWorker, Name: "w00"})
	eve := r.plan("eve", "1", model.Op{Kind: model.OpDrain, Scope: model.NearRack, Name: "r0"})
	fay := r.plan("fay", "1", model.Op{Kind: model.OpDrain, Scope: model.NearRack, Name: "r1"})
	r.carry(setTeam("linen", 9))
	require.NoError(t, r.confirm("ann", ann.Plan.ID).Err)
	lost := r.confirm("bob", bob.Plan.ID)
	require.ErrorIs(t, lost.Err, ErrConflict)
	require.Contains(t, lost.Err.Error(), ann.Plan.ID)
	require.NoError(t, r.confirm("cid", cid.Plan.ID).Err)
	require.NoError(t, r.confirm("dot", dot.Plan.ID).Err)
	lost = r.confirm("eve", eve.Plan.ID)
	require.ErrorIs(t, lost.Err, ErrConflict)
	require.Contains(t, lost.Err.Error(), dot.Plan.ID)
	require.NoError(t, r.confirm("fay", fay.Plan.ID).Err)
}

func TestConfirmChecksAgain(t *testing.T) {
	r := ready(t)
	r.carry(setTeam("other", 1))
	p := r.plan("ann", "1", submit("j1", "other", 1, true))
	r.carry(model.Op{Kind: model.OpDropTeam, Name: "other"})
	out := r.confirm("ann", p.Plan.ID)
	require.ErrorIs(t, out.Err, ErrRefused)
	require.Equal(t, "ops[0].job.team", out.Refusals[0].Field)
}

func TestConfirmWithVerdict(t *testing.T) {
	r := ready(t)
	confirm := func(v Verdict, seen uint64) Result {
		p := r.plan("ann", time.Duration(r.index).String(), setTeam("linen", 5))
		return r.apply(Command{Confirm: &ConfirmPlan{
			PlanID: p.Plan.ID, Operator: "ann", Verdict: &v, Seen: seen,
		}})
	}
	seen := r.s.View().Fleet()
	require.ErrorIs(t, confirm(Verdict{Preempts: []string{"j9"}}, seen).Err, ErrConflict)
	require.ErrorIs(t, confirm(Verdict{Refusals: []model.Refusal{{Field: "x"}}}, seen).Err, ErrRefused)
	r.must(Command{Mark: &MarkWorker{Name: "w00", Mark: MarkLost}})
	late := confirm(Verdict{}, seen)
	require.ErrorIs(t, late.Err, ErrSuperseded)
	require.NoError(t, confirm(Verdict{}, r.s.View().Fleet()).Err)
}

func TestRefusalsNameTheField(t *testing.T) {
	huge := shape(1)
	huge.Memory = 1 << 44
	wide := shape(9)
	wide.Near = model.NearWorker
	job := func(edit func(*model.Job)) model.Op {
		op := submit("j", "linen", 1, true)
		edit(op.Job)
		return op
	}
	team := func(g ...model.Guarantee) model.Op {
		return model.Op{Kind: model.OpSetTeam, Team: &model.Team{Name: "x", Guarantees: g}}
	}
	drop := model.Op{Kind: model.OpDropTeam, Name: "linen"}
	cases := map[string][]model.Op{
		"ops":                                    {},
		"ops[0].kind":                            {{Kind: "boil"}},
		"ops[0].team":                            {{Kind: model.OpSetTeam}},
		"ops[0].job":                             {{Kind: model.OpSubmitJob}},
		"ops[0].service":                         {{Kind: model.OpSetService}},
		"ops[0].team.name":                       {setTeam("no spaces", 1)},
		"ops[0].team.weight":                     {setTeam("x", -1)},
		"ops[1].team.name":                       {setTeam("x", 1), setTeam("x", 1)},
		"ops[0].team.keys[0]":                    {{Kind: model.OpSetTeam, Team: &model.Team{Name: "x", Keys: []string{"k"}}}},
		"ops[0].team.guarantees[0].count":        {team(model.Guarantee{Shape: shape(1)})},
		"ops[0].team.guarantees[0].shape.near":   {team(model.Guarantee{Shape: model.Shape{Members: 1, Cores: 1, Memory: 1}, Count: 1})},
		"ops[0].team.guarantees[1].shape.memory": {team(model.Guarantee{Shape: shape(1), Count: 1}, model.Guarantee{Shape: model.Shape{Members: 1, Cores: 1, Memory: -1, Near: model.NearAny}, Count: 1})},
		"ops[0].service.keepdays":                {setService("s", 366)},
		"ops[0].service.limitms":                 {{Kind: model.OpSetService, Service: &model.Service{Name: "s"}}},
		"ops[0].service.teams[0]":                {{Kind: model.OpSetService, Service: &model.Service{Name: "s", LimitMs: 1, Teams: []string{"who"}}}},
		"ops[0].job.shape.members":               {submit("j", "linen", 513, true)},
		"ops[0].job.shape.cores":                 {job(func(j *model.Job) { j.Shape.Cores = 0 })},
		"ops[0].job.team":                        {submit("j", "who", 1, true)},
		"ops[0].job.id":                          {submit("", "linen", 1, true)},
		"ops[1].job.id":                          {submit("j", "linen", 1, true), submit("j", "linen", 1, true)},
		"ops[0].job.command":                     {job(func(j *model.Job) { j.Command = "" })},
		"ops[0].job.estimatems":                  {job(func(j *model.Job) { j.EstimateMs = -1 })},
		"ops[0].job.urgency":                     {job(func(j *model.Job) { j.Urgency = "now" })},
		"ops[0].job.deadline":                    {job(func(j *model.Job) { j.Deadline = start })},
		"ops[0].job.epoch":                       {job(func(j *model.Job) { j.Epoch = 3 })},
		"ops[0].name":                            {{Kind: model.OpCancelJob, Name: "who"}},
		"ops[0].scope":                           {{Kind: model.OpDrain, Name: "w00"}},
		"ops[1].name":                            {submit("j", "linen", 1, true), drop},
		"ops[2].job.team":                        {setTeam("y", 1), drop, submit("j", "linen", 1, true)},
	}
	r := ready(t)
	for field, ops := range cases {
		out := r.plan("ann", "i"+strings.NewReplacer("[", "-", "]", "-").Replace(field), ops...)
		require.ErrorIs(t, out.Err, ErrRefused, field)
		require.Equal(t, field, out.Refusals[0].Field)
		require.NotEmpty(t, out.Refusals[0].Reason, field)
		require.Equal(t, model.PlanRefused, out.Plan.State)
	}
	tooWide := r.plan("ann", "wide", model.Op{Kind: model.OpSubmitJob, Job: &model.Job{ID: "w", Team: "linen", Shape: wide, Command: "x"}})
	require.Equal(t, "ops[0].job.shape.members", tooWide.Refusals[0].Field)
	require.Contains(t, tooWide.Refusals[0].Reason, "at most 8 such members within one worker")
	over := r.plan("ann", "over", team(model.Guarantee{Shape: huge, Count: 100_000}))
	require.Equal(t, "ops[0].team.guarantees[0].shape.members", over.Refusals[0].Field)
	huge.Members = 512
	over = r.plan("ann", "over2", team(model.Guarantee{Shape: huge, Count: 100_000}))
	require.Contains(t, over.Refusals[0].Reason, "overflow")
}

func TestTeamWithJobsCannotBeDropped(t *testing.T) {
	r := ready(t)
	r.carry(submit("j", "linen", 1, true))
	drop := model.Op{Kind: model.OpDropTeam, Name: "linen"}
	require.ErrorIs(t, r.plan("ann", "1", drop).Err, ErrRefused)
	r.carry(model.Op{Kind: model.OpCancelJob, Name: "j"})
	require.NoError(t, r.plan("ann", "2", drop).Err)
}

func TestBadIntentIDIsRefusedUnstored(t *testing.T) {
	r := ready(t)
	out := r.plan("", strings.Repeat("x", 129), setTeam("linen", 2))
	require.ErrorIs(t, out.Err, ErrRefused)
	require.Equal(t, "id", out.Refusals[0].Field)
	require.Equal(t, "operator", out.Refusals[1].Field)
	require.Equal(t, 1, r.s.View().Counts().Plans)
}
