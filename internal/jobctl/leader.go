package jobctl

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/replog"
)

const (
	// scheduleInterval is how often the leader makes a plan without an event. This
	// notices expired leases, due times, and workers whose quarantine has ended.
	scheduleInterval = 200 * time.Millisecond
	// beginTimeout bounds the commit of a new leader's term.
	beginTimeout = 5 * time.Second
)

var errTermEnded = errors.New("another term has begun")

// shortage describes the missing tasks of a long-running step.
type shortage struct {
	tasks int       // number of missing tasks
	since time.Time // since when tasks have been missing, or when their number last fell
}

// runKey identifies a run.
type runKey struct {
	task string // name as returned by jobs.TaskID.String
	run  int    // run number of the task, from 1
}

// activeRun is the leader's state of a run that it started or adopted from an earlier
// leader.
type activeRun struct {
	startedAt     time.Time
	worker        jobs.Worker
	queue         string  // name of the job's queue
	job           string  // id
	slowdown      float64 // factor by which remote data or several racks prolong the run
	fromStart     bool    // started without a checkpoint
	singleWorker  bool    // all tasks that were started together with it are on the same worker
	gang          bool
	startOrdered  bool                // its start has been ordered
	begun         bool                // its worker has listed it
	begunAt       time.Time           // when it was listed first
	stallDetector allot.StallDetector // detects that the run makes no progress
	progressRate  allot.ProgressRate  // predicts the duration of the run from its progress
	estimate      time.Duration       // the caller's estimate
}

// leader is the state of the leader for one term.
type leader struct {
	c                 *Control
	log               *zap.Logger
	term              uint64
	replacementPolicy replog.ReplacementPolicy
	startedAt         time.Time
	memory            int64           // bytes that the process on the smallest control host may use
	maxRuns           int             // at a time, on all workers
	termDone          <-chan struct{} // closed when the term ends
	wakeup            chan struct{}   // signals that a new plan is needed

	loggedMembers string        // membership that was logged last
	claims        []allot.Claim // resources that the last plan reserved, input of the next one; used only by scheduleOnce

	mu               sync.Mutex
	durations        *durationCache   // nil unless the input of a plan is put together
	gangs            *gangCache       // nil unless many runs are looked at
	hosts            map[string]*host // by agent name
	learner          *allot.Learner   // estimates worker speeds and task durations
	runs             map[runKey]activeRun
	stopping         map[runKey]string               // runs to be stopped, with the job that needs the resources or another reason
	leaseEnds        map[jobs.Worker]time.Time       // when the leases have ended for certain
	begunJobs        map[string]bool                 // jobs that have begun, which isn't recorded yet
	acceptTimes      map[string]time.Time            // when jobs were accepted, by the local clock
	readyTimes       map[jobs.TaskID]time.Time       // since when steps have been ready to start
	idleTimes        map[string]time.Time            // since when no task of a job has been running
	shortages        map[jobs.TaskID]shortage        // of long-running steps
	endTimes         map[string]time.Time            // when this leader noticed that a job has ended
	loggedVerdicts   map[string]allot.Verdict        // last logged verdict, by job
	lastMaintenance  time.Time                       // when maintain last ran
	failedOn         map[string]map[jobs.Worker]bool // workers on which a job's tasks failed or stalled
	serviceResources map[string]allot.Resources      // total resources by service, as of the last plan
	lastInput        *allot.Input                    // input of the last plan, which isn't changed any more; nil before the first one
	refusals         map[string]refusal              // jobs that were refused, by id
	submitting       map[string]int                  // attempts to commit a job that are under way, by id, if not all jobs are admitted
	storage          *storage
	nextDropAt       time.Time // when the next ended job is dropped, as of lastMaintenance; zero if none has ended
	shares           shareReport
}

func newLeader(c *Control, term uint64) *leader {
	return &leader{
		c: c, term: term, replacementPolicy: c.cfg.replacementPolicy(), log: c.env.Log, startedAt: c.env.BootClock.Now(), memory: assumedMemory(c.env.Memory), maxRuns: maxRuns(c.env.Memory), wakeup: make(chan struct{}, 1),
		hosts: map[string]*host{}, learner: allot.NewLearner(), runs: map[runKey]activeRun{},
		stopping: map[runKey]string{}, leaseEnds: map[jobs.Worker]time.Time{}, begunJobs: map[string]bool{}, acceptTimes: map[string]time.Time{}, readyTimes: map[jobs.TaskID]time.Time{},
		idleTimes: map[string]time.Time{}, shortages: map[jobs.TaskID]shortage{},
		endTimes: map[string]time.Time{}, loggedVerdicts: map[string]allot.Verdict{},
		failedOn: map[string]map[jobs.Worker]bool{}, refusals: map[string]refusal{}, submitting: map[string]int{}, storage: newStorage(c.env.Memory), shares: shareReport{gauges: map[string]bool{}},
	}
}

func (l *leader) now() time.Time { return l.c.env.BootClock.Now() }

// wake makes the leader call scheduleOnce soon.
func (l *leader) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// leadTerm runs the leader's work until the term ends. It does nothing unless this
// replica leads.
func (c *Control) leadTerm(ctx context.Context) {
	st := c.node.Status()
	c.metrics.leading.Update(0)
	c.metrics.hostsEvacuated.Update(0)
	c.metrics.stepsEvacuated.Update(0)
	if st.Role != replog.Leader {
		return
	}
	l := newLeader(c, st.Term)
	l.adoptMemory(c.node.SmallestMemory())
	if err := l.run(ctx); err != nil && ctx.Err() == nil {
		c.env.Log.Warn("leadership ended", zap.Uint64("term", l.term), zap.Error(err))
	}
	c.setLeader(nil)
}

// run commits the term and calls scheduleOnce after each change until the term or ctx
// ends.
func (l *leader) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.termDone = ctx.Done()
	if err := l.beginTerm(ctx); err != nil {
		return err
	}
	l.c.setLeader(l)
	l.c.metrics.leading.Update(1)
	l.log.Info("leading", zap.Uint64("term", l.term))
	t := time.NewTicker(scheduleInterval)
	defer t.Stop()
	for {
		changed := l.c.state.Changed()
		if err := l.scheduleOnce(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			l.maintain(ctx)
		case <-changed:
		case <-l.wakeup:
		}
		if st := l.c.node.Status(); st.Role != replog.Leader || st.Term != l.term {
			return errTermEnded
		}
		l.adoptMemory(l.c.node.SmallestMemory())
	}
}

// beginTerm commits the new term. After that no command of an earlier leader takes effect,
// and all earlier commits have been applied to the local state.
func (l *leader) beginTerm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	if _, err := l.propose(ctx, jobs.Command{BeginTerm: true}); err != nil {
		return errors.Wrap(err, "begin term")
	}
	// Earlier leaders granted their last leases before this term began.
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.state.Read(func(v jobs.View) {
		for w := range v.Workers() {
			l.leaseEnds[w] = l.c.cfg.leaseEnd(l.now(), false)
		}
		estimates := v.Estimates()
		l.learner.Restore(estimates)
		l.log.Info("loaded estimates of earlier leaders", zap.Int("workers", len(estimates.Speeds)), zap.Int("queues", len(estimates.LogTaskSeconds)), zap.Uint64("term", l.term))
	})
	return nil
}

// scheduleOnce commits the new events reported by workers, makes a plan, commits its
// starts and sends orders.
func (l *leader) scheduleOnce(ctx context.Context) error {
	if cmd, ok := l.collectUnrecorded(); ok {
		cmd.Estimates = l.newEstimates()
		if _, err := l.propose(ctx, cmd); err != nil {
			return errors.Wrap(err, "record ends")
		}
		l.applyRecorded(cmd)
	}
	startedAt := l.now()
	in := l.planInput()
	plan := allot.MakePlan(in)
	l.claims = plan.Claims
	l.keepInput(in)
	l.c.metrics.planTime.RecordDuration(l.now().Sub(startedAt))
	l.logVerdicts(plan)
	l.reportShares(plan.Shares)
	for _, s := range plan.Stops {
		l.markStopping(s)
	}
	if err := l.commitStarts(ctx, in, l.limitStarts(plan.Starts)); err != nil {
		return err
	}
	l.sendOrders()
	return nil
}

// commitStarts commits the starts of a plan, in several commands if there are many.
func (l *leader) commitStarts(ctx context.Context, in allot.Input, starts []jobs.Start) error {
	for _, part := range splitStarts(starts) {
		res, err := l.propose(ctx, jobs.Command{Starts: part})
		if errors.Is(err, replog.ErrTooLarge) {
			// Without these starts the leader can still serve the other jobs.
			l.log.Error("starts are too large for one command", zap.String("request", part[0].Placements[0].Task.Job), zap.Int("starts", len(part)), zap.Uint64("term", l.term))
			continue
		}
		if err != nil {
			return errors.Wrap(err, "commit starts")
		}
		l.recordStarts(in, part, res)
	}
	return nil
}

// keepInput keeps the input of a plan for decisions on jobs that arrive until the next one.
func (l *leader) keepInput(in allot.Input) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastInput = &in
}

// newEstimates returns the estimates that changed since they were last committed.
func (l *leader) newEstimates() *jobs.Estimates {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.learner.Changes()
}

// markStopping marks a run to be stopped, which frees its resources for another job.
func (l *leader) markStopping(s allot.Stop) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping[runKey{s.Task.String(), s.Run}] = s.ForJob
	l.log.Info("run makes room", zap.String("request", s.Task.Job), zap.Stringer("task", s.Task), zap.Int("run", s.Run),
		zap.String("worker", s.Worker.Name), zap.String("for", s.ForJob), zap.Uint64("term", l.term))
}

// recordStarts logs and tracks the starts that were committed.
func (l *leader) recordStarts(in allot.Input, starts []jobs.Start, res jobs.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	racks := map[jobs.Worker]string{}
	for _, w := range in.Workers {
		racks[w.ID] = w.Rack
	}
	l.c.state.Read(func(v jobs.View) {
		for i, st := range starts {
			first := st.Placements[0].Task
			j, ok := v.Job(first.Job)
			if !ok || i >= len(res.Runs) || res.Runs[i] == 0 {
				l.log.Info("start rejected", zap.String("request", first.Job), zap.Stringer("task", first), zap.Strings("why", res.Refusals))
				continue
			}
			l.recordStart(j, st, res.Runs[i], racks, now)
		}
	})
}

// recordStart logs and tracks the runs of one committed start. The caller holds mu.
func (l *leader) recordStart(j *jobs.Job, st jobs.Start, run int, racks map[jobs.Worker]string, now time.Time) {
	first := st.Placements[0]
	step := j.Spec.Steps[first.Task.Step]
	record := &j.Occurrences[first.Task.Occur].Steps[first.Task.Step]
	slowdown, singleWorker := 1.0, true
	for _, p := range st.Placements {
		singleWorker = singleWorker && p.Worker == first.Worker
		if (step.RackLocal && racks[p.Worker] != racks[first.Worker]) || (step.DataRack != "" && racks[p.Worker] != step.DataRack) {
			slowdown = l.c.cfg.RemoteFactor
		}
	}
	duration := l.taskDuration(j, first.Task.Step)
	detector := allot.NewStallDetector(now, time.Duration(slowdown*float64(duration)))
	for _, p := range st.Placements {
		// At most one of the two is set.
		checkpoint := record.GangCheckpoint + record.Tasks[p.Task.Index].Checkpoint
		l.runs[runKey{p.Task.String(), run}] = activeRun{
			startedAt: now, worker: p.Worker, queue: j.Queue, job: j.ID, slowdown: slowdown, fromStart: checkpoint == "", singleWorker: singleWorker, gang: step.Gang, stallDetector: detector,
			estimate: time.Duration(step.EstimateMs) * time.Millisecond,
		}
		l.log.Info("start", zap.String("request", j.ID), zap.Stringer("task", p.Task), zap.Int("run", run),
			zap.String("worker", p.Worker.Name), zap.String("host", p.Host), zap.String("rack", racks[p.Worker]),
			zap.Float64("factor", slowdown), zap.Float64("speed", l.learner.Speed(p.Worker)), zap.Duration("work", duration), zap.String("saved", checkpoint), zap.Duration("waited", now.Sub(l.acceptedAt(j))), zap.Uint64("term", l.term))
	}
}

// acceptedAt returns when a job was accepted, by the local monotonic clock. It is
// derived from the leader's wall clock at acceptance; a time in the future counts as now.
func (l *leader) acceptedAt(j *jobs.Job) time.Time {
	at, ok := l.acceptTimes[j.ID]
	if !ok {
		age := l.c.env.Clock.Now().UnixMilli() - j.AcceptedMs
		at = l.now().Add(-time.Duration(max(0, age)) * time.Millisecond)
		l.acceptTimes[j.ID] = at
	}
	return at
}

// logVerdicts logs the plan's decision on a pending step if its verdict differs from the
// last one logged for the job.
func (l *leader) logVerdicts(p allot.Plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	blocked := 0
	for _, d := range p.Decisions {
		if d.Verdict == allot.WaitsForEvacuated {
			blocked++
		}
	}
	l.c.metrics.stepsEvacuated.Update(float64(blocked))
	for _, d := range p.Decisions {
		if d.Verdict == allot.Started || l.loggedVerdicts[d.Job] == d.Verdict {
			continue
		}
		l.loggedVerdicts[d.Job] = d.Verdict
		l.log.Info("ruling", zap.String("request", d.Job), zap.Int("step", d.Step), zap.String("outcome", string(d.Verdict)),
			zap.Int("tasks", d.Tasks), zap.Int("workers", d.Workers), zap.Int("evacuated", d.Evacuated), zap.Int64("free", d.FreeAccels), zap.Duration("work", d.TaskDuration),
			zap.Duration("left", d.Deadline.Sub(l.now())), zap.Bool("sure", d.Guaranteed), zap.Uint64("term", l.term))
	}
}
