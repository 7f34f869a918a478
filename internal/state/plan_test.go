package state

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func TestConcurrentPlansOneIsConfirmed(t *testing.T) {
	h := newReadyHarness(t)
	// Both operators use the same intent id, base and weight.
	ann := h.plan("ann", "42", setTeam("linen", 5))
	bob := h.plan("bob", "42", setTeam("linen", 5))
	require.NoError(t, ann.Err)
	require.NoError(t, bob.Err)
	require.NotEqual(t, ann.Plan.ID, bob.Plan.ID)
	require.Equal(t, ann.Plan.BaseRevision, bob.Plan.BaseRevision)

	confirmed := h.confirm("ann", ann.Plan.ID)
	require.NoError(t, confirmed.Err)
	require.Equal(t, model.PlanConfirmed, confirmed.Plan.State)
	conflicting := h.confirm("bob", bob.Plan.ID)
	require.ErrorIs(t, conflicting.Err, ErrConflict)
	require.Equal(t, model.PlanConflict, conflicting.Plan.State)
	require.Contains(t, conflicting.Err.Error(), "revision 2")
	require.Contains(t, conflicting.Err.Error(), ann.Plan.ID)
	require.Contains(t, conflicting.Err.Error(), "ann")
	require.Equal(t, confirmed.Plan.Revision, h.state.View().Revision())

	again := h.confirm("bob", bob.Plan.ID)
	require.Equal(t, conflicting.Plan, again.Plan)
	require.ErrorIs(t, again.Err, ErrConflict)
}

func TestResentConfirmReturnsStoredAnswer(t *testing.T) {
	h := newReadyHarness(t)
	p := h.plan("ann", "1", setTeam("linen", 5))
	first := h.confirm("ann", p.Plan.ID)
	require.NoError(t, first.Err)
	h.now = h.now.Add(6 * 24 * time.Hour)
	h.mustApply(Command{Expire: &Expire{}})
	h.mustConfirm(setTeam("linen", 6))
	h.restart()
	again := h.confirm("ann", p.Plan.ID)
	require.NoError(t, again.Err)
	require.Equal(t, first.Plan, again.Plan)
	resent := h.plan("ann", "1", setTeam("linen", 5))
	require.Equal(t, first.Plan, resent.Plan)
	linen, _ := h.state.View().Config().Team("linen")
	require.Equal(t, 6, linen.Weight, "a resend changes nothing")
}

func TestIntentIDReused(t *testing.T) {
	h := newReadyHarness(t)
	p := h.plan("ann", "1", setTeam("linen", 5))
	require.NoError(t, p.Err)
	require.ErrorIs(t, h.plan("ann", "1", setTeam("linen", 6)).Err, ErrIntentReused)
	require.NoError(t, h.plan("bob", "1", setTeam("linen", 6)).Err, "ids are scoped to the operator")
}

func TestPlanExpires(t *testing.T) {
	h := newReadyHarness(t)
	p := h.plan("ann", "1", setTeam("linen", 5))
	h.now = p.Plan.Deadline
	out := h.confirm("ann", p.Plan.ID)
	require.ErrorIs(t, out.Err, ErrExpired)
	h.now = startTime // the clock of another leader is behind; the stored answer doesn't change
	require.ErrorIs(t, h.confirm("ann", p.Plan.ID).Err, ErrExpired)
	require.EqualValues(t, 1, h.state.View().Revision())
}

func TestExpireMarksOpenPlans(t *testing.T) {
	h := newReadyHarness(t)
	p := h.plan("ann", "1", setTeam("linen", 5))
	h.now = h.now.Add(time.Hour)
	h.mustApply(Command{Expire: &Expire{}})
	got, ok := h.state.View().Plan(p.Plan.ID)
	require.True(t, ok)
	require.Equal(t, model.PlanExpired, got.State)
	h.now = h.now.Add(planRetention)
	h.mustApply(Command{Expire: &Expire{}})
	_, ok = h.state.View().Plan(p.Plan.ID)
	require.False(t, ok)
}

func TestDryRunStoresNothing(t *testing.T) {
	h := newReadyHarness(t)
	in := PlanIntent{
		Intent:   model.Intent{ID: "1", Operator: "ann", DryRun: true, Ops: []model.Op{setTeam("linen", 5)}},
		Deadline: h.now.Add(time.Minute),
	}
	before := h.state.View().Counts()
	out := h.mustApply(Command{Plan: &in})
	require.Empty(t, out.Plan.ID)
	require.Equal(t, *out.Plan, DryRun(h.state.View(), in, h.now))
	require.NotEmpty(t, out.Plan.Changes)
	require.Equal(t, before, h.state.View().Counts())
	require.ErrorIs(t, h.confirm("ann", "").Err, ErrNotFound)
	require.NoError(t, h.plan("ann", "1", setTeam("linen", 5)).Err, "the id is free for the real intent")
}

func TestOtherOperatorCannotConfirm(t *testing.T) {
	h := newReadyHarness(t)
	p := h.plan("ann", "1", setTeam("linen", 5))
	out := h.confirm("bob", p.Plan.ID)
	require.ErrorIs(t, out.Err, ErrRefused)
	require.Equal(t, "operator", out.Refusals[0].Field)
}

func TestExplicitBase(t *testing.T) {
	h := newReadyHarness(t)
	h.mustConfirm(setTeam("linen", 2))
	stale := h.planAt("ann", "1", 1, setTeam("linen", 5))
	require.ErrorIs(t, stale.Err, ErrConflict)
	future := h.planAt("ann", "2", 99, setTeam("linen", 5))
	require.ErrorIs(t, future.Err, ErrRefused)
	require.Equal(t, "base", future.Refusals[0].Field)
}

func TestJobsAndWorkersConflictPerObject(t *testing.T) {
	h := newReadyHarness(t)
	ann := h.plan("ann", "1", submit("j1", "linen", 1, true))
	bob := h.plan("bob", "1", submit("j1", "linen", 1, true))
	cid := h.plan("cid", "1", submit("j2", "linen", 1, true))
	dot := h.plan("dot", "1", model.Op{Kind: model.OpCordon, Scope: model.ProximityWorker, Name: "w00"})
	eve := h.plan("eve", "1", model.Op{Kind: model.OpDrain, Scope: model.ProximityRack, Name: "r0"})
	fay := h.plan("fay", "1", model.Op{Kind: model.OpDrain, Scope: model.ProximityRack, Name: "r1"})
	h.mustConfirm(setTeam("linen", 9))
	require.NoError(t, h.confirm("ann", ann.Plan.ID).Err)
	conflicting := h.confirm("bob", bob.Plan.ID)
	require.ErrorIs(t, conflicting.Err, ErrConflict)
	require.Contains(t, conflicting.Err.Error(), ann.Plan.ID)
	require.NoError(t, h.confirm("cid", cid.Plan.ID).Err)
	require.NoError(t, h.confirm("dot", dot.Plan.ID).Err)
	conflicting = h.confirm("eve", eve.Plan.ID)
	require.ErrorIs(t, conflicting.Err, ErrConflict)
	require.Contains(t, conflicting.Err.Error(), dot.Plan.ID)
	require.NoError(t, h.confirm("fay", fay.Plan.ID).Err)
}

func TestConfirmRevalidatesOperations(t *testing.T) {
	h := newReadyHarness(t)
	h.mustConfirm(setTeam("other", 1))
	p := h.plan("ann", "1", submit("j1", "other", 1, true))
	h.mustConfirm(model.Op{Kind: model.OpDropTeam, Name: "other"})
	out := h.confirm("ann", p.Plan.ID)
	require.ErrorIs(t, out.Err, ErrRefused)
	require.Equal(t, "ops[0].job.team", out.Refusals[0].Field)
}

func TestConfirmWithCheckResult(t *testing.T) {
	h := newReadyHarness(t)
	confirm := func(result CheckResult, fleetIndex uint64) Result {
		p := h.plan("ann", time.Duration(h.index).String(), setTeam("linen", 5))
		return h.apply(Command{Confirm: &ConfirmPlan{
			PlanID: p.Plan.ID, Operator: "ann", CheckResult: &result, FleetIndex: fleetIndex,
		}})
	}
	fleetIndex := h.state.View().FleetIndex()
	require.ErrorIs(t, confirm(CheckResult{Preempts: []string{"j9"}}, fleetIndex).Err, ErrConflict)
	require.ErrorIs(t, confirm(CheckResult{Refusals: []model.Refusal{{Field: "x"}}}, fleetIndex).Err, ErrRefused)
	h.mustApply(Command{Mark: &MarkWorker{Name: "w00", Mark: MarkLost}})
	stale := confirm(CheckResult{}, fleetIndex)
	require.ErrorIs(t, stale.Err, ErrSuperseded)
	require.NoError(t, confirm(CheckResult{}, h.state.View().FleetIndex()).Err)
}

func TestRefusalsNameTheField(t *testing.T) {
	huge := shape(1)
	huge.Memory = 1 << 44
	wide := shape(9)
	wide.Proximity = model.ProximityWorker
	submitEdited := func(edit func(*model.Job)) model.Op {
		op := submit("j", "linen", 1, true)
		edit(op.Job)
		return op
	}
	setGuarantees := func(g ...model.Guarantee) model.Op {
		return model.Op{Kind: model.OpSetTeam, Team: &model.Team{Name: "x", Guarantees: g}}
	}
	dropTeam := model.Op{Kind: model.OpDropTeam, Name: "linen"}
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
		"ops[0].team.guarantees[0].count":        {setGuarantees(model.Guarantee{Shape: shape(1)})},
		"ops[0].team.guarantees[0].shape.near":   {setGuarantees(model.Guarantee{Shape: model.Shape{Members: 1, Cores: 1, Memory: 1}, Count: 1})},
		"ops[0].team.guarantees[1].shape.memory": {setGuarantees(model.Guarantee{Shape: shape(1), Count: 1}, model.Guarantee{Shape: model.Shape{Members: 1, Cores: 1, Memory: -1, Proximity: model.ProximityAny}, Count: 1})},
		"ops[0].service.keepdays":                {setService("s", 366)},
		"ops[0].service.limitms":                 {{Kind: model.OpSetService, Service: &model.Service{Name: "s"}}},
		"ops[0].service.teams[0]":                {{Kind: model.OpSetService, Service: &model.Service{Name: "s", LimitMs: 1, Teams: []string{"who"}}}},
		"ops[0].job.shape.members":               {submit("j", "linen", 513, true)},
		"ops[0].job.shape.cores":                 {submitEdited(func(j *model.Job) { j.Shape.Cores = 0 })},
		"ops[0].job.team":                        {submit("j", "who", 1, true)},
		"ops[0].job.id":                          {submit("", "linen", 1, true)},
		"ops[1].job.id":                          {submit("j", "linen", 1, true), submit("j", "linen", 1, true)},
		"ops[0].job.command":                     {submitEdited(func(j *model.Job) { j.Command = "" })},
		"ops[0].job.estimatems":                  {submitEdited(func(j *model.Job) { j.EstimateMs = -1 })},
		"ops[0].job.urgency":                     {submitEdited(func(j *model.Job) { j.Urgency = "now" })},
		"ops[0].job.deadline":                    {submitEdited(func(j *model.Job) { j.Deadline = startTime })},
		"ops[0].job.epoch":                       {submitEdited(func(j *model.Job) { j.Epoch = 3 })},
		"ops[0].name":                            {{Kind: model.OpCancelJob, Name: "who"}},
		"ops[0].scope":                           {{Kind: model.OpDrain, Name: "w00"}},
		"ops[1].name":                            {submit("j", "linen", 1, true), dropTeam},
		"ops[2].job.team":                        {setTeam("y", 1), dropTeam, submit("j", "linen", 1, true)},
	}
	h := newReadyHarness(t)
	for field, ops := range cases {
		out := h.plan("ann", "i"+strings.NewReplacer("[", "-", "]", "-").Replace(field), ops...)
		require.ErrorIs(t, out.Err, ErrRefused, field)
		require.Equal(t, field, out.Refusals[0].Field)
		require.NotEmpty(t, out.Refusals[0].Reason, field)
		require.Equal(t, model.PlanRefused, out.Plan.State)
	}
	tooWide := h.plan("ann", "wide", model.Op{Kind: model.OpSubmitJob, Job: &model.Job{ID: "w", Team: "linen", Shape: wide, Command: "x"}})
	require.Equal(t, "ops[0].job.shape.members", tooWide.Refusals[0].Field)
	require.Contains(t, tooWide.Refusals[0].Reason, "at most 8 such members within one worker")
	oversized := h.plan("ann", "over", setGuarantees(model.Guarantee{Shape: huge, Count: 100_000}))
	require.Equal(t, "ops[0].team.guarantees[0].shape.members", oversized.Refusals[0].Field)
	huge.Members = 512
	oversized = h.plan("ann", "over2", setGuarantees(model.Guarantee{Shape: huge, Count: 100_000}))
	require.Contains(t, oversized.Refusals[0].Reason, "overflow")
}

func TestTeamWithJobsCannotBeDropped(t *testing.T) {
	h := newReadyHarness(t)
	h.mustConfirm(submit("j", "linen", 1, true))
	drop := model.Op{Kind: model.OpDropTeam, Name: "linen"}
	require.ErrorIs(t, h.plan("ann", "1", drop).Err, ErrRefused)
	h.mustConfirm(model.Op{Kind: model.OpCancelJob, Name: "j"})
	require.NoError(t, h.plan("ann", "2", drop).Err)
}

func TestInvalidIntentIDIsNotStored(t *testing.T) {
	h := newReadyHarness(t)
	out := h.plan("", strings.Repeat("x", 129), setTeam("linen", 2))
	require.ErrorIs(t, out.Err, ErrRefused)
	require.Equal(t, "id", out.Refusals[0].Field)
	require.Equal(t, "operator", out.Refusals[1].Field)
	require.Equal(t, 1, h.state.View().Counts().Plans)
}
