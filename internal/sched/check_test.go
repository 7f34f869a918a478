package sched

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func submitOp(modify func(*model.Job)) model.Op {
	j := newGang("new", "linen", newShape(1, 1, model.ProximityWorker), testTime(0))
	modify(&j)
	return model.Op{Kind: model.OpSubmitJob, Job: &j}
}

func teamOp(count int, s model.Shape) model.Op {
	t := teamWithGuarantee("garden", count, s)
	return model.Op{Kind: model.OpSetTeam, Team: &t}
}

// TestCheckRefusesInvalidOps checks that invalid operations are refused, with
// the field and the reason.
func TestCheckRefusesInvalidOps(t *testing.T) {
	tests := map[string]struct {
		op            model.Op
		field, reason string
	}{
		"too many members":               {submitOp(func(j *model.Job) { j.Shape.Members = 513 }), "ops[0].job.shape.members", "between 1 and 512"},
		"no members":                     {submitOp(func(j *model.Job) { j.Shape.Members = 0 }), "ops[0].job.shape.members", "between 1 and 512"},
		"negative accels":                {submitOp(func(j *model.Job) { j.Shape.Accels = -1 }), "ops[0].job.shape.accels", "between 0"},
		"memory overflows":               {submitOp(func(j *model.Job) { j.Shape.Memory = math.MaxInt64 }), "ops[0].job.shape.memory", "between 0"},
		"cores overflow":                 {submitOp(func(j *model.Job) { j.Shape.Cores = math.MaxInt }), "ops[0].job.shape.cores", "between 0"},
		"no resources":                   {submitOp(func(j *model.Job) { j.Shape.Cores, j.Shape.Accels = 0, 0 }), "ops[0].job.shape", "needs cores"},
		"unknown proximity":              {submitOp(func(j *model.Job) { j.Shape.Proximity = "town" }), "ops[0].job.shape.near", "must be"},
		"too many members for the fleet": {submitOp(func(j *model.Job) { j.Shape = newShape(5, 8, model.ProximityDomain) }), "ops[0].job.shape", "more than 4 of the 5 members"},
		"unknown kind":                   {submitOp(func(j *model.Job) { j.Shape.Kind = "z" }), "ops[0].job.shape", "more than 0 of the 1 members"},
		"negative estimate":              {submitOp(func(j *model.Job) { j.EstimateMs = -1 }), "ops[0].job.estimatems", "negative"},
		"unknown team":                   {submitOp(func(j *model.Job) { j.Team = "x" }), "ops[0].job.team", "no team"},
		"id in use":                      {submitOp(func(j *model.Job) { j.ID = "old" }), "ops[0].job.id", "live job"},
		"over the quota":                 {submitOp(func(j *model.Job) { j.Shape = newShape(3, 8, model.ProximityAny) }), "ops[0].job.shape", "quota of 16"},
		"count exceeds the fleet":        {teamOp(9, newShape(1, 8, model.ProximityWorker)), "ops[0].team.guarantees[0].count", "can hold 8 of 9"},
		"count overflows":                {teamOp(math.MaxInt, newShape(1, 8, model.ProximityWorker)), "ops[0].team.guarantees[0].count", "10 workers can hold"},
		"negative count":                 {teamOp(-1, newShape(1, 8, model.ProximityWorker)), "ops[0].team.guarantees[0].count", "negative"},
		"unknown worker":                 {model.Op{Kind: model.OpDrain, Scope: model.ProximityWorker, Name: "x"}, "ops[0].name", "no worker"},
		"unknown job":                    {model.Op{Kind: model.OpCancelJob, Name: "x"}, "ops[0].name", "no live job"},
		"drop unknown team":              {model.Op{Kind: model.OpDropTeam, Name: "x"}, "ops[0].name", "no team"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, Options{}, testFleet()...)
			linen := teamWithGuarantee("linen", 2, newShape(1, 8, model.ProximityWorker))
			linen.Quota = 16
			tc.setTeam(linen)
			tc.setJob(newGang("old", "linen", newShape(1, 1, model.ProximityWorker), tc.now))
			r := tc.s.Check([]model.Op{test.op}, tc.now)
			require.Len(t, r.Refusals, 1)
			require.Equal(t, test.field, r.Refusals[0].Field)
			require.Contains(t, r.Refusals[0].Reason, test.reason)
		})
	}
}

// TestCheckAppliesOpsTogether checks that the operations of one intent are
// checked together, and that the report names the jobs that they stop and the
// guarantees that they affect.
func TestCheckAppliesOpsTogether(t *testing.T) {
	tc := newTestCluster(t, Options{}, testFleet()...)
	tc.setTeam(teamWithGuarantee("linen", 5, newShape(1, 8, model.ProximityWorker)))
	fillFleet(tc, true)
	drain := model.Op{Kind: model.OpDrain, Scope: model.ProximityDomain, Name: "d0"}
	r := tc.s.Check([]model.Op{drain}, tc.now)
	require.Empty(t, r.Refusals)
	require.Len(t, r.PreemptedJobs, 4)
	require.NotEmpty(t, r.AffectedGuarantees)
	r = tc.s.Check([]model.Op{teamOp(2, newShape(1, 8, model.ProximityWorker)), drain}, tc.now)
	require.NotEmpty(t, r.Refusals)
	require.Equal(t, "ops[1].name", r.Refusals[0].Field)
}

// TestQuota checks that a team never uses more accelerators than its quota.
func TestQuota(t *testing.T) {
	tc := newTestCluster(t, Options{}, testFleet()...)
	tc.setTeam(model.Team{Name: "linen", Weight: 1, Quota: 10})
	for _, id := range []string{"a", "b", "c"} {
		tc.setJob(newGang(id, "linen", newShape(1, 4, model.ProximityWorker), tc.now))
	}
	require.Equal(t, 2, countByKind(tc.decide())[Place])
	e := tc.s.Explain("c", tc.now)
	require.Contains(t, e.Reason, "8 of its quota of 10")
	tc.end("a", model.JobDone)
	require.Equal(t, 1, countByKind(tc.decide())[Place])
}
