package contrl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/platf"
	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	platformTimeout   = 3 * time.Second
	probeTimeout      = 10 * time.Second
	probePollInterval = 200 * time.Millisecond
	probeCommand      = "sleep 100ms"
)

// refreshFleet reads the platform's list of workers and commits its changes.
func (l *leader) refreshFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	listed, err := l.c.platform.Workers(ctx)
	if err != nil {
		l.c.env.Log.Warn("could not list the workers of the platform", zap.Error(err))
		return
	}
	cmd := fleetDiff(l.c.state.View(), listed)
	if len(cmd.Set) == 0 && len(cmd.Drop) == 0 {
		return
	}
	res, err := l.c.propose(ctx, state.Command{Workers: cmd})
	if err == nil {
		err = res.Err
	}
	l.c.env.Log.Info("fleet changed", zap.Int("set", len(cmd.Set)), zap.Int("dropped", len(cmd.Drop)), zap.Error(err))
}

// fleetDiff returns the difference between the platform's list of workers and
// the committed one.
func fleetDiff(v state.View, listed []model.Worker) *state.SetWorkers {
	cmd := &state.SetWorkers{}
	isListed := make(map[string]bool, len(listed))
	for _, w := range listed {
		isListed[w.Name] = true
		old, ok := v.Worker(w.Name)
		if !ok || old.Unlisted || old.WithState("") != w.WithState("") {
			cmd.Set = append(cmd.Set, w.WithState(model.WorkerReady))
		}
	}
	for w := range v.Workers() {
		if !isListed[w.Name] && !w.Unlisted {
			cmd.Drop = append(cmd.Drop, w.Name)
		}
	}
	return cmd
}

// markLostWorkers marks the workers as lost whose agents have not been heard from
// for longer than any of their leases lasts, and as returned those that have
// been heard from again.
func (l *leader) markLostWorkers(ctx context.Context, v state.View) error {
	for w := range v.Workers() {
		lost := l.c.nodes.leasesExpired(w.Name)
		if lost == w.Lost {
			continue
		}
		mark := state.MarkLost
		if !lost {
			mark = state.MarkReturned
		}
		res, err := l.c.propose(ctx, state.Command{Mark: &state.MarkWorker{Name: w.Name, Mark: mark}})
		if err != nil {
			return err
		}
		l.c.env.Log.Warn("worker's heartbeat", zap.String("worker", w.Name), zap.String("mark", string(mark)), zap.Error(res.Err))
	}
	return nil
}

// probe runs a short task on a worker in quarantine and gives the scheduler the
// result.
func (l *leader) probe(ctx context.Context, worker string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ok := l.c.platform != nil && l.runProbeTask(ctx, worker)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sched.ProbeResult(worker, ok, l.c.env.Clock.Now())
	return nil
}

// runProbeTask reports whether a short task succeeded on the worker.
func (l *leader) runProbeTask(ctx context.Context, worker string) bool {
	task, err := l.holdForProbe(ctx, worker)
	if err != nil {
		return false
	}
	if _, err := l.c.platform.Start(ctx, task.ID, platf.StartRequest{Epoch: task.Epoch, Command: probeCommand}); err != nil {
		return false
	}
	t := time.NewTicker(probePollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		if st := l.probeState(ctx, worker, task.ID); !st.Live() {
			return st == platf.TaskDone
		}
	}
}

// holdForProbe takes a lease for a probe task. The epochs of a worker's probes follow the highest that the
// platform has seen; earlier releases used the time of day, which may be set back.
func (l *leader) holdForProbe(ctx context.Context, worker string) (platf.Task, error) {
	req := platf.HoldRequest{
		Worker: worker, Job: wire.ProbePrefix + worker, Epoch: l.term, Cores: 1, Deadline: l.c.env.Clock.Now().Add(probeTimeout),
	}
	task, err := l.c.platform.Hold(ctx, req)
	var refusal *platf.Refusal
	if errors.As(err, &refusal) && refusal.Code == platf.CodeFenced {
		req.Epoch = refusal.Epoch + 1
		task, err = l.c.platform.Hold(ctx, req)
	}
	return task, errors.Wrap(err, "hold for a probe")
}

// probeState returns the state of the task. If the tasks can't be read, it is
// taken to be running still.
func (l *leader) probeState(ctx context.Context, worker, id string) platf.TaskState {
	tasks, err := l.c.platform.Tasks(ctx, worker)
	if err != nil {
		return platf.TaskRunning
	}
	for _, t := range tasks {
		if t.ID == id {
			return t.State
		}
	}
	return platf.TaskFailed
}
