package state

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func TestGangStartsOnlyWhole(t *testing.T) {
	r := ready(t)
	r.carry(submit("j", "linen", 3, false))
	epoch := r.place("j", 3).Job.Epoch
	r.report("j", epoch, 2, MemberPrepared)
	start := Command{Start: &StartJob{ID: "j", Epoch: epoch}}
	require.ErrorIs(t, r.apply(start).Err, ErrBadState)
	require.Equal(t, model.JobPreparing, r.job("j").State)
	r.report("j", epoch, 3, MemberPrepared)
	require.NoError(t, r.apply(start).Err)
	require.NoError(t, r.apply(start).Err, "a second start has no effect")
	require.Equal(t, model.JobRunning, r.job("j").State)
}

func TestFaultsAreChargedToWorkerAndJob(t *testing.T) {
	r := ready(t)
	for range maxFailures + 1 {
		if _, ok := r.s.View().Job("j"); !ok {
			r.carry(submit("j", "linen", 2, true))
		}
		epoch := r.place("j", 2).Job.Epoch
		failed := MemberReport{Job: "j", Epoch: epoch, Member: 1, State: MemberFailed, Reason: "no driver"}
		r.must(Command{Report: &Report{Members: []MemberReport{failed, failed}}})
		r.must(Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobQueued, Lapsed: true}})
	}
	faults := r.job("j").Faults
	require.Len(t, faults, maxFailures)
	last := faults[maxFailures-1]
	require.Equal(t, Fault{Worker: "w01", Member: 1, Epoch: r.job("j").Epoch, Time: r.now, Reason: "no driver"}, last)
}

func TestNoMemberRunsBeforeTheStart(t *testing.T) {
	r := ready(t)
	r.carry(submit("j", "linen", 2, false))
	epoch := r.place("j", 2).Job.Epoch
	for _, s := range []MemberState{MemberRunning, MemberCheckpointed, MemberDone} {
		out := r.report("j", epoch, 2, s)
		require.Len(t, out.Refused, 2)
		require.ErrorIs(t, out.Refused[0].Err, ErrBadState)
	}
	out := r.report("j", epoch, 3, MemberPrepared)
	require.Len(t, out.Refused, 1)
	require.Equal(t, 2, out.Refused[0].At, "member index out of range")
}

func TestFailedMemberKeepsGangFromStarting(t *testing.T) {
	r := ready(t)
	r.carry(submit("j", "linen", 2, false))
	epoch := r.place("j", 2).Job.Epoch
	r.report("j", epoch, 2, MemberPrepared)
	r.must(Command{Report: &Report{Members: []MemberReport{{Job: "j", Epoch: epoch, Member: 1, State: MemberFailed}}}})
	require.ErrorIs(t, r.apply(Command{Start: &StartJob{ID: "j", Epoch: epoch}}).Err, ErrBadState)
}

func TestOldEpochIsFenced(t *testing.T) {
	r := ready(t)
	old := r.running("j", 2, true)
	r.must(Command{Stop: &StopJob{ID: "j", Epoch: old, Reason: "reclaim"}})
	r.report("j", old, 2, MemberStopped)
	r.must(Command{End: &EndJob{ID: "j", Epoch: old, State: model.JobQueued}})
	fresh := r.place("j", 2).Job.Epoch
	require.Greater(t, fresh, old)
	require.Equal(t, r.index, fresh, "the epoch is the log index, which never repeats even if a job id does")
	require.ErrorIs(t, r.apply(Command{Start: &StartJob{ID: "j", Epoch: old}}).Err, ErrFenced)
	require.ErrorIs(t, r.apply(Command{Stop: &StopJob{ID: "j", Epoch: old}}).Err, ErrFenced)
	require.ErrorIs(t, r.apply(Command{End: &EndJob{ID: "j", Epoch: old, State: model.JobFailed}}).Err, ErrFenced)
	late := r.report("j", old, 2, MemberPrepared)
	require.Len(t, late.Refused, 2)
	require.ErrorIs(t, late.Refused[0].Err, ErrFenced)
	require.Equal(t, []MemberState{MemberNone, MemberNone}, r.job("j").Status)
}

func TestFormerLeaderIsFenced(t *testing.T) {
	r := ready(t)
	r.carry(submit("j", "linen", 1, false))
	epoch := r.place("j", 1).Job.Epoch
	r.report("j", epoch, 1, MemberPrepared)
	r.term = 2
	r.must(Command{Lead: &Lead{}})
	r.term = 1
	require.ErrorIs(t, r.apply(Command{Start: &StartJob{ID: "j", Epoch: epoch}}).Err, ErrFenced)
	require.Equal(t, model.JobPreparing, r.job("j").State)
}

func TestNonIdempotentJobNeverQueuedAgain(t *testing.T) {
	r := ready(t)
	epoch := r.running("once", 1, false)
	r.must(Command{Stop: &StopJob{ID: "once", Epoch: epoch, Reason: "lost"}})
	again := Command{End: &EndJob{ID: "once", Epoch: epoch, State: model.JobQueued, Lapsed: true}}
	require.ErrorIs(t, r.apply(again).Err, ErrBadState)
	r.must(Command{End: &EndJob{ID: "once", Epoch: epoch, State: model.JobFailed, Lapsed: true}})

	r.carry(submit("never", "linen", 1, false))
	epoch = r.place("never", 1).Job.Epoch
	r.report("never", epoch, 1, MemberStopped)
	r.must(Command{End: &EndJob{ID: "never", Epoch: epoch, State: model.JobQueued}})
	require.Equal(t, model.JobQueued, r.job("never").State, "a job that was never started may be queued again")
}

func TestEndNeedsMembersAtRest(t *testing.T) {
	r := ready(t)
	epoch := r.running("j", 2, true)
	end := EndJob{ID: "j", Epoch: epoch, State: model.JobQueued}
	r.report("j", epoch, 2, MemberCheckpointed)
	require.ErrorIs(t, r.apply(Command{End: &end}).Err, ErrBadState, "a checkpointed member may still run")
	end.Lapsed = true
	require.NoError(t, r.apply(Command{End: &end}).Err)
	require.Equal(t, model.JobQueued, r.job("j").State)
}

func TestDoneNeedsEveryMemberDone(t *testing.T) {
	r := ready(t)
	epoch := r.running("j", 2, true)
	done := Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobDone}}
	r.report("j", epoch, 1, MemberDone)
	require.ErrorIs(t, r.apply(done).Err, ErrBadState)
	lapsed := Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobDone, Lapsed: true}}
	require.ErrorIs(t, r.apply(lapsed).Err, ErrBadState, "a member whose lease expired isn't done")
	r.report("j", epoch, 2, MemberDone)
	r.report("j", epoch, 2, MemberRunning)
	require.NoError(t, r.apply(done).Err, "a late report doesn't revert a member's state")
	require.ErrorIs(t, r.apply(done).Err, ErrBadState)
	for w := range r.s.View().Workers() {
		require.Empty(t, w.Tasks)
	}
}

func TestCancelledJobNeverQueuedAgain(t *testing.T) {
	r := ready(t)
	epoch := r.running("j", 1, true)
	r.carry(model.Op{Kind: model.OpCancelJob, Name: "j"})
	require.Equal(t, model.JobStopping, r.job("j").State)
	r.report("j", epoch, 1, MemberStopped)
	require.ErrorIs(t, r.apply(Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobQueued}}).Err, ErrBadState)
	r.must(Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobCancelled}})
}

func TestPlacementIsChecked(t *testing.T) {
	r := ready(t)
	r.carry(submit("j", "linen", 2, true))
	require.ErrorIs(t, r.place("j", 1).Err, ErrRefused)
	require.ErrorIs(t, r.place("who", 1).Err, ErrNotFound)
	r.must(Command{Mark: &MarkWorker{Name: "w01", Mark: MarkQuarantine}})
	require.ErrorContains(t, r.place("j", 2).Err, `members[1].worker: "w01" is not ready`)
	seen := r.s.View().Fleet()
	r.must(Command{Mark: &MarkWorker{Name: "w01", Mark: MarkReleased}})
	r.must(Command{Mark: &MarkWorker{Name: "w05", Mark: MarkLost}})
	members := []model.Member{{Index: 0, Worker: "w00"}, {Index: 1, Worker: "w01"}}
	out := r.apply(Command{Place: &PlaceJob{ID: "j", Members: members, Seen: seen}})
	require.ErrorIs(t, out.Err, ErrSuperseded)
	seen = r.s.View().Fleet()
	require.NoError(t, r.place("j", 2).Err)
	require.ErrorIs(t, r.place("j", 2).Err, ErrBadState)
	r.carry(submit("j2", "linen", 1, true))
	out = r.apply(Command{Place: &PlaceJob{ID: "j2", Members: members[:1], Seen: seen}})
	require.ErrorIs(t, out.Err, ErrSuperseded, "a placement reduces capacity")
}

func TestWorkersAreNotOverbooked(t *testing.T) {
	r := ready(t)
	on := func(id string, workers ...string) error {
		var m []model.Member
		for i, w := range workers {
			m = append(m, model.Member{Index: i, Worker: w})
		}
		return r.apply(Command{Place: &PlaceJob{ID: id, Members: m}}).Err
	}
	big := func(id string, members, accels int, kind string) {
		op := submit(id, "linen", members, true)
		op.Job.Shape.Accels, op.Job.Shape.Kind = accels, kind
		r.carry(op)
	}
	big("a", 2, 5, "a")
	require.ErrorContains(t, on("a", "w00", "w00"), `members[1].worker: "w00" has no room`)
	require.NoError(t, on("a", "w00", "w01"))
	big("b", 1, 4, "")
	require.ErrorIs(t, on("b", "w00"), ErrRefused)
	epoch := r.job("a").Epoch
	r.must(Command{Stop: &StopJob{ID: "a", Epoch: epoch}})
	require.ErrorIs(t, on("b", "w00"), ErrRefused, "a stopping job still uses its accelerators")
	r.must(Command{End: &EndJob{ID: "a", Epoch: epoch, State: model.JobFailed, Lapsed: true}})
	require.NoError(t, on("b", "w00"))
}

func TestAssignmentsCarryChangesOnly(t *testing.T) {
	r := ready(t)
	one := r.running("j1", 1, true)
	a, ok := r.s.View().Assignments("w00", 0)
	require.True(t, ok)
	require.Equal(t, []Task{{TaskRef: TaskRef{Job: "j1"}, Epoch: one, Phase: PhaseRun, Command: "render j1"}}, a.Changed)

	_, ok = r.s.View().Assignments("w00", a.Version)
	require.False(t, ok, "nothing changed")
	r.running("j2", 2, true)
	b, ok := r.s.View().Assignments("w00", a.Version)
	require.True(t, ok)
	require.Equal(t, []TaskRef{{Job: "j1"}, {Job: "j2"}}, b.Held)
	require.Len(t, b.Changed, 1)
	require.Equal(t, "j2", b.Changed[0].Job)

	r.must(Command{End: &EndJob{ID: "j1", Epoch: one, State: model.JobFailed, Lapsed: true}})
	c, ok := r.s.View().Assignments("w00", b.Version)
	require.True(t, ok)
	require.Equal(t, []TaskRef{{Job: "j2"}}, c.Held)
	require.Empty(t, c.Changed)
	full, ok := r.s.View().Assignments("w00", 1<<40)
	require.True(t, ok)
	require.Len(t, full.Changed, 1, "a version that was never reached gets all tasks")
}

func TestWorkerMarksAndListing(t *testing.T) {
	r := ready(t)
	mark := func(m Mark) model.WorkerState {
		r.must(Command{Mark: &MarkWorker{Name: "w00", Mark: m}})
		w, _ := r.s.View().Worker("w00")
		return w.State
	}
	require.Equal(t, model.WorkerCordoned, mark(MarkCordon))
	require.Equal(t, model.WorkerQuarantine, mark(MarkQuarantine))
	require.Equal(t, model.WorkerLost, mark(MarkLost))
	require.Equal(t, model.WorkerLost, mark(MarkCordon))
	require.Equal(t, model.WorkerQuarantine, mark(MarkReturned))
	require.Equal(t, model.WorkerCordoned, mark(MarkReleased))
	require.Equal(t, model.WorkerReady, mark(MarkUncordon))

	epoch := r.running("j", 1, true)
	r.must(Command{Workers: &SetWorkers{Drop: []string{"w00", "w05"}}})
	w, ok := r.s.View().Worker("w00")
	require.True(t, ok, "kept until its task ends")
	require.Equal(t, model.WorkerLost, w.State)
	_, ok = r.s.View().Worker("w05")
	require.False(t, ok)
	r.must(Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobFailed, Lapsed: true}})
	_, ok = r.s.View().Worker("w00")
	require.False(t, ok)
}

func TestBadWorkerDoesNotHideTheRest(t *testing.T) {
	r := newRig(t)
	good := model.Worker{Name: "g", Rack: "r", Domain: "d", Region: "x", Cores: 1, Memory: 1, Speed: 1}
	bad := good
	bad.Name, bad.Cores = "b", 0
	out := r.apply(Command{Workers: &SetWorkers{Set: []model.Worker{bad, good}}})
	require.ErrorIs(t, out.Err, ErrRefused)
	require.Equal(t, "set[0].cores", out.Refusals[0].Field)
	names := slices.Collect(func(yield func(string) bool) {
		for w := range r.s.View().Workers() {
			yield(w.Name)
		}
	})
	require.Equal(t, []string{"g"}, names)
}

func TestEndedJobsExpireInBatches(t *testing.T) {
	r := ready(t)
	for _, id := range []string{"a", "b", "c"} {
		epoch := r.running(id, 1, true)
		r.must(Command{End: &EndJob{ID: id, Epoch: epoch, State: model.JobFailed, Lapsed: true}})
	}
	r.now = r.now.Add(jobRetention - time.Second)
	r.must(Command{Expire: &Expire{}})
	require.Equal(t, 3, r.s.View().Counts().Jobs)
	r.now = r.now.Add(time.Second)
	out := r.must(Command{Expire: &Expire{Limit: 2}})
	require.Equal(t, 2, out.Expired)
	require.True(t, out.More)
	out = r.must(Command{Expire: &Expire{Limit: 2}})
	require.Equal(t, 1, out.Expired)
	require.False(t, out.More)
	require.ErrorIs(t, r.apply(Command{Expire: &Expire{Limit: -1}}).Err, ErrBadCommand)
}
