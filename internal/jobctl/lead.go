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
	// idleStep is how often the leader checks for changes that no event signals:
	// expired leases, due times, and barred workers that may be used again.
	idleStep = 200 * time.Millisecond
	// beginTimeout bounds the commit of a new leader's term.
	beginTimeout = 5 * time.Second
)

var errTermOver = errors.New("another term has begun")

// shortage is the number of waiting tasks of a step, and since when they wait.
type shortage struct {
	tasks int
	since time.Time
}

// runKey identifies a run.
type runKey struct {
	task string
	run  int
}

// begun is the leader's state of a run that it started or adopted from an earlier
// leader.
type begun struct {
	at     time.Time
	worker jobs.Worker
	queue  string
	job    string
	factor float64 // by which remote data or several racks prolong the run
	whole  bool    // started without a checkpoint
	single bool    // all tasks of its group are on one worker
	gang   bool
	sent   bool          // its start has been ordered
	pulse  allot.Pulse   // detects stalls
	pace   allot.Pace    // measures the speed of progress
	guess  time.Duration // the caller's estimate
}

// lead is the state of the leader for one term.
type lead struct {
	c     *Control
	log   *zap.Logger
	term  uint64
	rule  replog.SuccessionRule
	began time.Time
	done  <-chan struct{}
	woken chan struct{} // signals that a new plan is needed

	listed string        // membership that was logged last
	claims []allot.Claim // of the last plan; used only by step

	mu       sync.Mutex
	hosts    map[string]*host // by agent name
	learner  *allot.Learner
	runs     map[runKey]begun
	stopping map[runKey]string               // runs to be stopped, and the job that needs the resources or another reason
	leases   map[jobs.Worker]time.Time       // when the leases have ended for certain
	born     map[string]time.Time            // when jobs were accepted, by the local clock
	ready    map[jobs.TaskID]time.Time       // since when steps have been ready to start
	idle     map[string]time.Time            // since when no task of a job has been running
	short    map[jobs.TaskID]shortage        // of long-running steps
	ended    map[string]time.Time            // when the end of a job was first noticed
	rulings  map[string]allot.Verdict        // last logged verdict, by job
	members  time.Time                       // when tidy last ran
	failedOn map[string]map[jobs.Worker]bool // workers on which a job's tasks failed or stalled
	rooms    map[string]allot.Room           // total resources by service, as of the last plan
}

func newLead(c *Control, term uint64) *lead {
	return &lead{
		c: c, term: term, rule: c.cfg.succession(), log: c.env.Log, began: c.env.Boot.Now(), woken: make(chan struct{}, 1),
		hosts: map[string]*host{}, learner: allot.NewLearner(), runs: map[runKey]begun{},
		stopping: map[runKey]string{}, leases: map[jobs.Worker]time.Time{}, born: map[string]time.Time{}, ready: map[jobs.TaskID]time.Time{},
		idle: map[string]time.Time{}, short: map[jobs.TaskID]shortage{},
		ended: map[string]time.Time{}, rulings: map[string]allot.Verdict{},
		failedOn: map[string]map[jobs.Worker]bool{},
	}
}

func (l *lead) now() time.Time { return l.c.env.Boot.Now() }

// wake makes the leader run a step soon.
func (l *lead) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// leadOnce runs the leader's work until the term ends. It does nothing unless this
// replica leads.
func (c *Control) leadOnce(ctx context.Context) {
	st := c.node.Status()
	c.meters.leading.Update(0)
	if st.Role != replog.Leader {
		return
	}
	l := newLead(c, st.Term)
	if err := l.run(ctx); err != nil && ctx.Err() == nil {
		c.env.Log.Warn("leadership ended", zap.Uint64("term", l.term), zap.Error(err))
	}
	c.setLead(nil)
}

// run commits the term and runs steps until the term or ctx ends.
func (l *lead) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.done = ctx.Done()
	if err := l.begin(ctx); err != nil {
		return err
	}
	l.c.setLead(l)
	l.c.meters.leading.Update(1)
	l.log.Info("leading", zap.Uint64("term", l.term))
	t := time.NewTicker(idleStep)
	defer t.Stop()
	for {
		changed := l.c.state.Changed()
		if err := l.step(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			l.tidy(ctx)
		case <-changed:
		case <-l.woken:
		}
		if st := l.c.node.Status(); st.Role != replog.Leader || st.Term != l.term {
			return errTermOver
		}
	}
}

// begin commits the new term. After that no command of an earlier leader takes effect,
// and all earlier commits have been applied to the local state.
func (l *lead) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	if _, err := l.propose(ctx, jobs.Command{Lead: true}); err != nil {
		return errors.Wrap(err, "begin term")
	}
	// Earlier leaders granted their last leases before this term began.
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.state.Read(func(v jobs.View) {
		for w := range v.Workers() {
			l.leases[w] = l.c.cfg.leaseEnds(l.now())
		}
		known := v.Learned()
		l.learner.Recall(known)
		l.log.Info("loaded estimates of earlier leaders", zap.Int("workers", len(known.Speeds)), zap.Int("queues", len(known.Work)), zap.Uint64("term", l.term))
	})
	return nil
}

// step commits the new events reported by workers, makes a plan, commits its starts and
// sends orders.
func (l *lead) step(ctx context.Context) error {
	if cmd, ok := l.collect(); ok {
		cmd.Learned = l.news()
		if _, err := l.propose(ctx, cmd); err != nil {
			return errors.Wrap(err, "record ends")
		}
		l.recorded(cmd)
	}
	began := l.now()
	in := l.input()
	plan := allot.Make(in)
	l.claims = plan.Claims
	l.c.meters.plan.RecordDuration(l.now().Sub(began))
	l.logRulings(plan)
	for _, s := range plan.Stops {
		l.stop(s)
	}
	if len(plan.Starts) > 0 {
		res, err := l.propose(ctx, jobs.Command{Starts: plan.Starts})
		if err != nil {
			return errors.Wrap(err, "start")
		}
		l.started(in, plan.Starts, res)
	}
	l.order()
	return nil
}

// news returns the estimates that changed since they were last committed.
func (l *lead) news() *jobs.Learned {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.learner.News()
}

// stop marks a run to be stopped, which frees its resources for another job.
func (l *lead) stop(s allot.Stop) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping[runKey{s.Task.String(), s.Run}] = s.For
	l.log.Info("run makes room", zap.String("request", s.Task.Job), zap.Stringer("task", s.Task), zap.Int("run", s.Run),
		zap.String("worker", s.Worker.Name), zap.String("for", s.For), zap.Uint64("term", l.term))
}

// started logs and tracks the starts that were committed.
func (l *lead) started(in allot.Input, starts []jobs.Start, res jobs.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	racks := map[jobs.Worker]string{}
	for _, w := range in.Workers {
		racks[w.ID] = w.Rack
	}
	l.c.state.Read(func(v jobs.View) {
		for i, st := range starts {
			first := st.Places[0].Task
			j, ok := v.Job(first.Job)
			if !ok || i >= len(res.Runs) || res.Runs[i] == 0 {
				l.log.Info("start rejected", zap.String("request", first.Job), zap.Stringer("task", first), zap.Strings("why", res.Refusals))
				continue
			}
			l.noteStart(j, st, res.Runs[i], racks, now)
		}
	})
}

// noteStart logs and tracks the runs of one committed start. The caller holds mu.
func (l *lead) noteStart(j *jobs.Job, st jobs.Start, run int, racks map[jobs.Worker]string, now time.Time) {
	first := st.Places[0]
	step := j.Spec.Steps[first.Task.Step]
	rec := &j.Occurs[first.Task.Occur].Steps[first.Task.Step]
	factor, single := 1.0, true
	for _, p := range st.Places {
		single = single && p.Worker == first.Worker
		if (step.Compact && racks[p.Worker] != racks[first.Worker]) || (step.DataRack != "" && racks[p.Worker] != step.DataRack) {
			factor = l.c.cfg.Remote
		}
	}
	work := l.workOf(j, first.Task.Step)
	pulse := allot.NewPulse(now, time.Duration(factor*float64(work)))
	for _, p := range st.Places {
		saved := rec.Saved + rec.Tasks[p.Task.Index].Saved
		l.runs[runKey{p.Task.String(), run}] = begun{
			at: now, worker: p.Worker, queue: j.Queue, job: j.ID, factor: factor, whole: saved == "", single: single, gang: step.Gang, pulse: pulse,
			guess: time.Duration(step.EstimateMs) * time.Millisecond,
		}
		l.log.Info("start", zap.String("request", j.ID), zap.Stringer("task", p.Task), zap.Int("run", run),
			zap.String("worker", p.Worker.Name), zap.String("host", p.Host), zap.String("rack", racks[p.Worker]),
			zap.Float64("factor", factor), zap.String("saved", saved), zap.Duration("waited", now.Sub(l.acceptedAt(j))), zap.Uint64("term", l.term))
	}
	if run == 1 {
		l.c.meters.toStart.RecordDuration(now.Sub(l.acceptedAt(j)))
	}
}

// acceptedAt returns when a job was accepted, by the local monotonic clock. It is
// derived from the leader's wall clock at acceptance; a time in the future counts as now.
func (l *lead) acceptedAt(j *jobs.Job) time.Time {
	at, ok := l.born[j.ID]
	if !ok {
		age := l.c.env.Clock.Now().UnixMilli() - j.AcceptedMs
		at = l.now().Add(-time.Duration(max(0, age)) * time.Millisecond)
		l.born[j.ID] = at
	}
	return at
}

// logRulings logs the verdict on each need when it changes.
func (l *lead) logRulings(p allot.Plan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range p.Rulings {
		if r.Verdict == allot.Started || l.rulings[r.Job] == r.Verdict {
			continue
		}
		l.rulings[r.Job] = r.Verdict
		l.log.Info("ruling", zap.String("request", r.Job), zap.Int("step", r.Step), zap.String("outcome", string(r.Verdict)),
			zap.Int("tasks", r.Tasks), zap.Int("workers", r.Workers), zap.Int64("free", r.Free), zap.Duration("work", r.Work),
			zap.Duration("left", r.Deadline.Sub(l.now())), zap.Bool("sure", r.Sure), zap.Uint64("term", l.term))
	}
}
