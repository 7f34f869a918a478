package agent

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/platf"
	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	reconcileInterval = time.Second
	reportTimeout     = 5 * time.Second
)

// platform is what the agent needs of the platform's worker.
type platform interface {
	Tasks(ctx context.Context, worker string) ([]platf.Task, error)
	Hold(ctx context.Context, r platf.HoldRequest) (platf.Task, error)
	Start(ctx context.Context, id string, r platf.StartRequest) (platf.Task, error)
	Renew(ctx context.Context, id string, r platf.RenewRequest) (platf.Task, error)
	Checkpoint(ctx context.Context, id string, r platf.CheckpointRequest) (platf.Task, error)
	Stop(ctx context.Context, id string, r platf.StopRequest) (platf.Task, error)
}

// taskKey names one member of a gang under one epoch.
type taskKey struct {
	Job    string `json:"job"`
	Member int    `json:"member"`
	Epoch  uint64 `json:"epoch"`
}

func keyOf(job string, member int, epoch uint64) taskKey {
	return taskKey{Job: job, Member: member, Epoch: epoch}
}

// tasks keeps the worker's leases in line with what control wants there.
//
// A lease is renewed only up to the deadline until which control's last answer
// holds, so that a task ends by itself within one lease term when control,
// agent or worker are cut off from one another.
type tasks struct {
	env    *kern.Env
	worker string
	plat   platform
	poller *poll.Poller
	wake   chan struct{}

	mu       sync.Mutex
	have     uint64 // version of wanted
	wanted   map[taskKey]*wire.Task
	deadline time.Time // until which leases may run
	reported map[taskKey]string
	pending  []*wire.Report
}

func newTasks(env *kern.Env, worker string, plat platform, p *poll.Poller) *tasks {
	return &tasks{
		env: env, worker: worker, plat: plat, poller: p,
		wake:     make(chan struct{}, 1),
		wanted:   map[taskKey]*wire.Task{},
		reported: map[taskKey]string{},
	}
}

func (t *tasks) version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.have
}

// update takes what control wants; it may be relied on until vouched.
func (t *tasks) update(rep *wire.SyncReply, vouched time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if dl := poll.LeaseDeadline(vouched); dl.After(t.deadline) {
		t.deadline = dl
	}
	if !rep.Taskschanged {
		return
	}
	t.have = rep.Tasks
	t.wanted = make(map[taskKey]*wire.Task, len(rep.Wanted))
	for _, w := range rep.Wanted {
		t.wanted[keyOf(w.Job, int(w.Member), w.Epoch)] = w
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *tasks) run(ctx context.Context) error {
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for {
		t.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-t.wake:
		}
	}
}

// reconcile brings the worker in line once and reports what changed.
func (t *tasks) reconcile(ctx context.Context) {
	there, err := t.plat.Tasks(ctx, t.worker)
	if err != nil {
		t.env.Log.Warn("worker's tasks could not be read", zap.String("worker", t.worker), zap.Error(err))
		return
	}
	t.mu.Lock()
	wanted, deadline, known := t.wanted, t.deadline, t.have > 0
	t.mu.Unlock()
	if !known {
		return
	}
	found := make(map[taskKey]platf.Task, len(there))
	for _, task := range there {
		found[keyOf(task.Job, task.Member, task.Epoch)] = task
	}
	for k, w := range wanted {
		task, ok := found[k]
		t.step(ctx, k, w, task, ok, deadline)
	}
	t.stopUnwanted(ctx, wanted, found)
	t.forget(wanted)
	t.flush(ctx)
}

// step moves one wanted task on by what its phase asks for.
func (t *tasks) step(ctx context.Context, k taskKey, w *wire.Task, task platf.Task, there bool, deadline time.Time) {
	expired := !t.env.Clock.Now().Before(deadline)
	var err error
	switch {
	case w.Phase == wire.PhaseStop && there && task.State.Live():
		task, err = t.stop(ctx, task)
	case w.Phase == wire.PhaseStop && !there:
		task.State = platf.TaskStopped
	case there && task.State.Live() && !expired:
		task, err = t.keep(ctx, w, task, deadline)
	case w.Phase == wire.PhasePrepare && !there && !expired:
		task, err = t.plat.Hold(ctx, platf.HoldRequest{
			Worker: t.worker, Job: w.Job, Member: int(w.Member), Epoch: w.Epoch,
			Cores: int(w.Cores), Memory: w.Memory, Accels: int(w.Accels), Deadline: deadline,
		})
	case w.Phase == wire.PhaseRun && !there:
		// The lease was lost before its start; it must not begin anew.
		task.State = platf.TaskExpired
	}
	if err != nil {
		t.failed(k, w, err)
		return
	}
	if task.State != "" {
		t.report(k, string(task.State), task.Reason)
	}
}

// keep renews a lease and starts its task when the gang was decided on.
func (t *tasks) keep(ctx context.Context, w *wire.Task, task platf.Task, deadline time.Time) (platf.Task, error) {
	if deadline.After(task.Deadline) {
		renewed, err := t.plat.Renew(ctx, task.ID, platf.RenewRequest{Epoch: w.Epoch, Deadline: deadline})
		if err != nil {
			return task, err
		}
		task = renewed
	}
	if w.Phase != wire.PhaseRun || task.State != platf.TaskHeld {
		return task, nil
	}
	return t.plat.Start(ctx, task.ID, platf.StartRequest{Epoch: w.Epoch, Command: w.Command})
}

// stop saves a running task's progress and ends its lease.
func (t *tasks) stop(ctx context.Context, task platf.Task) (platf.Task, error) {
	if task.State == platf.TaskRunning {
		if _, err := t.plat.Checkpoint(ctx, task.ID, platf.CheckpointRequest{Epoch: task.Epoch}); err != nil {
			t.env.Log.Warn("checkpoint failed", zap.String("job", task.Job), zap.Error(err))
		}
	}
	return t.plat.Stop(ctx, task.ID, platf.StopRequest{Epoch: task.Epoch})
}

// failed reports a refusal by the platform. What may still succeed is tried
// again at the next round.
func (t *tasks) failed(k taskKey, w *wire.Task, err error) {
	t.env.Log.Warn("platform refused a task", zap.String("job", k.Job), zap.Int("member", k.Member),
		zap.Uint64("epoch", k.Epoch), zap.String("team", w.Team), zap.Error(err))
	switch {
	case errors.Is(err, platf.ErrExpired):
		t.report(k, string(platf.TaskExpired), err.Error())
	case errors.Is(err, platf.ErrFull), errors.Is(err, platf.ErrFenced), errors.Is(err, platf.ErrMalformed):
		t.report(k, string(platf.TaskFailed), err.Error())
	}
}

// stopUnwanted ends what control does not want on this worker, such as tasks
// from before a silent cut.
func (t *tasks) stopUnwanted(ctx context.Context, wanted map[taskKey]*wire.Task, found map[taskKey]platf.Task) {
	for k, task := range found {
		if _, ok := wanted[k]; ok || !task.State.Live() || strings.HasPrefix(k.Job, wire.ProbePrefix) {
			continue
		}
		t.env.Log.Info("task is not wanted here and is stopped", zap.String("job", k.Job),
			zap.Int("member", k.Member), zap.Uint64("epoch", k.Epoch))
		if _, err := t.stop(ctx, task); err != nil {
			t.env.Log.Warn("unwanted task could not be stopped", zap.String("job", k.Job), zap.Error(err))
		}
	}
}

func (t *tasks) report(k taskKey, state, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reported[k] == state {
		return
	}
	t.reported[k] = state
	t.pending = append(t.pending, &wire.Report{
		Job: k.Job, Member: uint32(k.Member), Epoch: k.Epoch, State: state, Reason: reason, Worker: t.worker,
	})
}

// forget drops what was reported of tasks that are no longer wanted.
func (t *tasks) forget(wanted map[taskKey]*wire.Task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.reported {
		if _, ok := wanted[k]; !ok {
			delete(t.reported, k)
		}
	}
}

// flush sends the pending reports; they are kept until the leader has
// committed them.
func (t *tasks) flush(ctx context.Context) {
	t.mu.Lock()
	pending := t.pending
	t.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := t.poller.Call(ctx, wire.MethodReport, &wire.ReportRequest{Reports: pending}, &wire.ReportReply{})
	if err != nil {
		t.env.Log.Warn("reports could not be delivered", zap.Int("reports", len(pending)), zap.Error(err))
		return
	}
	t.mu.Lock()
	t.pending = t.pending[len(pending):]
	t.mu.Unlock()
}

// taskDump is one wanted task for a dump.
type taskDump struct {
	taskKey
	Phase    string `json:"phase"`
	Reported string `json:"reported"`
}

func (t *tasks) dump() []taskDump {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]taskDump, 0, len(t.wanted))
	for k, w := range t.wanted {
		out = append(out, taskDump{taskKey: k, Phase: w.Phase, Reported: t.reported[k]})
	}
	return out
}
