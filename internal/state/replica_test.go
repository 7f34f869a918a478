package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// drawCommand makes commands about few names, so that they meet each other:
// resends, races, old epochs and old terms all come up.
func drawCommand(t *rapid.T) Command {
	job := rapid.SampledFrom([]string{"j1", "j2"}).Draw(t, "job")
	epoch := rapid.Uint64Range(0, 40).Draw(t, "epoch")
	kind := rapid.IntRange(0, 11).Draw(t, "kind")
	switch kind {
	case 0, 1:
		return Command{Plan: drawPlan(t, job)}
	case 2, 3:
		id := fmt.Sprintf("p%d", rapid.IntRange(1, 40).Draw(t, "plan"))
		return Command{Confirm: &ConfirmPlan{PlanID: id, Operator: drawOperator(t)}}
	case 4:
		return Command{Place: &PlaceJob{ID: job, Members: []model.Member{{Index: 0, Worker: drawWorker(t)}, {Index: 1, Worker: "w01"}}}}
	case 5:
		return Command{Report: &Report{Members: drawReports(t, job, epoch)}}
	case 6:
		return Command{Start: &StartJob{ID: job, Epoch: epoch}}
	case 7:
		return Command{Stop: &StopJob{ID: job, Epoch: epoch, Reason: "r"}}
	case 8:
		s := rapid.SampledFrom([]model.JobState{model.JobQueued, model.JobDone, model.JobFailed}).Draw(t, "end")
		return Command{End: &EndJob{ID: job, Epoch: epoch, State: s, Lapsed: rapid.Bool().Draw(t, "lapsed")}}
	case 9:
		m := rapid.SampledFrom([]Mark{MarkLost, MarkReturned, MarkDrain, MarkUncordon}).Draw(t, "mark")
		return Command{Mark: &MarkWorker{Name: drawWorker(t), Mark: m}}
	case 10:
		return drawClaim(t, epoch)
	}
	return Command{Expire: &Expire{Limit: 2}}
}

func drawOperator(t *rapid.T) string {
	return rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "operator")
}

func drawWorker(t *rapid.T) string {
	return rapid.SampledFrom([]string{"w00", "w01", "w02"}).Draw(t, "worker")
}

func drawPlan(t *rapid.T, job string) *PlanIntent {
	op := rapid.SampledFrom([]model.Op{
		setTeam("linen", 2), setTeam("x", 1),
		{Kind: model.OpDropTeam, Name: "x"},
		setService("rota", 1),
		submit(job, "linen", 2, true), submit(job, "linen", 2, false),
		{Kind: model.OpCancelJob, Name: job},
		{Kind: model.OpDrain, Scope: model.NearRack, Name: "r0"},
	}).Draw(t, "op")
	id := rapid.SampledFrom([]string{"1", "2", "3", "4", "5", "6"}).Draw(t, "id")
	in := model.Intent{ID: id, Operator: drawOperator(t), Ops: []model.Op{op}}
	return &PlanIntent{Intent: in, Deadline: start.Add(24 * time.Hour)}
}

func drawReports(t *rapid.T, job string, epoch uint64) []MemberReport {
	s := rapid.SampledFrom([]MemberState{MemberPrepared, MemberPrepared, MemberRunning, MemberStopped, MemberDone}).Draw(t, "state")
	return []MemberReport{{Job: job, Epoch: epoch, State: s}, {Job: job, Epoch: epoch, Member: 1, State: s}}
}

func drawClaim(t *rapid.T, epoch uint64) Command {
	if rapid.Bool().Draw(t, "settle") {
		s := rapid.SampledFrom([]ClaimState{ClaimNotRun, ClaimUnknown}).Draw(t, "outcome")
		return Command{Settle: &SettleClaim{Team: "linen", Key: "k", Epoch: epoch, State: s}}
	}
	attempt := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "attempt")
	return Command{Claim: &ClaimRequest{Team: "linen", Service: "rota", Key: "k", Body: "h", Entry: "e", Attempt: attempt}}
}

// follow corrects the epochs that a real leader would know.
func follow(t *rapid.T, r *rig, c Command) Command {
	if !rapid.Bool().Draw(t, "current") {
		return c
	}
	v := r.s.View()
	epochOf := func(id string) uint64 {
		j, _ := v.Job(id)
		return j.Epoch
	}
	switch {
	case c.Start != nil:
		c.Start.Epoch = epochOf(c.Start.ID)
	case c.Stop != nil:
		c.Stop.Epoch = epochOf(c.Stop.ID)
	case c.End != nil:
		c.End.Epoch = epochOf(c.End.ID)
	case c.Settle != nil:
		cl, _ := v.Claim("linen", "k")
		c.Settle.Epoch = cl.Epoch
	case c.Report != nil:
		for i := range c.Report.Members {
			c.Report.Members[i].Epoch = epochOf(c.Report.Members[i].Job)
		}
	}
	return c
}

// jobWatch checks what must hold between any two states of the jobs.
type jobWatch struct {
	before map[string]Job
}

func (w *jobWatch) check(t *rapid.T, v View) {
	tasks := map[string]int{}
	for worker := range v.Workers() {
		for _, ref := range worker.Tasks {
			tasks[ref.Job]++
		}
	}
	live := 0
	for j := range v.Jobs() {
		w.checkJob(t, *j, tasks[j.ID])
		w.before[j.ID] = *j
		if !j.State.Ended() {
			live++
		}
	}
	require.Equal(t, live, v.Counts().Live)
}

func (w *jobWatch) checkJob(t *rapid.T, j Job, tasks int) {
	old, had := w.before[j.ID]
	if had && old.Plan == j.Plan && old.State.Ended() {
		require.Equal(t, old.State, j.State, "an ended job stays ended")
	}
	if had {
		require.GreaterOrEqual(t, j.Epoch, old.Epoch)
	}
	if j.Begun != 0 && !j.Idempotent {
		require.NotEqual(t, model.JobQueued, j.State, "a started job that must run once is queued again")
		require.Equal(t, j.Begun, j.Epoch, "a started job that must run once is placed again")
	}
	if j.State == model.JobRunning {
		require.Equal(t, j.Epoch, j.Begun)
	}
	if j.placed() {
		require.Equal(t, len(j.Members), tasks, "every member of a placed job is with a worker")
	} else {
		require.Zero(t, tasks)
	}
}

func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(t)
		r.fleet(3)
		r.carry(setTeam("linen", 1), setService("rota", 2))
		twin := restored(t, r.s)
		watch := jobWatch{before: map[string]Job{}}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := follow(t, r, drawCommand(t))
			c.Now = r.now.Add(time.Duration(r.index) * time.Hour)
			c.Term = rapid.SampledFrom([]uint64{1, 2, 2, 2}).Draw(t, "term")
			b, err := Encode(c)
			require.NoError(t, err)
			r.index++
			one := r.s.Apply(r.index, b).(Result)
			two := twin.Apply(r.index, b).(Result)
			require.Equal(t, fmt.Sprint(one.Err), fmt.Sprint(two.Err))
			one.Err, two.Err = nil, nil
			one.Refused, two.Refused = nil, nil
			require.Equal(t, one, two)
			watch.check(t, r.s.View())
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				twin = restored(t, twin)
			}
		}
		require.Equal(t, string(r.snapshot()), string(snapshotOf(t, twin)))
	})
}
