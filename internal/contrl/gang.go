package contrl

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// prepareTimeout is how long a gang may take to get all its leases. After that it
// is stopped, so that a half-prepared gang doesn't keep workers from other jobs.
const prepareTimeout = 8 * time.Second

// gangInputs holds what gangCommand depends on besides the committed state.
type gangInputs struct {
	now           time.Time
	placedAt      time.Time                // when this leader first saw the gang in its epoch
	leasesExpired func(worker string) bool // reports whether every lease on the worker has expired
}

// gangCommand returns the command for the next state change of a gang, or nil if
// none is due. It is called in every round until the gang has ended, and depends
// only on the committed state and in, so that a new leader continues where the
// former one stopped.
func gangCommand(j state.Job, in gangInputs) *state.Command {
	switch j.State {
	case model.JobPreparing:
		return preparingCommand(j, in)
	case model.JobRunning:
		return runningCommand(j, in)
	case model.JobStopping:
		return stoppingCommand(j, in)
	}
	return nil
}

func preparingCommand(j state.Job, in gangInputs) *state.Command {
	if j.CancelRequested {
		return stopGang(j, "cancelled by an operator")
	}
	if i := slices.IndexFunc(j.MemberStates, state.MemberState.Terminal); i >= 0 {
		return stopGang(j, "a member could not take its lease")
	}
	if allPrepared(j) {
		return &state.Command{Start: &state.StartJob{ID: j.ID, Epoch: j.Epoch}}
	}
	if in.now.Sub(in.placedAt) > prepareTimeout {
		return stopGang(j, "not every lease was taken in time")
	}
	return nil
}

func allPrepared(j state.Job) bool {
	for _, s := range j.MemberStates {
		if s != state.MemberPrepared {
			return false
		}
	}
	return len(j.MemberStates) > 0
}

func runningCommand(j state.Job, in gangInputs) *state.Command {
	done := 0
	for i, s := range j.MemberStates {
		switch {
		case s == state.MemberDone:
			done++
		case s == state.MemberFailed:
			return stopGang(j, "member failed on "+workerOf(j, i))
		case s == state.MemberStopped:
			return stopGang(j, "member was stopped on "+workerOf(j, i))
		case in.leasesExpired(workerOf(j, i)):
			return stopGang(j, "worker lost: "+workerOf(j, i))
		}
	}
	if done == len(j.MemberStates) {
		return endGang(j, model.JobDone, "")
	}
	return nil
}

// stoppingCommand ends a gang once no member can be running: each is in a terminal
// state, or its lease has expired for certain.
func stoppingCommand(j state.Job, in gangInputs) *state.Command {
	expired := false
	for i, s := range j.MemberStates {
		if s.Terminal() {
			continue
		}
		if !in.leasesExpired(workerOf(j, i)) {
			return nil
		}
		expired = true
	}
	cmd := endGang(j, stateAfterStop(j), j.Reason)
	cmd.End.LeasesExpired = expired
	return cmd
}

// stateAfterStop returns the next state of a stopped gang. One that has started is
// queued again only if it is idempotent, since it would run twice.
func stateAfterStop(j state.Job) model.JobState {
	switch {
	case j.CancelRequested:
		return model.JobCancelled
	case j.StartedEpoch == j.Epoch && !j.Idempotent:
		return model.JobFailed
	}
	return model.JobQueued
}

func stopGang(j state.Job, reason string) *state.Command {
	return &state.Command{Stop: &state.StopJob{ID: j.ID, Epoch: j.Epoch, Reason: reason}}
}

func endGang(j state.Job, to model.JobState, reason string) *state.Command {
	return &state.Command{End: &state.EndJob{ID: j.ID, Epoch: j.Epoch, State: to, Reason: reason}}
}

// workerOf returns the worker of a member, or "" if the member has none.
func workerOf(j state.Job, member int) string {
	if member >= len(j.Members) {
		return ""
	}
	return j.Members[member].Worker
}

// advanceGangs commits the next state change of every placed gang.
func (l *leader) advanceGangs(ctx context.Context, v state.View) error {
	now := l.c.env.Clock.Now()
	var g errgroup.Group
	g.SetLimit(maxConcurrentProposals)
	for j := range v.LiveJobs() {
		if j.State == model.JobQueued {
			continue
		}
		in := gangInputs{now: now, placedAt: l.placedAt(j.ID, j.Epoch, now), leasesExpired: l.c.nodes.leasesExpired}
		cmd := gangCommand(*j, in)
		if cmd == nil {
			continue
		}
		g.Go(func() error {
			res, err := l.c.propose(ctx, *cmd)
			l.c.env.Log.Info("gang state change proposed", zap.String("job", j.ID), zap.String("team", j.Team), zap.Uint64("epoch", j.Epoch),
				zap.String("from", string(j.State)), zap.String("reason", commandReason(cmd)), zap.Error(errors.CombineErrors(err, res.Err)))
			return err
		})
	}
	return g.Wait()
}

func commandReason(cmd *state.Command) string {
	switch {
	case cmd.Stop != nil:
		return cmd.Stop.Reason
	case cmd.End != nil:
		return strings.TrimSpace(string(cmd.End.State) + " " + cmd.End.Reason)
	}
	return "all members are prepared"
}
