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
	leaderCheckInterval    = 50 * time.Millisecond
	stepInterval           = 100 * time.Millisecond
	minStepPause           = 10 * time.Millisecond // minimum time between two rounds
	maxConcurrentProposals = 64                    // proposals of one round that wait for commit at the same time
	fleetRefreshInterval   = 5 * time.Second
	expiryInterval         = 10 * time.Second
	beginTimeout           = 5 * time.Second
)

// leader is the state of the leader for one term. It commits the scheduler's
// decisions to the log.
type leader struct {
	c    *Control
	term uint64

	mu             sync.Mutex // guards the fields up to placements; operators' requests use sched too
	sched          *sched.Sched
	knownJobs      map[string]jobVersion
	knownTeams     map[string]bool
	knownWorkers   map[string]model.Worker
	configRevision uint64
	viewIndex      uint64 // log index of the last view given to the scheduler
	placements     map[string]placement
	probes         errgroup.Group // running probes

	nextFleetRefresh time.Time
	nextExpiry       time.Time
}

// placement is when this leader first saw a gang in an epoch.
type placement struct {
	epoch  uint64
	seenAt time.Time
}

// placedAt returns when this leader first saw the gang in the epoch, which is now
// for a new one.
func (l *leader) placedAt(id string, epoch uint64, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.placements[id]
	if !ok || p.epoch != epoch {
		p = placement{epoch: epoch, seenAt: now}
		l.placements[id] = p
	}
	return p.seenAt
}

// jobVersion holds the fields of a job that the scheduler must be told of when they
// change.
type jobVersion struct {
	state    model.JobState
	epoch    uint64
	attempts int
	failedOn int
}

func jobVersionOf(j *state.Job) jobVersion {
	return jobVersion{state: j.State, epoch: j.Epoch, attempts: j.Attempts, failedOn: len(j.FailedOn)}
}

// activeLeader returns the leader's state, or nil unless this process is the leader.
func (c *Control) activeLeader() *leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Control) setLeader(l *leader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = l
}

// leaderLoop does the leader's work whenever this process is the leader, until
// ctx is done.
func (c *Control) leaderLoop(ctx context.Context) error {
	return kern.Every(ctx, leaderCheckInterval, func() { c.leadTerm(ctx) })
}

// leadTerm does the leader's work until the term ends. It does nothing unless
// this process is the leader.
func (c *Control) leadTerm(ctx context.Context) {
	st := c.node.Status()
	if st.Role != replog.Leader {
		return
	}
	l := &leader{c: c, term: st.Term, sched: sched.New(sched.Defaults())}
	if err := l.run(ctx); err != nil && ctx.Err() == nil {
		c.env.Log.Warn("leadership ended", zap.Uint64("term", l.term), zap.Error(err))
	}
	c.setLeader(nil)
}

var errTermEnded = errors.New("another term has begun")

func (l *leader) run(ctx context.Context) error {
	c := l.c
	if err := l.beginTerm(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer func() { _ = l.probes.Wait() }()
	defer cancel()
	c.setLeader(l)
	c.env.Log.Info("leading", zap.Uint64("term", l.term))
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		next := c.machine.nextChange()
		if err := l.step(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-next:
			kern.Sleep(ctx, minStepPause)
		}
		if st := c.node.Status(); st.Role != replog.Leader || st.Term != l.term {
			return errTermEnded
		}
	}
}

// beginTerm commits the new term, after which commands of former leaders have no
// effect, and fills the scheduler from the committed state.
func (l *leader) beginTerm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	data, err := state.Encode(state.Command{Term: l.term, Now: l.c.env.Clock.Now(), BeginTerm: &state.BeginTerm{}})
	if err != nil {
		return err
	}
	if _, _, err := l.c.node.Propose(ctx, data); err != nil {
		return errors.Wrap(err, "begin term")
	}
	l.c.nodes.beginTerm(slices.Collect(maps.Keys(l.c.links)))
	l.resetScheduler(l.c.state.View())
	return nil
}

// resetScheduler resets the scheduler to the committed state.
func (l *leader) resetScheduler(v state.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.knownJobs, l.knownTeams, l.knownWorkers = map[string]jobVersion{}, map[string]bool{}, map[string]model.Worker{}
	l.placements = map[string]placement{}
	var workers []model.Worker
	for w := range v.Workers() {
		l.knownWorkers[w.Name] = w.Worker
		workers = append(workers, w.Worker)
	}
	var jobs []model.Job
	for j := range v.LiveJobs() {
		l.knownJobs[j.ID] = jobVersionOf(j)
		jobs = append(jobs, j.Job)
	}
	teams := v.Config().Teams()
	for _, t := range teams {
		l.knownTeams[t.Name] = true
	}
	l.configRevision = v.Revision()
	l.sched.Reset(workers, teams, jobs, l.c.env.Clock.Now())
}

// step does one round of the leader's work: it updates the scheduler with what was
// committed, and commits the state changes of gangs and the scheduler's decisions.
func (l *leader) step(ctx context.Context) error {
	now := l.c.env.Clock.Now()
	if l.c.platform != nil && !now.Before(l.nextFleetRefresh) {
		l.nextFleetRefresh = now.Add(fleetRefreshInterval)
		l.refreshFleet(ctx)
	}
	if !now.Before(l.nextExpiry) {
		l.nextExpiry = now.Add(expiryInterval)
		if _, err := l.c.propose(ctx, state.Command{Expire: &state.Expire{}}); err != nil {
			return err
		}
		if err := l.settleLostClaims(ctx, now); err != nil {
			return err
		}
	}
	v := l.c.state.View()
	l.updateScheduler(v)
	if err := l.markLostWorkers(ctx, v); err != nil {
		return err
	}
	if err := l.advanceGangs(ctx, v); err != nil {
		return err
	}
	return l.commitDecisions(ctx)
}

// updateScheduler updates the scheduler with what was committed since the last
// view. A view older than that is ignored.
func (l *leader) updateScheduler(v state.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Index() < l.viewIndex {
		return
	}
	l.viewIndex = v.Index()
	now := l.c.env.Clock.Now()
	for w := range v.Workers() {
		if l.knownWorkers[w.Name] != w.Worker {
			l.knownWorkers[w.Name] = w.Worker
			l.sched.SetWorker(w.Worker, now)
		}
	}
	for name := range l.knownWorkers {
		if _, ok := v.Worker(name); !ok {
			delete(l.knownWorkers, name)
			l.sched.DropWorker(name, now)
		}
	}
	l.updateTeams(v, now)
	live := map[string]bool{}
	for j := range v.LiveJobs() {
		live[j.ID] = true
		l.updateJob(j, now)
	}
	for id := range l.knownJobs {
		if live[id] {
			continue
		}
		delete(l.knownJobs, id)
		delete(l.placements, id)
		if j, ok := v.Job(id); ok {
			l.sched.SetJob(j.Job, now)
		} else {
			l.sched.DropJob(id)
		}
	}
}

func (l *leader) updateJob(j *state.Job, now time.Time) {
	if m := jobVersionOf(j); l.knownJobs[j.ID] != m {
		l.knownJobs[j.ID] = m
		l.sched.SetJob(j.Job, now)
	}
}

func (l *leader) updateTeams(v state.View, now time.Time) {
	if l.configRevision == v.Revision() {
		return
	}
	l.configRevision = v.Revision()
	configured := map[string]bool{}
	for _, t := range v.Config().Teams() {
		configured[t.Name] = true
		l.knownTeams[t.Name] = true
		l.sched.SetTeam(t, now)
	}
	for name := range l.knownTeams {
		if !configured[name] {
			delete(l.knownTeams, name)
			l.sched.DropTeam(name, now)
		}
	}
}

// commitDecisions commits the scheduler's decisions and starts its probes. A
// decision that can't be committed is undone in the scheduler.
func (l *leader) commitDecisions(ctx context.Context) error {
	l.mu.Lock()
	now := l.c.env.Clock.Now()
	decisions := l.sched.Decide(now)
	l.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(maxConcurrentProposals)
	for _, d := range decisions {
		if d.Kind == sched.Probe {
			l.probes.Go(func() error { return l.probe(ctx, d.Worker) })
			continue
		}
		g.Go(func() error { return l.commitDecision(ctx, d) })
	}
	return g.Wait()
}

func (l *leader) commitDecision(ctx context.Context, d sched.Decision) error {
	cmd, ok := l.commandFor(d)
	if !ok {
		return nil
	}
	res, err := l.c.propose(ctx, cmd)
	if err != nil {
		l.undoDecision(d)
		return err
	}
	log := l.c.env.Log.With(zap.String("kind", string(d.Kind)), zap.String("job", d.Job), zap.String("worker", d.Worker))
	if res.Err != nil {
		log.Info("decision refused by the state machine", zap.Error(res.Err))
		l.undoDecision(d)
		return nil
	}
	log.Info("decision committed", zap.String("reason", d.Reason))
	return nil
}

// undoDecision undoes a decision in the scheduler.
func (l *leader) undoDecision(d sched.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sched.Undo(d, l.c.env.Clock.Now())
}

// commandFor returns the command for a decision, or false for an unknown kind.
func (l *leader) commandFor(d sched.Decision) (state.Command, bool) {
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

// leaderDump is the leader's state as written by a dump.
type leaderDump struct {
	Term      uint64 `json:"term"`
	Queued    int    `json:"queued"`
	KnownJobs int    `json:"known"` // live jobs in the scheduler
}

func (l *leader) dump() *leaderDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &leaderDump{Term: l.term, Queued: l.sched.Queued(), KnownJobs: len(l.knownJobs)}
}
