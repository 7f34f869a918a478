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

// endedRetention is how long a task is listed after its end.
const endedRetention = 10 * time.Minute

// memberKey identifies one member of a job.
type memberKey struct {
	job    string
	member int
}

// Platform is a fake platform: workers, leases on them and the tasks that run under the
// leases. Leases advance only when a method is called, so that a test with its own clock
// sees the same events every time.
type Platform struct {
	// Journal holds all events for later checks.
	Journal Journal[Event]

	clock         Clock
	usageLag      time.Duration // age of the usage that Usage reports
	mu            sync.Mutex
	workers       []model.Worker
	leases        []*lease                    // in order of their ids; leases that ended long ago are dropped
	byID          map[string]*lease           // the same leases
	leaseCount    int                         // number of leases ever taken
	lastSweep     time.Time                   // when old leases were last dropped
	highestEpochs map[string]uint64           // highest epoch seen, by job
	savedWork     map[memberKey]time.Duration // work done by the last checkpoint
	faults        map[string]Fault            // by worker
}

// NewPlatform returns a platform with the given workers. The usage that it reports is as
// old as usageLag.
func NewPlatform(workers []model.Worker, usageLag time.Duration, clock Clock) *Platform {
	return &Platform{
		clock:         clock,
		usageLag:      usageLag,
		workers:       slices.Clone(workers),
		byID:          map[string]*lease{},
		lastSweep:     clock.Now(),
		highestEpochs: map[string]uint64{},
		savedWork:     map[memberKey]time.Duration{},
		faults:        map[string]Fault{},
	}
}

// Serve answers HTTP requests until ctx is done.
func (p *Platform) Serve(ctx context.Context, ln net.Listener) error {
	return serveHTTP(ctx, ln, p.Handler(), nil)
}

// SetFault sets the faults of a worker. The zero Fault removes them.
func (p *Platform) SetFault(worker string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.advanceLeases()
	p.faults[worker] = f
	if !f.Dead {
		return
	}
	for _, l := range p.leases {
		if l.task.Worker == worker && l.task.State.Live() {
			l.end(now, platf.TaskFailed, "worker died")
			p.recordEvent(EventEnd, l, now, "")
		}
	}
}

// Workers returns the fleet.
func (p *Platform) Workers() []model.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.workers)
}

// Tasks returns the tasks of a worker, or of all workers if name is empty. Tasks that
// ended more than about ten minutes ago are left out.
func (p *Platform) Tasks(name string) []platf.Task {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceLeases()
	list := []platf.Task{}
	for _, l := range p.leases {
		if name == "" || l.task.Worker == name {
			list = append(list, l.task)
		}
	}
	return list
}

// Usage returns the resources that were in use on each worker, as old as usageLag.
func (p *Platform) Usage() []platf.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.advanceLeases().Add(-p.usageLag)
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
	now := p.advanceLeases()
	w, ok := p.workerByName(r.Worker)
	if !ok {
		return platf.Task{}, newRefusal(platf.CodeUnknown, "no worker %q", r.Worker)
	}
	if err := validateHold(r, now); err != nil {
		return platf.Task{}, err
	}
	if err := p.checkEpoch(r.Job, r.Epoch); err != nil {
		p.Journal.Add(Event{Kind: EventRefuse, At: now, Worker: r.Worker, Job: r.Job, Member: r.Member, Epoch: r.Epoch, Reason: err.Error()})
		return platf.Task{}, err
	}
	if l := p.findLease(r); l != nil {
		return l.task, nil
	}
	if err := p.checkCapacity(w, r); err != nil {
		return platf.Task{}, err
	}
	p.leaseCount++
	l := &lease{speed: w.Speed, task: platf.Task{
		ID: fmt.Sprintf("l%d", p.leaseCount), Worker: r.Worker, Job: r.Job, Member: r.Member, Epoch: r.Epoch,
		Cores: r.Cores, Memory: r.Memory, Accels: r.Accels,
		State: platf.TaskHeld, Held: now, Deadline: r.Deadline, Share: 1,
	}}
	p.leases = append(p.leases, l)
	p.byID[l.task.ID] = l
	p.recordEvent(EventHold, l, now, "")
	return l.task, nil
}

// Start starts the command of a held lease.
func (p *Platform) Start(id string, r platf.StartRequest) (platf.Task, error) {
	return p.updateLease(id, r.Epoch, EventStart, func(l *lease, now time.Time) error {
		if l.task.State == platf.TaskRunning {
			return nil
		}
		if err := l.setCommand(r.Command); err != nil {
			return newRefusal(platf.CodeMalformed, "command: %v", err)
		}
		l.doneWork = p.savedWork[memberKey{l.task.Job, l.task.Member}]
		l.fails = l.fails || p.faults[l.task.Worker].Fails
		l.task.State, l.task.Started, l.updatedAt = platf.TaskRunning, now, now
		p.recordEvent(EventStart, l, now, "")
		return nil
	})
}

// Renew sets a new deadline for a lease.
func (p *Platform) Renew(id string, r platf.RenewRequest) (platf.Task, error) {
	return p.updateLease(id, r.Epoch, EventRenew, func(l *lease, now time.Time) error {
		if !r.Deadline.After(now) {
			return newRefusal(platf.CodeMalformed, "deadline has passed")
		}
		l.task.Deadline = r.Deadline
		p.recordEvent(EventRenew, l, now, "")
		return nil
	})
}

// Checkpoint saves the progress of a running task. The next start of the same member of
// the job resumes from it.
func (p *Platform) Checkpoint(id string, r platf.CheckpointRequest) (platf.Task, error) {
	return p.updateLease(id, r.Epoch, EventCheckpoint, func(l *lease, now time.Time) error {
		l.updateProgress(now)
		l.savedWork = l.doneWork
		l.task.SavedMs = l.savedWork.Milliseconds()
		p.savedWork[memberKey{l.task.Job, l.task.Member}] = l.savedWork
		p.recordEvent(EventCheckpoint, l, now, "")
		return nil
	})
}

// Throttle sets the share of its worker's speed at which a task runs.
func (p *Platform) Throttle(id string, r platf.ThrottleRequest) (platf.Task, error) {
	return p.updateLease(id, r.Epoch, EventThrottle, func(l *lease, now time.Time) error {
		if r.Share <= 0 || r.Share > 1 {
			return newRefusal(platf.CodeMalformed, "share %v: want above 0, at most 1", r.Share)
		}
		l.updateProgress(now)
		l.task.Share = r.Share
		p.recordEvent(EventThrottle, l, now, "")
		return nil
	})
}

// Stop ends a lease and its task. A request with a higher epoch than that of the lease is
// accepted, so that a run of the job under a new epoch can stop what the last one left.
func (p *Platform) Stop(id string, r platf.StopRequest) (platf.Task, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.advanceLeases()
	l, err := p.leaseByID(id)
	if err != nil {
		return platf.Task{}, err
	}
	if err := p.checkEpoch(l.task.Job, r.Epoch); err != nil {
		p.recordEvent(EventRefuse, l, now, err.Error())
		return platf.Task{}, err
	}
	if !l.task.State.Live() {
		return l.task, nil
	}
	state := platf.TaskStopped
	if l.savedWork > 0 {
		state = platf.TaskCheckpointed
	}
	l.end(now, state, "stopped on request")
	p.recordEvent(EventEnd, l, now, "")
	return l.task, nil
}

// updateLease calls apply for a live lease. It refuses unless epoch is that of the
// lease and the highest seen for its job.
func (p *Platform) updateLease(id string, epoch uint64, kind EventKind, apply func(*lease, time.Time) error) (platf.Task, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.advanceLeases()
	l, err := p.leaseByID(id)
	if err != nil {
		return platf.Task{}, err
	}
	if highest := p.highestEpochs[l.task.Job]; epoch != l.task.Epoch || epoch < highest {
		err := newRefusal(platf.CodeFenced, "epoch %d, the lease has %d and the job %d", epoch, l.task.Epoch, highest)
		err.Epoch = highest
		p.recordEvent(EventRefuse, l, now, string(kind)+": "+err.Message)
		return platf.Task{}, err
	}
	if !l.task.State.Live() {
		return l.task, newRefusal(platf.CodeExpired, "lease is %s: %s", l.task.State, l.task.Reason)
	}
	if err := apply(l, now); err != nil {
		return platf.Task{}, err
	}
	if l.advance(now) {
		p.recordEvent(EventEnd, l, now, "")
	}
	return l.task, nil
}

// advanceLeases ends all leases whose end has come, records their ends in order of time and
// returns the current time.
func (p *Platform) advanceLeases() time.Time {
	now := p.clock.Now()
	var ended []*lease
	for _, l := range p.leases {
		if l.advance(now) {
			ended = append(ended, l)
		}
	}
	slices.SortStableFunc(ended, func(a, b *lease) int { return a.task.Ended.Compare(b.task.Ended) })
	for _, l := range ended {
		p.recordEvent(EventEnd, l, l.task.Ended, "")
	}
	p.dropOldLeases(now)
	return now
}

// dropOldLeases drops the leases that ended longer than endedRetention ago, at most once in
// a tenth of that time.
func (p *Platform) dropOldLeases(now time.Time) {
	if now.Sub(p.lastSweep) < endedRetention/10 {
		return
	}
	p.lastSweep = now
	p.leases = slices.DeleteFunc(p.leases, func(l *lease) bool {
		old := !l.task.State.Live() && now.Sub(l.task.Ended) > endedRetention
		if old {
			delete(p.byID, l.task.ID)
		}
		return old
	})
}

// checkEpoch refuses an epoch below the highest seen for the job, otherwise records it
// as the highest.
func (p *Platform) checkEpoch(job string, epoch uint64) error {
	highest := p.highestEpochs[job]
	if epoch < highest {
		err := newRefusal(platf.CodeFenced, "epoch %d is below %d", epoch, highest)
		err.Epoch = highest
		return err
	}
	p.highestEpochs[job] = epoch
	return nil
}

// findLease returns the live lease that an equal earlier request has taken, or nil.
func (p *Platform) findLease(r platf.HoldRequest) *lease {
	for _, l := range p.leases {
		t := l.task
		if t.State.Live() && t.Worker == r.Worker && t.Job == r.Job && t.Member == r.Member && t.Epoch == r.Epoch {
			return l
		}
	}
	return nil
}

// checkCapacity refuses a request that exceeds what is free on the worker.
func (p *Platform) checkCapacity(w model.Worker, r platf.HoldRequest) error {
	cores, memory, accels := r.Cores, r.Memory, r.Accels
	for _, l := range p.leases {
		if l.task.Worker == w.Name && l.task.State.Live() {
			cores, memory, accels = cores+l.task.Cores, memory+l.task.Memory, accels+l.task.Accels
		}
	}
	if cores > w.Cores || memory > w.Memory || accels > w.Accels {
		return newRefusal(platf.CodeFull, "worker %s would hold %d cores, %d bytes and %d accelerators", w.Name, cores, memory, accels)
	}
	return nil
}

// workerByName returns the worker with the given name and whether there is one.
func (p *Platform) workerByName(name string) (model.Worker, bool) {
	i := slices.IndexFunc(p.workers, func(w model.Worker) bool { return w.Name == name })
	if i < 0 {
		return model.Worker{}, false
	}
	return p.workers[i], true
}

// leaseByID returns the lease with the given id, or a refusal if there is none.
func (p *Platform) leaseByID(id string) (*lease, error) {
	l, ok := p.byID[id]
	if !ok {
		return nil, newRefusal(platf.CodeUnknown, "no lease %q", id)
	}
	return l, nil
}

// recordEvent records an event of a lease. An empty reason stands for the task's reason.
func (p *Platform) recordEvent(kind EventKind, l *lease, at time.Time, reason string) {
	t := l.task
	if reason == "" {
		reason = t.Reason
	}
	p.Journal.Add(Event{
		Kind: kind, At: at, Lease: t.ID, Worker: t.Worker, Job: t.Job, Member: t.Member, Epoch: t.Epoch,
		State: string(t.State), Reason: reason,
	})
}

// validateHold refuses an invalid request for a lease.
func validateHold(r platf.HoldRequest, now time.Time) error {
	var problems []string
	if r.Job == "" {
		problems = append(problems, "job is empty")
	}
	if r.Epoch == 0 {
		problems = append(problems, "epoch is 0")
	}
	if r.Cores < 0 || r.Memory < 0 || r.Accels < 0 {
		problems = append(problems, "cores, memory or accels are negative")
	}
	if !r.Deadline.After(now) {
		problems = append(problems, "deadline has passed")
	}
	if len(problems) == 0 {
		return nil
	}
	return newRefusal(platf.CodeMalformed, "%s", strings.Join(problems, "; "))
}

func newRefusal(code platf.Code, format string, args ...any) *platf.Refusal {
	return &platf.Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}
