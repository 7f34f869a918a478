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

// platform is the part of the platform's API that the agent uses.
type platform interface {
	Tasks(ctx context.Context, worker string) ([]platf.Task, error)
	Hold(ctx context.Context, r platf.HoldRequest) (platf.Task, error)
	Start(ctx context.Context, id string, r platf.StartRequest) (platf.Task, error)
	Renew(ctx context.Context, id string, r platf.RenewRequest) (platf.Task, error)
	Checkpoint(ctx context.Context, id string, r platf.CheckpointRequest) (platf.Task, error)
	Stop(ctx context.Context, id string, r platf.StopRequest) (platf.Task, error)
}

// taskKey identifies one member of a gang in one epoch.
type taskKey struct {
	Job    string `json:"job"`
	Member int    `json:"member"`
	Epoch  uint64 `json:"epoch"`
}

func newTaskKey(job string, member int, epoch uint64) taskKey {
	return taskKey{Job: job, Member: member, Epoch: epoch}
}

// taskReconciler keeps the worker's leases in line with the tasks that control
// wants.
//
// A lease is renewed only up to a deadline that follows from control's last
// answer, so that a task ends by itself within one lease term when control,
// agent or worker lose contact with each other.
type taskReconciler struct {
	env      *kern.Env
	worker   string
	platform platform
	poller   *poll.Poller
	wake     chan struct{}

	mu             sync.Mutex
	wantedVersion  uint64 // version of wanted; 0 before control has answered
	wanted         map[taskKey]*wire.Task
	leaseDeadline  time.Time          // latest time to which leases may be renewed
	reported       map[taskKey]string // state last reported
	pendingReports []*wire.Report     // not yet delivered
}

func newTaskReconciler(env *kern.Env, worker string, plat platform, p *poll.Poller) *taskReconciler {
	return &taskReconciler{
		env: env, worker: worker, platform: plat, poller: p,
		wake:     make(chan struct{}, 1),
		wanted:   map[taskKey]*wire.Task{},
		reported: map[taskKey]string{},
	}
}

func (t *taskReconciler) version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wantedVersion
}

// setWanted stores the tasks that control wants on the worker. The reply is
// valid until freshUntil.
func (t *taskReconciler) setWanted(rep *wire.SyncReply, freshUntil time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leaseDeadline := poll.LeaseDeadline(freshUntil); leaseDeadline.After(t.leaseDeadline) {
		t.leaseDeadline = leaseDeadline
	}
	if !rep.Taskschanged {
		return
	}
	t.wantedVersion = rep.Tasks
	t.wanted = make(map[taskKey]*wire.Task, len(rep.Wanted))
	for _, w := range rep.Wanted {
		t.wanted[newTaskKey(w.Job, int(w.Member), w.Epoch)] = w
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *taskReconciler) run(ctx context.Context) error {
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

// reconcile compares the worker's tasks with the wanted ones once, acts on the
// differences and reports changed states.
func (t *taskReconciler) reconcile(ctx context.Context) {
	present, err := t.platform.Tasks(ctx, t.worker)
	if err != nil {
		t.env.Log.Warn("worker's tasks could not be read", zap.String("worker", t.worker), zap.Error(err))
		return
	}
	t.mu.Lock()
	wanted, deadline, wantedKnown := t.wanted, t.leaseDeadline, t.wantedVersion > 0
	t.mu.Unlock()
	if !wantedKnown {
		return
	}
	found := make(map[taskKey]platf.Task, len(present))
	for _, task := range present {
		found[newTaskKey(task.Job, task.Member, task.Epoch)] = task
	}
	for k, w := range wanted {
		task, ok := found[k]
		t.reconcileTask(ctx, k, w, task, ok, deadline)
	}
	t.stopUnwanted(ctx, wanted, found)
	t.pruneReported(wanted)
	t.sendReports(ctx)
}

// reconcileTask takes the next action that the phase of a wanted task requires.
func (t *taskReconciler) reconcileTask(ctx context.Context, k taskKey, w *wire.Task, task platf.Task, exists bool, deadline time.Time) {
	expired := !t.env.Clock.Now().Before(deadline)
	var err error
	switch {
	case w.Phase == wire.PhaseStop && exists && task.State.Live():
		task, err = t.checkpointAndStop(ctx, task)
	case w.Phase == wire.PhaseStop && !exists:
		task.State = platf.TaskStopped
	case exists && task.State.Live() && !expired:
		task, err = t.renewAndStart(ctx, w, task, deadline)
	case w.Phase == wire.PhasePrepare && !exists && !expired:
		task, err = t.platform.Hold(ctx, platf.HoldRequest{
			Worker: t.worker, Job: w.Job, Member: int(w.Member), Epoch: w.Epoch,
			Cores: int(w.Cores), Memory: w.Memory, Accels: int(w.Accels), Deadline: deadline,
		})
	case w.Phase == wire.PhaseRun && !exists:
		// The lease ended before the task was started. The task must not start
		// under a new lease in the same epoch.
		task.State = platf.TaskExpired
	}
	if err != nil {
		t.handleRefusal(k, w, err)
		return
	}
	if task.State != "" {
		t.queueReport(k, string(task.State), task.Reason)
	}
}

// renewAndStart renews a lease, and starts its task once control has decided
// that the gang runs.
func (t *taskReconciler) renewAndStart(ctx context.Context, w *wire.Task, task platf.Task, deadline time.Time) (platf.Task, error) {
	if deadline.After(task.Deadline) {
		renewed, err := t.platform.Renew(ctx, task.ID, platf.RenewRequest{Epoch: w.Epoch, Deadline: deadline})
		if err != nil {
			return task, err
		}
		task = renewed
	}
	if w.Phase != wire.PhaseRun || task.State != platf.TaskHeld {
		return task, nil
	}
	return t.platform.Start(ctx, task.ID, platf.StartRequest{Epoch: w.Epoch, Command: w.Command})
}

// checkpointAndStop saves a checkpoint of a running task and ends its lease.
func (t *taskReconciler) checkpointAndStop(ctx context.Context, task platf.Task) (platf.Task, error) {
	if task.State == platf.TaskRunning {
		if _, err := t.platform.Checkpoint(ctx, task.ID, platf.CheckpointRequest{Epoch: task.Epoch}); err != nil {
			t.env.Log.Warn("checkpoint failed", zap.String("job", task.Job), zap.Error(err))
		}
	}
	return t.platform.Stop(ctx, task.ID, platf.StopRequest{Epoch: task.Epoch})
}

// handleRefusal handles a refusal by the platform. It reports final errors;
// after any other error the next reconciliation tries again.
func (t *taskReconciler) handleRefusal(k taskKey, w *wire.Task, err error) {
	t.env.Log.Warn("platform refused a task", zap.String("job", k.Job), zap.Int("member", k.Member),
		zap.Uint64("epoch", k.Epoch), zap.String("team", w.Team), zap.Error(err))
	switch {
	case errors.Is(err, platf.ErrExpired):
		t.queueReport(k, string(platf.TaskExpired), err.Error())
	case errors.Is(err, platf.ErrFull), errors.Is(err, platf.ErrFenced), errors.Is(err, platf.ErrMalformed):
		t.queueReport(k, string(platf.TaskFailed), err.Error())
	}
}

// stopUnwanted stops the tasks that control does not want on this worker, such
// as those from before the agent lost contact with control.
func (t *taskReconciler) stopUnwanted(ctx context.Context, wanted map[taskKey]*wire.Task, found map[taskKey]platf.Task) {
	for k, task := range found {
		if _, ok := wanted[k]; ok || !task.State.Live() || strings.HasPrefix(k.Job, wire.ProbePrefix) {
			continue
		}
		t.env.Log.Info("stopping task that is not wanted on this worker", zap.String("job", k.Job),
			zap.Int("member", k.Member), zap.Uint64("epoch", k.Epoch))
		if _, err := t.checkpointAndStop(ctx, task); err != nil {
			t.env.Log.Warn("unwanted task could not be stopped", zap.String("job", k.Job), zap.Error(err))
		}
	}
}

func (t *taskReconciler) queueReport(k taskKey, state, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reported[k] == state {
		return
	}
	t.reported[k] = state
	t.pendingReports = append(t.pendingReports, &wire.Report{
		Job: k.Job, Member: uint32(k.Member), Epoch: k.Epoch, State: state, Reason: reason, Worker: t.worker,
	})
}

// pruneReported drops the reported states of tasks that are no longer wanted.
func (t *taskReconciler) pruneReported(wanted map[taskKey]*wire.Task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.reported {
		if _, ok := wanted[k]; !ok {
			delete(t.reported, k)
		}
	}
}

// sendReports sends the pending reports. They are kept until the leader has
// committed them.
func (t *taskReconciler) sendReports(ctx context.Context) {
	t.mu.Lock()
	pending := t.pendingReports
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
	t.pendingReports = t.pendingReports[len(pending):]
	t.mu.Unlock()
}

// taskDump is the part of a dump about one wanted task.
type taskDump struct {
	taskKey
	Phase    string `json:"phase"`
	Reported string `json:"reported"`
}

func (t *taskReconciler) dump() []taskDump {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]taskDump, 0, len(t.wanted))
	for k, w := range t.wanted {
		out = append(out, taskDump{taskKey: k, Phase: w.Phase, Reported: t.reported[k]})
	}
	return out
}
