package state

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func TestGangStartsOnlyWhenAllPrepared(t *testing.T) {
	h := newReadyHarness(t)
	h.mustConfirm(submit("j", "linen", 3, false))
	epoch := h.place("j", 3).Job.Epoch
	h.reportAll("j", epoch, 2, MemberPrepared)
	start := Command{Start: &StartJob{ID: "j", Epoch: epoch}}
	require.ErrorIs(t, h.apply(start).Err, ErrBadState)
	require.Equal(t, model.JobPreparing, h.job("j").State)
	h.reportAll("j", epoch, 3, MemberPrepared)
	require.NoError(t, h.apply(start).Err)
	require.NoError(t, h.apply(start).Err, "a second start has no effect")
	require.Equal(t, model.JobRunning, h.job("j").State)
}

func TestMemberFailuresAreRecorded(t *testing.T) {
	h := newReadyHarness(t)
	for range maxFailures + 1 {
		if _, ok := h.state.View().Job("j"); !ok {
			h.mustConfirm(submit("j", "linen", 2, true))
		}
		epoch := h.place("j", 2).Job.Epoch
		failed := MemberReport{Job: "j", Epoch: epoch, Member: 1, State: MemberFailed, Reason: "no driver"}
		h.mustApply(Command{Report: &Report{Members: []MemberReport{failed, failed}}})
		h.mustApply(Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobQueued, LeasesExpired: true}})
	}
	failures := h.job("j").Failures
	require.Len(t, failures, maxFailures)
	latest := failures[maxFailures-1]
	require.Equal(t, Failure{Worker: "w01", Member: 1, Epoch: h.job("j").Epoch, Time: h.now, Reason: "no driver"}, latest)
}

func TestMemberCannotRunBeforeStart(t *testing.T) {
	h := newReadyHarness(t)
	h.mustConfirm(submit("j", "linen", 2, false))
	epoch := h.place("j", 2).Job.Epoch
	for _, s := range []MemberState{MemberRunning, MemberCheckpointed, MemberDone} {
		out := h.reportAll("j", epoch, 2, s)
		require.Len(t, out.Refused, 2)
		require.ErrorIs(t, out.Refused[0].Err, ErrBadState)
	}
	out := h.reportAll("j", epoch, 3, MemberPrepared)
	require.Len(t, out.Refused, 1)
	require.Equal(t, 2, out.Refused[0].Index, "member index out of range")
}

func TestFailedMemberPreventsStart(t *testing.T) {
	h := newReadyHarness(t)
	h.mustConfirm(submit("j", "linen", 2, false))
	epoch := h.place("j", 2).Job.Epoch
	h.reportAll("j", epoch, 2, MemberPrepared)
	h.mustApply(Command{Report: &Report{Members: []MemberReport{{Job: "j", Epoch: epoch, Member: 1, State: MemberFailed}}}})
	require.ErrorIs(t, h.apply(Command{Start: &StartJob{ID: "j", Epoch: epoch}}).Err, ErrBadState)
}

func TestOldEpochIsFenced(t *testing.T) {
	h := newReadyHarness(t)
	old := h.startJob("j", 2, true)
	h.mustApply(Command{Stop: &StopJob{ID: "j", Epoch: old, Reason: "reclaim"}})
	h.reportAll("j", old, 2, MemberStopped)
	h.mustApply(Command{End: &EndJob{ID: "j", Epoch: old, State: model.JobQueued}})
	current := h.place("j", 2).Job.Epoch
	require.Greater(t, current, old)
	require.Equal(t, h.index, current, "the epoch is the log index, which never repeats even if a job id does")
	require.ErrorIs(t, h.apply(Command{Start: &StartJob{ID: "j", Epoch: old}}).Err, ErrFenced)
	require.ErrorIs(t, h.apply(Command{Stop: &StopJob{ID: "j", Epoch: old}}).Err, ErrFenced)
	require.ErrorIs(t, h.apply(Command{End: &EndJob{ID: "j", Epoch: old, State: model.JobFailed}}).Err, ErrFenced)
	late := h.reportAll("j", old, 2, MemberPrepared)
	require.Len(t, late.Refused, 2)
	require.ErrorIs(t, late.Refused[0].Err, ErrFenced)
	require.Equal(t, []MemberState{MemberUnreported, MemberUnreported}, h.job("j").MemberStates)
}

func TestFormerLeaderIsFenced(t *testing.T) {
	h := newReadyHarness(t)
	h.mustConfirm(submit("j", "linen", 1, false))
	epoch := h.place("j", 1).Job.Epoch
	h.reportAll("j", epoch, 1, MemberPrepared)
	h.term = 2
	h.mustApply(Command{BeginTerm: &BeginTerm{}})
	h.term = 1
	require.ErrorIs(t, h.apply(Command{Start: &StartJob{ID: "j", Epoch: epoch}}).Err, ErrFenced)
	require.Equal(t, model.JobPreparing, h.job("j").State)
}

func TestStartedNonIdempotentJobIsNotRequeued(t *testing.T) {
	h := newReadyHarness(t)
	epoch := h.startJob("once", 1, false)
	h.mustApply(Command{Stop: &StopJob{ID: "once", Epoch: epoch, Reason: "lost"}})
	requeue := Command{End: &EndJob{ID: "once", Epoch: epoch, State: model.JobQueued, LeasesExpired: true}}
	require.ErrorIs(t, h.apply(requeue).Err, ErrBadState)
	h.mustApply(Command{End: &EndJob{ID: "once", Epoch: epoch, State: model.JobFailed, LeasesExpired: true}})

	h.mustConfirm(submit("never", "linen", 1, false))
	epoch = h.place("never", 1).Job.Epoch
	h.reportAll("never", epoch, 1, MemberStopped)
	h.mustApply(Command{End: &EndJob{ID: "never", Epoch: epoch, State: model.JobQueued}})
	require.Equal(t, model.JobQueued, h.job("never").State, "a job that was never started may be queued again")
}

func TestEndRequiresStoppedMembers(t *testing.T) {
	h := newReadyHarness(t)
	epoch := h.startJob("j", 2, true)
	end := EndJob{ID: "j", Epoch: epoch, State: model.JobQueued}
	h.reportAll("j", epoch, 2, MemberCheckpointed)
	require.ErrorIs(t, h.apply(Command{End: &end}).Err, ErrBadState, "a checkpointed member may still run")
	end.LeasesExpired = true
	require.NoError(t, h.apply(Command{End: &end}).Err)
	require.Equal(t, model.JobQueued, h.job("j").State)
}

func TestDoneRequiresAllMembersDone(t *testing.T) {
	h := newReadyHarness(t)
	epoch := h.startJob("j", 2, true)
	done := Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobDone}}
	h.reportAll("j", epoch, 1, MemberDone)
	require.ErrorIs(t, h.apply(done).Err, ErrBadState)
	expired := Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobDone, LeasesExpired: true}}
	require.ErrorIs(t, h.apply(expired).Err, ErrBadState, "a member whose lease expired isn't done")
	h.reportAll("j", epoch, 2, MemberDone)
	h.reportAll("j", epoch, 2, MemberRunning)
	require.NoError(t, h.apply(done).Err, "a late report doesn't revert a member's state")
	require.ErrorIs(t, h.apply(done).Err, ErrBadState)
	for w := range h.state.View().Workers() {
		require.Empty(t, w.Tasks)
	}
}

func TestCancelledJobIsNotRequeued(t *testing.T) {
	h := newReadyHarness(t)
	epoch := h.startJob("j", 1, true)
	h.mustConfirm(model.Op{Kind: model.OpCancelJob, Name: "j"})
	require.Equal(t, model.JobStopping, h.job("j").State)
	h.reportAll("j", epoch, 1, MemberStopped)
	require.ErrorIs(t, h.apply(Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobQueued}}).Err, ErrBadState)
	h.mustApply(Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobCancelled}})
}

func TestPlacementIsChecked(t *testing.T) {
	h := newReadyHarness(t)
	h.mustConfirm(submit("j", "linen", 2, true))
	require.ErrorIs(t, h.place("j", 1).Err, ErrRefused)
	require.ErrorIs(t, h.place("who", 1).Err, ErrNotFound)
	h.mustApply(Command{Mark: &MarkWorker{Name: "w01", Mark: MarkQuarantine}})
	require.ErrorContains(t, h.place("j", 2).Err, `members[1].worker: "w01" is not ready`)
	fleetIndex := h.state.View().FleetIndex()
	h.mustApply(Command{Mark: &MarkWorker{Name: "w01", Mark: MarkReleased}})
	h.mustApply(Command{Mark: &MarkWorker{Name: "w05", Mark: MarkLost}})
	members := []model.Member{{Index: 0, Worker: "w00"}, {Index: 1, Worker: "w01"}}
	out := h.apply(Command{Place: &PlaceJob{ID: "j", Members: members, FleetIndex: fleetIndex}})
	require.ErrorIs(t, out.Err, ErrSuperseded)
	fleetIndex = h.state.View().FleetIndex()
	require.NoError(t, h.place("j", 2).Err)
	require.ErrorIs(t, h.place("j", 2).Err, ErrBadState)
	h.mustConfirm(submit("j2", "linen", 1, true))
	out = h.apply(Command{Place: &PlaceJob{ID: "j2", Members: members[:1], FleetIndex: fleetIndex}})
	require.ErrorIs(t, out.Err, ErrSuperseded, "a placement reduces capacity")
}

func TestWorkersAreNotOverbooked(t *testing.T) {
	h := newReadyHarness(t)
	placeOn := func(id string, workers ...string) error {
		var placement []model.Member
		for i, w := range workers {
			placement = append(placement, model.Member{Index: i, Worker: w})
		}
		return h.apply(Command{Place: &PlaceJob{ID: id, Members: placement}}).Err
	}
	submitJob := func(id string, members, accels int, kind string) {
		op := submit(id, "linen", members, true)
		op.Job.Shape.Accels, op.Job.Shape.Kind = accels, kind
		h.mustConfirm(op)
	}
	submitJob("a", 2, 5, "a")
	require.ErrorContains(t, placeOn("a", "w00", "w00"), `members[1].worker: "w00" has no room`)
	require.NoError(t, placeOn("a", "w00", "w01"))
	submitJob("b", 1, 4, "")
	require.ErrorIs(t, placeOn("b", "w00"), ErrRefused)
	epoch := h.job("a").Epoch
	h.mustApply(Command{Stop: &StopJob{ID: "a", Epoch: epoch}})
	require.ErrorIs(t, placeOn("b", "w00"), ErrRefused, "a stopping job still uses its accelerators")
	h.mustApply(Command{End: &EndJob{ID: "a", Epoch: epoch, State: model.JobFailed, LeasesExpired: true}})
	require.NoError(t, placeOn("b", "w00"))
}

func TestAssignmentsContainOnlyChanges(t *testing.T) {
	h := newReadyHarness(t)
	epoch := h.startJob("j1", 1, true)
	first, ok := h.state.View().Assignments("w00", 0)
	require.True(t, ok)
	require.Equal(t, []Task{{TaskRef: TaskRef{Job: "j1"}, Epoch: epoch, Phase: PhaseRun, Command: "render j1"}}, first.Changed)

	_, ok = h.state.View().Assignments("w00", first.Version)
	require.False(t, ok, "nothing changed")
	h.startJob("j2", 2, true)
	second, ok := h.state.View().Assignments("w00", first.Version)
	require.True(t, ok)
	require.Equal(t, []TaskRef{{Job: "j1"}, {Job: "j2"}}, second.Assigned)
	require.Len(t, second.Changed, 1)
	require.Equal(t, "j2", second.Changed[0].Job)

	h.mustApply(Command{End: &EndJob{ID: "j1", Epoch: epoch, State: model.JobFailed, LeasesExpired: true}})
	third, ok := h.state.View().Assignments("w00", second.Version)
	require.True(t, ok)
	require.Equal(t, []TaskRef{{Job: "j2"}}, third.Assigned)
	require.Empty(t, third.Changed)
	full, ok := h.state.View().Assignments("w00", 1<<40)
	require.True(t, ok)
	require.Len(t, full.Changed, 1, "a version that was never reached gets all tasks")
}

func TestWorkerMarksAndListing(t *testing.T) {
	h := newReadyHarness(t)
	mark := func(m Mark) model.WorkerState {
		h.mustApply(Command{Mark: &MarkWorker{Name: "w00", Mark: m}})
		w, _ := h.state.View().Worker("w00")
		return w.State
	}
	require.Equal(t, model.WorkerCordoned, mark(MarkCordon))
	require.Equal(t, model.WorkerQuarantine, mark(MarkQuarantine))
	require.Equal(t, model.WorkerLost, mark(MarkLost))
	require.Equal(t, model.WorkerLost, mark(MarkCordon))
	require.Equal(t, model.WorkerQuarantine, mark(MarkReturned))
	require.Equal(t, model.WorkerCordoned, mark(MarkReleased))
	require.Equal(t, model.WorkerReady, mark(MarkUncordon))

	epoch := h.startJob("j", 1, true)
	h.mustApply(Command{Workers: &SetWorkers{Drop: []string{"w00", "w05"}}})
	w, ok := h.state.View().Worker("w00")
	require.True(t, ok, "kept until its task ends")
	require.Equal(t, model.WorkerLost, w.State)
	_, ok = h.state.View().Worker("w05")
	require.False(t, ok)
	h.mustApply(Command{End: &EndJob{ID: "j", Epoch: epoch, State: model.JobFailed, LeasesExpired: true}})
	_, ok = h.state.View().Worker("w00")
	require.False(t, ok)
}

func TestInvalidWorkerDoesNotBlockOthers(t *testing.T) {
	h := newHarness(t)
	valid := model.Worker{Name: "g", Rack: "r", Domain: "d", Region: "x", Cores: 1, Memory: 1, Speed: 1}
	invalid := valid
	invalid.Name, invalid.Cores = "b", 0
	out := h.apply(Command{Workers: &SetWorkers{Set: []model.Worker{invalid, valid}}})
	require.ErrorIs(t, out.Err, ErrRefused)
	require.Equal(t, "set[0].cores", out.Refusals[0].Field)
	names := slices.Collect(func(yield func(string) bool) {
		for w := range h.state.View().Workers() {
			yield(w.Name)
		}
	})
	require.Equal(t, []string{"g"}, names)
}

func TestEndedJobsExpireInBatches(t *testing.T) {
	h := newReadyHarness(t)
	for _, id := range []string{"a", "b", "c"} {
		epoch := h.startJob(id, 1, true)
		h.mustApply(Command{End: &EndJob{ID: id, Epoch: epoch, State: model.JobFailed, LeasesExpired: true}})
	}
	h.now = h.now.Add(jobRetention - time.Second)
	h.mustApply(Command{Expire: &Expire{}})
	require.Equal(t, 3, h.state.View().Counts().Jobs)
	h.now = h.now.Add(time.Second)
	out := h.mustApply(Command{Expire: &Expire{Limit: 2}})
	require.Equal(t, 2, out.Expired)
	require.True(t, out.More)
	out = h.mustApply(Command{Expire: &Expire{Limit: 2}})
	require.Equal(t, 1, out.Expired)
	require.False(t, out.More)
	require.ErrorIs(t, h.apply(Command{Expire: &Expire{Limit: -1}}).Err, ErrBadCommand)
}
