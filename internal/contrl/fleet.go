package contrl

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/platf"
	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	platformTimeout = 3 * time.Second
	probeTimeout    = 10 * time.Second
	probePoll       = 200 * time.Millisecond
	probeCommand    = "sleep 100ms"
)

// refreshFleet reads the platform's list of workers and commits its changes.
func (l *lead) refreshFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := l.c.plat.Workers(ctx)
	if err != nil {
		l.c.env.Log.Warn("could not list the workers of the platform", zap.Error(err))
		return
	}
	cmd := fleetChange(l.c.state.View(), list)
	if len(cmd.Set) == 0 && len(cmd.Drop) == 0 {
		return
	}
	res, err := l.c.propose(ctx, state.Command{Workers: cmd})
	if err == nil {
		err = res.Err
	}
	l.c.env.Log.Info("fleet changed", zap.Int("set", len(cmd.Set)), zap.Int("dropped", len(cmd.Drop)), zap.Error(err))
}

// fleetChange returns the difference between the platform's list of workers and
// the committed one.
func fleetChange(v state.View, list []model.Worker) *state.SetWorkers {
	cmd := &state.SetWorkers{}
	there := make(map[string]bool, len(list))
	for _, w := range list {
		there[w.Name] = true
		old, ok := v.Worker(w.Name)
		if !ok || old.Unlisted || old.WithState("") != w.WithState("") {
			cmd.Set = append(cmd.Set, w.WithState(model.WorkerReady))
		}
	}
	for w := range v.Workers() {
		if !there[w.Name] && !w.Unlisted {
			cmd.Drop = append(cmd.Drop, w.Name)
		}
	}
	return cmd
}

// watchWorkers marks the workers as lost whose agents have not been heard from
// for longer than any of their leases lasts, and as returned those that have
// been heard from again.
func (l *lead) watchWorkers(ctx context.Context, v state.View) error {
	for w := range v.Workers() {
		lapsed := l.c.nodes.lapsed(w.Name)
		if lapsed == w.Lost {
			continue
		}
		mark := state.MarkLost
		if !lapsed {
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
func (l *lead) probe(ctx context.Context, worker string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ok := l.c.plat != nil && l.tryWorker(ctx, worker)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sched.ProbeResult(worker, ok, l.c.env.Clock.Now())
	return nil
}

// tryWorker reports whether a short task succeeded on the worker.
func (l *lead) tryWorker(ctx context.Context, worker string) bool {
	now := l.c.env.Clock.Now()
	epoch := uint64(now.UnixMilli())
	job := wire.ProbePrefix + worker
	task, err := l.c.plat.Hold(ctx, platf.HoldRequest{
		Worker: worker, Job: job, Epoch: epoch, Cores: 1, Deadline: now.Add(probeTimeout),
	})
	if err != nil {
		return false
	}
	if _, err := l.c.plat.Start(ctx, task.ID, platf.StartRequest{Epoch: epoch, Command: probeCommand}); err != nil {
		return false
	}
	t := time.NewTicker(probePoll)
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

// probeState returns the state of the task. If the tasks can't be read, it is
// taken to be running still.
func (l *lead) probeState(ctx context.Context, worker, id string) platf.TaskState {
	tasks, err := l.c.plat.Tasks(ctx, worker)
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
