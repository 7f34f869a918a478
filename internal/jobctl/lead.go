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
	// idleStep is how often the leader looks for what no event tells of: ended
	// leases, due times, barred workers that are free again.
	idleStep = 200 * time.Millisecond
	// beginTimeout is how long a new leader tries to commit its term.
	beginTimeout = 5 * time.Second
)

var errTermOver = errors.New("another term has begun")

// shortage is how many tasks of a step wait, and since when.
type shortage struct {
	tasks int
	since time.Time
}

// runKey names a run.
type runKey struct {
	task string
	run  int
}

// begun is what the leader remembers of a run that it started.
type begun struct {
	at     time.Time
	worker jobs.Worker
	queue  string
	job    string
	factor float64
	whole  bool
	single bool
	gang   bool
	sent   bool // its order has gone out
	pulse  allot.Pulse
	pace   allot.Pace
	guess  time.Duration // the caller's estimate
}

// lead is the work of the leader. It ends with the term.
type lead struct {
	c     *Control
	log   *zap.Logger
	term  uint64
	rule  replog.SuccessionRule
	began time.Time
	done  <-chan struct{}
	woken chan struct{}

	listed string        // membership as it was last logged
	claims []allot.Claim // of the last plan; only step uses it

	mu       sync.Mutex
	hosts    map[string]*host // by agent name
	learner  *allot.Learner
	runs     map[runKey]begun
	stopping map[runKey]string               // runs told to make room, and for which job
	leases   map[jobs.Worker]time.Time       // until when runs may be going on
	born     map[string]time.Time            // acceptance of jobs, on the own clock
	ready    map[jobs.TaskID]time.Time       // since when steps could have started
	idle     map[string]time.Time            // since when nothing of a job has run
	short    map[jobs.TaskID]shortage        // of steps that last
	ended    map[string]time.Time            // when ended jobs were first seen
	rulings  map[string]allot.Verdict        // last verdict logged, by job and step
	members  time.Time                       // when the membership was last looked at
	failedOn map[string]map[jobs.Worker]bool // workers on which a job's tasks failed
	rooms    map[string]allot.Room           // of all workers of a service, as of the last plan
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

// wake makes the leader look at what has changed.
func (l *lead) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// leadOnce does the leader's work for as long as this replica leads.
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

// begin commits the new term, after which no command of a former leader takes
// effect and all that was committed before is applied here.
func (l *lead) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	if _, err := l.propose(ctx, jobs.Command{Lead: true}); err != nil {
		return errors.Wrap(err, "begin term")
	}
	// A former leader granted its last lease before this term began.
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.state.Read(func(v jobs.View) {
		for w := range v.Workers() {
			l.leases[w] = l.c.cfg.leaseEnds(l.now())
		}
		known := v.Learned()
		l.learner.Recall(known)
		l.log.Info("learned by former leaders", zap.Int("workers", len(known.Speeds)), zap.Int("queues", len(known.Work)), zap.Uint64("term", l.term))
	})
	return nil
}

// step records what workers have told, decides, commits the decisions and sends
// the orders.
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

// news returns what has been learned since it was last committed.
func (l *lead) news() *jobs.Learned {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.learner.News()
}

// stop notes that a run has to make room.
func (l *lead) stop(s allot.Stop) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping[runKey{s.Task.String(), s.Run}] = s.For
	l.log.Info("run makes room", zap.String("request", s.Task.Job), zap.Stringer("task", s.Task), zap.Int("run", s.Run),
		zap.String("worker", s.Worker.Name), zap.String("for", s.For), zap.Uint64("term", l.term))
}

// started notes the starts that were committed.
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
				l.log.Info("start refused", zap.String("request", first.Job), zap.Stringer("task", first), zap.Strings("why", res.Refusals))
				continue
			}
			l.noteStart(j, st, res.Runs[i], racks, now)
		}
	})
}

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

// acceptedAt returns when a job was accepted, on the own clock. A former
// leader's time of day stands in for it, as far as it makes sense.
func (l *lead) acceptedAt(j *jobs.Job) time.Time {
	at, ok := l.born[j.ID]
	if !ok {
		age := l.c.env.Clock.Now().UnixMilli() - j.AcceptedMs
		at = l.now().Add(-time.Duration(max(0, age)) * time.Millisecond)
		l.born[j.ID] = at
	}
	return at
}

// logRulings logs each need's verdict when it changes.
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
