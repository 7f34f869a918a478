package fakes

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/platf"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// keepEnded is how long a task is listed after its end.
const keepEnded = 10 * time.Minute

// memberKey names one member of a job.
type memberKey struct {
	job    string
	member int
}

// Platform is a stand-in of the platform: workers, leases on them and the tasks
// that run under these. Time passes only when it is asked something, so that a
// test with its own clock sees the same events every time.
type Platform struct {
	// Journal holds everything that happened, for checks afterwards.
	Journal Journal[Event]

	clock   Clock
	lag     time.Duration // of what usage reports
	mu      sync.Mutex
	workers []model.Worker
	leases  []*lease          // in order of their ids; those ended long ago are dropped
	byID    map[string]*lease // the same
	taken   int               // leases ever taken
	swept   time.Time         // when old leases were dropped last
	epochs  map[string]uint64 // highest epoch seen, by job
	saved   map[memberKey]time.Duration
	faults  map[string]Fault // by worker
}

// NewPlatform returns a platform that owns the given workers and reports usage
// as of lag ago.
func NewPlatform(workers []model.Worker, lag time.Duration, clock Clock) *Platform {
	return &Platform{
		clock:   clock,
		lag:     lag,
		workers: slices.Clone(workers),
		byID:    map[string]*lease{},
		swept:   clock.Now(),
		epochs:  map[string]uint64{},
		saved:   map[memberKey]time.Duration{},
		faults:  map[string]Fault{},
	}
}

// Serve answers HTTP requests until ctx is done.
func (p *Platform) Serve(ctx context.Context, ln net.Listener) error {
	return serveHTTP(ctx, ln, p.Handler(), nil)
}

// SetFault changes what is wrong with a worker. The zero Fault heals it.
func (p *Platform) SetFault(worker string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.advance()
	p.faults[worker] = f
	if !f.Dead {
		return
	}
	for _, l := range p.leases {
		if l.task.Worker == worker && l.task.State.Live() {
			l.end(now, platf.TaskFailed, "worker died")
			p.note(EventEnd, l, now, "")
		}
	}
}

// Workers returns the fleet.
func (p *Platform) Workers() []model.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.workers)
}

// Tasks returns the tasks of a worker, or of every worker if name is empty. Tasks
// that ended more than ten minutes ago are left out.
func (p *Platform) Tasks(name string) []platf.Task {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	list := []platf.Task{}
	for _, l := range p.leases {
		if name == "" || l.task.Worker == name {
			list = append(list, l.task)
		}
	}
	return list
}

// Usage returns what was in use on each worker, lag ago.
func (p *Platform) Usage() []platf.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.advance().Add(-p.lag)
	list := make([]platf.Usage, 0, len(p.workers))
	for _, w := range p.workers {
		u := platf.Usage{Worker: w.Name, At: at}
		for _, l := range p.leases {
			t := l.task
			if t.Worker == w.Name && !t.Held.After(at) && (t.Ended.IsZero() || t.Ended.After(at)) {
				u.Cores, u.Memory, u.Accels = u.Cores+t.Cores, u.Memory+t.Memory, u.Accels+t.Accels
			}
		}
		list = append(list, u)
	}
	return list
}

// Hold takes a lease.
func (p *Platform) Hold(r platf.HoldRequest) (platf.Task, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.advance()
	w, known := p.worker(r.Worker)
	if !known {
		return platf.Task{}, refuse(platf.CodeUnknown, "no worker %q", r.Worker)
	}
	if fault := checkHold(r, now); fault != nil {
		return platf.Task{}, fault
	}
	if err := p.fence(r.Job, r.Epoch); err != nil {
		p.Journal.Add(Event{Kind: EventRefuse, At: now, Worker: r.Worker, Job: r.Job, Member: r.Member, Epoch: r.Epoch, Reason: err.Error()})
		return platf.Task{}, err
	}
	if l := p.same(r); l != nil {
		return l.task, nil
	}
	if err := p.fits(w, r); err != nil {
		return platf.Task{}, err
	}
	p.taken++
	l := &lease{speed: w.Speed, task: platf.Task{
		ID: fmt.Sprintf("l%d", p.taken), Worker: r.Worker, Job: r.Job, Member: r.Member, Epoch: r.Epoch,
		Cores: r.Cores, Memory: r.Memory, Accels: r.Accels,
		State: platf.TaskHeld, Held: now, Deadline: r.Deadline, Share: 1,
	}}
	p.leases = append(p.leases, l)
	p.byID[l.task.ID] = l
	p.note(EventHold, l, now, "")
	return l.task, nil
}

// Start starts the command of a held lease.
func (p *Platform) Start(id string, r platf.StartRequest) (platf.Task, error) {
	return p.change(id, r.Epoch, EventStart, func(l *lease, now time.Time) error {
		if l.task.State == platf.TaskRunning {
			return nil
		}
		if err := l.command(r.Command); err != nil {
			return refuse(platf.CodeMalformed, "command: %v", err)
		}
		l.done = p.saved[memberKey{l.task.Job, l.task.Member}]
		l.fails = l.fails || p.faults[l.task.Worker].Fails
		l.task.State, l.task.Started, l.since = platf.TaskRunning, now, now
		p.note(EventStart, l, now, "")
		return nil
	})
}

// Renew moves the deadline of a lease.
func (p *Platform) Renew(id string, r platf.RenewRequest) (platf.Task, error) {
	return p.change(id, r.Epoch, EventRenew, func(l *lease, now time.Time) error {
		if !r.Deadline.After(now) {
			return refuse(platf.CodeMalformed, "deadline has passed")
		}
		l.task.Deadline = r.Deadline
		p.note(EventRenew, l, now, "")
		return nil
	})
}

// Checkpoint saves the progress of a running task. The next start of the same
// member of the job goes on from there.
func (p *Platform) Checkpoint(id string, r platf.CheckpointRequest) (platf.Task, error) {
	return p.change(id, r.Epoch, EventCheckpoint, func(l *lease, now time.Time) error {
		l.settle(now)
		l.saved = l.done
		l.task.SavedMs = l.saved.Milliseconds()
		p.saved[memberKey{l.task.Job, l.task.Member}] = l.saved
		p.note(EventCheckpoint, l, now, "")
		return nil
	})
}

// Throttle sets the share of full speed that a task runs at.
func (p *Platform) Throttle(id string, r platf.ThrottleRequest) (platf.Task, error) {
	return p.change(id, r.Epoch, EventThrottle, func(l *lease, now time.Time) error {
		if r.Share <= 0 || r.Share > 1 {
			return refuse(platf.CodeMalformed, "share %v: want above 0, at most 1", r.Share)
		}
		l.settle(now)
		l.task.Share = r.Share
		p.note(EventThrottle, l, now, "")
		return nil
	})
}

// Stop ends a lease and its task. An epoch above the lease's may stop it too, so
// that a successor can clear what its predecessor left.
func (p *Platform) Stop(id string, r platf.StopRequest) (platf.Task, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.advance()
	l, err := p.lease(id)
	if err != nil {
		return platf.Task{}, err
	}
	if err := p.fence(l.task.Job, r.Epoch); err != nil {
		p.note(EventRefuse, l, now, err.Error())
		return platf.Task{}, err
	}
	if !l.task.State.Live() {
		return l.task, nil
	}
	state := platf.TaskStopped
	if l.saved > 0 {
		state = platf.TaskCheckpointed
	}
	l.end(now, state, "stopped on request")
	p.note(EventEnd, l, now, "")
	return l.task, nil
}

// change applies a change to a live lease whose epoch is the given one and the
// highest of its job.
func (p *Platform) change(id string, epoch uint64, kind EventKind, apply func(*lease, time.Time) error) (platf.Task, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.advance()
	l, err := p.lease(id)
	if err != nil {
		return platf.Task{}, err
	}
	if highest := p.epochs[l.task.Job]; epoch != l.task.Epoch || epoch < highest {
		err := refuse(platf.CodeFenced, "epoch %d, the lease has %d and the job %d", epoch, l.task.Epoch, highest)
		err.Epoch = highest
		p.note(EventRefuse, l, now, string(kind)+": "+err.Message)
		return platf.Task{}, err
	}
	if !l.task.State.Live() {
		return l.task, refuse(platf.CodeExpired, "lease is %s: %s", l.task.State, l.task.Reason)
	}
	if err := apply(l, now); err != nil {
		return platf.Task{}, err
	}
	if l.advance(now) {
		p.note(EventEnd, l, now, "")
	}
	return l.task, nil
}

// advance moves every lease to the present, in order of time, and returns it.
func (p *Platform) advance() time.Time {
	now := p.clock.Now()
	var ended []*lease
	for _, l := range p.leases {
		if l.advance(now) {
			ended = append(ended, l)
		}
	}
	slices.SortStableFunc(ended, func(a, b *lease) int { return a.task.Ended.Compare(b.task.Ended) })
	for _, l := range ended {
		p.note(EventEnd, l, l.task.Ended, "")
	}
	p.sweep(now)
	return now
}

// sweep drops leases that ended long ago.
func (p *Platform) sweep(now time.Time) {
	if now.Sub(p.swept) < keepEnded/10 {
		return
	}
	p.swept = now
	p.leases = slices.DeleteFunc(p.leases, func(l *lease) bool {
		old := !l.task.State.Live() && now.Sub(l.task.Ended) > keepEnded
		if old {
			delete(p.byID, l.task.ID)
		}
		return old
	})
}

// fence refuses an epoch below the highest that was seen for the job, and keeps
// the highest.
func (p *Platform) fence(job string, epoch uint64) error {
	highest := p.epochs[job]
	if epoch < highest {
		err := refuse(platf.CodeFenced, "epoch %d is below %d", epoch, highest)
		err.Epoch = highest
		return err
	}
	p.epochs[job] = epoch
	return nil
}

// same returns the live lease that the same request has taken before.
func (p *Platform) same(r platf.HoldRequest) *lease {
	for _, l := range p.leases {
		t := l.task
		if t.State.Live() && t.Worker == r.Worker && t.Job == r.Job && t.Member == r.Member && t.Epoch == r.Epoch {
			return l
		}
	}
	return nil
}

func (p *Platform) fits(w model.Worker, r platf.HoldRequest) error {
	cores, memory, accels := r.Cores, r.Memory, r.Accels
	for _, l := range p.leases {
		if l.task.Worker == w.Name && l.task.State.Live() {
			cores, memory, accels = cores+l.task.Cores, memory+l.task.Memory, accels+l.task.Accels
		}
	}
	if cores > w.Cores || memory > w.Memory || accels > w.Accels {
		return refuse(platf.CodeFull, "worker %s would hold %d cores, %d bytes and %d accelerators", w.Name, cores, memory, accels)
	}
	return nil
}

func (p *Platform) worker(name string) (model.Worker, bool) {
	i := slices.IndexFunc(p.workers, func(w model.Worker) bool { return w.Name == name })
	if i < 0 {
		return model.Worker{}, false
	}
	return p.workers[i], true
}

func (p *Platform) lease(id string) (*lease, error) {
	l, known := p.byID[id]
	if !known {
		return nil, refuse(platf.CodeUnknown, "no lease %q", id)
	}
	return l, nil
}

func (p *Platform) note(kind EventKind, l *lease, at time.Time, reason string) {
	t := l.task
	if reason == "" {
		reason = t.Reason
	}
	p.Journal.Add(Event{
		Kind: kind, At: at, Lease: t.ID, Worker: t.Worker, Job: t.Job, Member: t.Member, Epoch: t.Epoch,
		State: string(t.State), Reason: reason,
	})
}

// checkHold refuses a request that could never be held.
func checkHold(r platf.HoldRequest, now time.Time) error {
	var faults []string
	if r.Job == "" {
		faults = append(faults, "job is empty")
	}
	if r.Epoch == 0 {
		faults = append(faults, "epoch is 0")
	}
	if r.Cores < 0 || r.Memory < 0 || r.Accels < 0 {
		faults = append(faults, "cores, memory or accels are negative")
	}
	if !r.Deadline.After(now) {
		faults = append(faults, "deadline has passed")
	}
	if len(faults) == 0 {
		return nil
	}
	return refuse(platf.CodeMalformed, "%s", strings.Join(faults, "; "))
}

func refuse(code platf.Code, format string, args ...any) *platf.Refusal {
	return &platf.Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}
