package contrl

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/internal/sched"
	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	leadCheck      = 50 * time.Millisecond
	stepInterval   = 100 * time.Millisecond
	stepPause      = 10 * time.Millisecond // least time between two rounds
	maxProposals   = 64                    // of one round, on their way at once
	fleetInterval  = 5 * time.Second
	expireInterval = 10 * time.Second
	recoverTimeout = 5 * time.Second
)

// lead is the work of the leader: it takes the scheduler's decisions through
// the log. It ends with the term.
type lead struct {
	c    *Control
	term uint64

	mu     sync.Mutex // guards sched, which operators' requests read as well
	sched  *sched.Sched
	seen   map[string]jobMark
	teams  map[string]bool
	fleet  map[string]model.Worker
	config uint64
	index  uint64 // log index that the scheduler has learned up to
	placed map[string]placing
	group  errgroup.Group // probes

	nextFleet  time.Time
	nextExpire time.Time
}

// placing is when a gang was first seen under an epoch.
type placing struct {
	epoch uint64
	at    time.Time
}

func (l *lead) placedAt(id string, epoch uint64, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.placed[id]
	if !ok || p.epoch != epoch {
		p = placing{epoch: epoch, at: now}
		l.placed[id] = p
	}
	return p.at
}

// jobMark tells whether the scheduler knows of a job's latest change.
type jobMark struct {
	state    model.JobState
	epoch    uint64
	attempts int
	failedOn int
}

func markOf(j *state.Job) jobMark {
	return jobMark{state: j.State, epoch: j.Epoch, attempts: j.Attempts, failedOn: len(j.FailedOn)}
}

// leading returns the leader's work while this process is the leader.
func (c *Control) leading() *lead {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lead
}

func (c *Control) setLead(l *lead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lead = l
}

// watchLead takes up the leader's work whenever this process becomes the
// leader, and lays it down when it no longer is.
func (c *Control) watchLead(ctx context.Context) error {
	return kern.Every(ctx, leadCheck, func() { c.leadOnce(ctx) })
}

func (c *Control) leadOnce(ctx context.Context) {
	st := c.node.Status()
	if st.Role != replog.Leader {
		return
	}
	l := &lead{c: c, term: st.Term, sched: sched.New(sched.Defaults())}
	if err := l.run(ctx); err != nil && ctx.Err() == nil {
		c.env.Log.Warn("leadership ended", zap.Uint64("term", l.term), zap.Error(err))
	}
	c.setLead(nil)
}

var errTermOver = errors.New("another term has begun")

func (l *lead) run(ctx context.Context) error {
	c := l.c
	if err := l.begin(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer func() { _ = l.group.Wait() }()
	defer cancel()
	c.setLead(l)
	c.env.Log.Info("leading", zap.Uint64("term", l.term))
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		next := c.mach.next()
		if err := l.step(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-next:
			kern.Sleep(ctx, stepPause)
		}
		if st := c.node.Status(); st.Role != replog.Leader || st.Term != l.term {
			return errTermOver
		}
	}
}

// begin commits the new term, after which no command of a former leader takes
// effect, and rebuilds the scheduler from the committed state.
func (l *lead) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	data, err := state.Encode(state.Command{Term: l.term, Now: l.c.env.Clock.Now(), BeginTerm: &state.BeginTerm{}})
	if err != nil {
		return err
	}
	if _, _, err := l.c.node.Propose(ctx, data); err != nil {
		return errors.Wrap(err, "begin term")
	}
	l.c.nodes.lead(slices.Collect(maps.Keys(l.c.links)))
	l.rebuild(l.c.state.View())
	return nil
}

func (l *lead) rebuild(v state.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen, l.teams, l.fleet = map[string]jobMark{}, map[string]bool{}, map[string]model.Worker{}
	l.placed = map[string]placing{}
	var workers []model.Worker
	for w := range v.Workers() {
		l.fleet[w.Name] = w.Worker
		workers = append(workers, w.Worker)
	}
	var jobs []model.Job
	for j := range v.LiveJobs() {
		l.seen[j.ID] = markOf(j)
		jobs = append(jobs, j.Job)
	}
	teams := v.Config().Teams()
	for _, t := range teams {
		l.teams[t.Name] = true
	}
	l.config = v.Revision()
	l.sched.Reset(workers, teams, jobs, l.c.env.Clock.Now())
}

// step does one round: it learns what was committed, moves the gangs on, and
// commits what the scheduler decides.
func (l *lead) step(ctx context.Context) error {
	now := l.c.env.Clock.Now()
	if l.c.plat != nil && !now.Before(l.nextFleet) {
		l.nextFleet = now.Add(fleetInterval)
		l.refreshFleet(ctx)
	}
	if !now.Before(l.nextExpire) {
		l.nextExpire = now.Add(expireInterval)
		if _, err := l.c.propose(ctx, state.Command{Expire: &state.Expire{}}); err != nil {
			return err
		}
		if err := l.settleLost(ctx, now); err != nil {
			return err
		}
	}
	v := l.c.state.View()
	l.learn(v)
	if err := l.watchWorkers(ctx, v); err != nil {
		return err
	}
	if err := l.moveGangs(ctx, v); err != nil {
		return err
	}
	return l.decide(ctx)
}

// learn tells the scheduler what was committed since the last round. An older
// view than the last one tells nothing.
func (l *lead) learn(v state.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Index() < l.index {
		return
	}
	l.index = v.Index()
	now := l.c.env.Clock.Now()
	for w := range v.Workers() {
		if l.fleet[w.Name] != w.Worker {
			l.fleet[w.Name] = w.Worker
			l.sched.SetWorker(w.Worker, now)
		}
	}
	for name := range l.fleet {
		if _, ok := v.Worker(name); !ok {
			delete(l.fleet, name)
			l.sched.DropWorker(name, now)
		}
	}
	l.learnTeams(v, now)
	live := map[string]bool{}
	for j := range v.LiveJobs() {
		live[j.ID] = true
		l.learnJob(j, now)
	}
	for id := range l.seen {
		if live[id] {
			continue
		}
		delete(l.seen, id)
		delete(l.placed, id)
		if j, ok := v.Job(id); ok {
			l.sched.SetJob(j.Job, now)
		} else {
			l.sched.DropJob(id)
		}
	}
}

func (l *lead) learnJob(j *state.Job, now time.Time) {
	if m := markOf(j); l.seen[j.ID] != m {
		l.seen[j.ID] = m
		l.sched.SetJob(j.Job, now)
	}
}

func (l *lead) learnTeams(v state.View, now time.Time) {
	if l.config == v.Revision() {
		return
	}
	l.config = v.Revision()
	held := map[string]bool{}
	for _, t := range v.Config().Teams() {
		held[t.Name] = true
		l.teams[t.Name] = true
		l.sched.SetTeam(t, now)
	}
	for name := range l.teams {
		if !held[name] {
			delete(l.teams, name)
			l.sched.DropTeam(name, now)
		}
	}
}

// decide commits what the scheduler decides. A decision that can't be
// committed is taken back there.
func (l *lead) decide(ctx context.Context) error {
	l.mu.Lock()
	now := l.c.env.Clock.Now()
	decisions := l.sched.Decide(now)
	l.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(maxProposals)
	for _, d := range decisions {
		if d.Kind == sched.Probe {
			l.group.Go(func() error { return l.probe(ctx, d.Worker) })
			continue
		}
		g.Go(func() error { return l.carryOut(ctx, d) })
	}
	return g.Wait()
}

func (l *lead) carryOut(ctx context.Context, d sched.Decision) error {
	cmd, ok := l.command(d)
	if !ok {
		return nil
	}
	res, err := l.c.propose(ctx, cmd)
	if err != nil {
		l.forget(d)
		return err
	}
	log := l.c.env.Log.With(zap.String("kind", string(d.Kind)), zap.String("job", d.Job), zap.String("worker", d.Worker))
	if res.Err != nil {
		log.Info("decision not carried out", zap.Error(res.Err))
		l.forget(d)
		return nil
	}
	log.Info("decided", zap.String("reason", d.Reason))
	return nil
}

func (l *lead) forget(d sched.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sched.Undo(d, l.c.env.Clock.Now())
}

// command returns the command that carries a decision out.
func (l *lead) command(d sched.Decision) (state.Command, bool) {
	v := l.c.state.View()
	j, _ := v.Job(d.Job)
	switch d.Kind {
	case sched.Place:
		return state.Command{Place: &state.PlaceJob{ID: d.Job, Members: d.Members, Borrowed: d.Borrowed}}, true
	case sched.Stop:
		return state.Command{Stop: &state.StopJob{ID: d.Job, Epoch: j.Epoch, Reason: d.Reason}}, true
	case sched.Fail:
		return state.Command{End: &state.EndJob{ID: d.Job, Epoch: j.Epoch, State: model.JobFailed, Reason: d.Reason}}, true
	case sched.Quarantine:
		return state.Command{Mark: &state.MarkWorker{Name: d.Worker, Mark: state.MarkQuarantine, Reason: d.Reason}}, true
	case sched.Release:
		return state.Command{Mark: &state.MarkWorker{Name: d.Worker, Mark: state.MarkReleased, Reason: d.Reason}}, true
	}
	return state.Command{}, false
}

// leadDump is the state of the leader's work for a dump.
type leadDump struct {
	Term   uint64 `json:"term"`
	Queued int    `json:"queued"`
	KnownJobs  int    `json:"known"` // live jobs that the scheduler knows
}

func (l *lead) dump() *leadDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &leadDump{Term: l.term, Queued: l.sched.Queued(), KnownJobs: len(l.seen)}
}
