package sched

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func submitOp(change func(*model.Job)) model.Op {
	j := gang("new", "linen", shape(1, 1, model.NearWorker), at(0))
	change(&j)
	return model.Op{Kind: model.OpSubmitJob, Job: &j}
}

func teamOp(count int, s model.Shape) model.Op {
	t := holding("garden", count, s)
	return model.Op{Kind: model.OpSetTeam, Team: &t}
}

// TestRefusals checks that invalid operations are refused, with the field and the
// reason.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		op            model.Op
		field, reason string
	}{
		"too many members": {submitOp(func(j *model.Job) { j.Shape.Members = 513 }), "ops[0].job.shape.members", "between 1 and 512"},
		"no members":       {submitOp(func(j *model.Job) { j.Shape.Members = 0 }), "ops[0].job.shape.members", "between 1 and 512"},
		"negative accels":  {submitOp(func(j *model.Job) { j.Shape.Accels = -1 }), "ops[0].job.shape.accels", "between 0"},
		"memory overflows": {submitOp(func(j *model.Job) { j.Shape.Memory = math.MaxInt64 }), "ops[0].job.shape.memory", "between 0"},
		"cores overflow":   {submitOp(func(j *model.Job) { j.Shape.Cores = math.MaxInt }), "ops[0].job.shape.cores", "between 0"},
		"needs nothing":    {submitOp(func(j *model.Job) { j.Shape.Cores, j.Shape.Accels = 0, 0 }), "ops[0].job.shape", "needs cores"},
		"no such level":    {submitOp(func(j *model.Job) { j.Shape.Near = "town" }), "ops[0].job.shape.near", "must be"},
		"too wide":         {submitOp(func(j *model.Job) { j.Shape = shape(5, 8, model.NearDomain) }), "ops[0].job.shape", "more than 4 of the 5 members"},
		"no such kind":     {submitOp(func(j *model.Job) { j.Shape.Kind = "z" }), "ops[0].job.shape", "more than 0 of the 1 members"},
		"negative time":    {submitOp(func(j *model.Job) { j.EstimateMs = -1 }), "ops[0].job.estimatems", "negative"},
		"no such team":     {submitOp(func(j *model.Job) { j.Team = "x" }), "ops[0].job.team", "no team"},
		"live id":          {submitOp(func(j *model.Job) { j.ID = "old" }), "ops[0].job.id", "live job"},
		"over the quota":   {submitOp(func(j *model.Job) { j.Shape = shape(3, 8, model.NearAny) }), "ops[0].job.shape", "quota of 16"},
		"above the fleet":  {teamOp(9, shape(1, 8, model.NearWorker)), "ops[0].team.guarantees[0].count", "can hold 8 of 9"},
		"far above":        {teamOp(math.MaxInt, shape(1, 8, model.NearWorker)), "ops[0].team.guarantees[0].count", "10 workers can hold"},
		"negative count":   {teamOp(-1, shape(1, 8, model.NearWorker)), "ops[0].team.guarantees[0].count", "negative"},
		"no such worker":   {model.Op{Kind: model.OpDrain, Scope: model.NearWorker, Name: "x"}, "ops[0].name", "no worker"},
		"no such job":      {model.Op{Kind: model.OpCancelJob, Name: "x"}, "ops[0].name", "no live job"},
		"drop no team":     {model.Op{Kind: model.OpDropTeam, Name: "x"}, "ops[0].name", "no team"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, Options{}, todays()...)
			linen := holding("linen", 2, shape(1, 8, model.NearWorker))
			linen.Quota = 16
			w.setTeam(linen)
			w.setJob(gang("old", "linen", shape(1, 1, model.NearWorker), w.now))
			r := w.s.Check([]model.Op{test.op}, w.now)
			require.Len(t, r.Refusals, 1)
			require.Equal(t, test.field, r.Refusals[0].Field)
			require.Contains(t, r.Refusals[0].Reason, test.reason)
		})
	}
}

// TestPlansAddUp checks that the operations of one intent are checked together, and
// that the report names the jobs that they stop and the guarantees that they affect.
func TestPlansAddUp(t *testing.T) {
	w := newWorld(t, Options{}, todays()...)
	w.setTeam(holding("linen", 5, shape(1, 8, model.NearWorker)))
	fillBorrowed(w, true)
	drain := model.Op{Kind: model.OpDrain, Scope: model.NearDomain, Name: "d0"}
	r := w.s.Check([]model.Op{drain}, w.now)
	require.Empty(t, r.Refusals)
	require.Len(t, r.Preempts, 4)
	require.NotEmpty(t, r.Touches)
	r = w.s.Check([]model.Op{teamOp(2, shape(1, 8, model.NearWorker)), drain}, w.now)
	require.NotEmpty(t, r.Refusals)
	require.Equal(t, "ops[1].name", r.Refusals[0].Field)
}

// TestQuota checks that a team never uses more accelerators than its quota.
func TestQuota(t *testing.T) {
	w := newWorld(t, Options{}, todays()...)
	w.setTeam(model.Team{Name: "linen", Weight: 1, Quota: 10})
	for _, id := range []string{"a", "b", "c"} {
		w.setJob(gang(id, "linen", shape(1, 4, model.NearWorker), w.now))
	}
	require.Equal(t, 2, kinds(w.decide())[Place])
	e := w.s.Explain("c", w.now)
	require.Contains(t, e.Reason, "8 of its quota of 10")
	w.end("a", model.JobDone)
	require.Equal(t, 1, kinds(w.decide())[Place])
}
