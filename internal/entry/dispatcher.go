package entry

import (
	"sync"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/route"
	"github.com/knapweedlug/knapweedlug/internal/trace"
)

// pendingRequest is a request that is queued or running.
type pendingRequest struct {
	req      *callRequest
	assigned chan assignment // receives when the request is assigned a credit or expires
}

// assignment is the credit that a queued request was assigned, or its expiry.
type assignment struct {
	credit  route.Credit
	agent   *agent
	short   bool // the credit is for short requests
	expired bool
}

// dispatcher matches queued requests with the credits that agents granted.
// Packages admit and route make the decisions; the dispatcher serializes
// access to them.
type dispatcher struct {
	clock    kern.Clock
	recorder *recorder

	mu          sync.Mutex
	queue       *admit.Queue
	pickers     map[string]*route.Picker   // by service
	agents      map[string]*agent          // by agent name
	queued      map[string]*pendingRequest // by request id
	slots       map[string]int             // total slots, by service
	otherUsage  map[string]int             // slots in use through other entries, by team
	retryBudget admit.Budget
}

// newDispatcher returns a dispatcher without teams, services and agents. rec may
// be nil.
func newDispatcher(clock kern.Clock, opt admit.Options, rec *recorder) *dispatcher {
	return &dispatcher{
		clock:       clock,
		recorder:    rec,
		queue:       admit.New(opt),
		pickers:     map[string]*route.Picker{},
		agents:      map[string]*agent{},
		queued:      map[string]*pendingRequest{},
		slots:       map[string]int{},
		otherUsage:  map[string]int{},
		retryBudget: admit.NewBudget(retryTokensPerSuccess, retryBurst),
	}
}

// applyConfig applies a configuration.
func (d *dispatcher) applyConfig(cfg conf.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.SetTeams(cfg.Teams())
	d.queue.SetServices(cfg.Services())
	for team, n := range d.otherUsage {
		d.queue.SetRunningElsewhere(team, n)
	}
	d.updateSlots()
}

// updateSlots tells the queue the number of slots of each service and the number
// of entries that share them. The caller holds d.mu.
func (d *dispatcher) updateSlots() {
	clear(d.slots)
	entries := map[string]int{}
	for _, a := range d.agents {
		d.slots[a.service] += a.slots
		entries[a.service] = max(1, entries[a.service], a.entryCount)
	}
	for service, n := range d.slots {
		d.queue.SetCapacity(service, n, entries[service])
	}
}

// picker returns the picker of a service and creates it if there is none. The
// caller holds d.mu.
func (d *dispatcher) picker(service string) *route.Picker {
	p := d.pickers[service]
	if p == nil {
		p = route.NewPicker()
		d.pickers[service] = p
	}
	return p
}

// push queues a request or returns the reason for its refusal.
func (d *dispatcher) push(pr *pendingRequest) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recorder.recordArrival(pr.req)
	if err := d.queue.Push(pr.req.Request, d.clock.Now()); err != nil {
		d.recorder.record(trace.Event{Kind: trace.Refuse, ID: pr.req.ID, Reason: err.Error()})
		return err
	}
	d.queued[pr.req.ID] = pr
	d.match(pr.req.Service)
	return nil
}

// requeueNotRun records that an attempt certainly did not run, and queues the request
// again if requeue is set. It reports whether the request is queued.
func (d *dispatcher) requeueNotRun(pr *pendingRequest, server string, requeue bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.recorder.record(trace.Event{Kind: trace.Return, ID: pr.req.ID, Server: server})
	d.picker(pr.req.Service).DoneNotRun(server)
	if !requeue {
		d.queue.Done(pr.req.Request, 0, admit.OutcomeNotRun, now)
		return false
	}
	d.queued[pr.req.ID] = pr
	if !d.queue.Requeue(pr.req.ID, now) {
		delete(d.queued, pr.req.ID)
		return false
	}
	d.match(pr.req.Service)
	return true
}

// abandon ends a request that was assigned a credit but won't be sent, and makes
// the credit available again.
func (d *dispatcher) abandon(pr *pendingRequest, asg assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.picker(pr.req.Service)
	p.DoneNotRun(asg.credit.Server)
	if d.agents[asg.credit.Server] == asg.agent {
		p.AddCredit(asg.credit)
		d.recorder.record(trace.Event{Kind: trace.Grant, Server: asg.credit.Server, CreditID: asg.credit.ID})
	}
	d.recorder.record(trace.Event{Kind: trace.Cancel, ID: pr.req.ID})
	d.queue.Done(pr.req.Request, 0, admit.OutcomeNotRun, d.clock.Now())
	d.match(pr.req.Service)
}

// cancel removes a request from the queue. It reports false if the request was
// already assigned a credit or has ended.
func (d *dispatcher) cancel(pr *pendingRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.queued, pr.req.ID)
	ok := d.queue.Cancel(pr.req.ID, d.clock.Now())
	if ok {
		d.recorder.record(trace.Event{Kind: trace.Cancel, ID: pr.req.ID})
		d.signalDemand(pr.req.Service)
	}
	return ok
}

// match assigns credits to the service's queued requests until one or the other
// runs out. The caller holds d.mu.
func (d *dispatcher) match(service string) {
	now := d.clock.Now()
	p := d.picker(service)
	for {
		slot := p.BestSlot(now)
		if slot.Class == admit.NoSlot {
			break
		}
		r, ok := d.queue.PopSlot(service, slot, now)
		if !ok {
			break
		}
		d.assign(p, r, now)
	}
	d.signalDemand(service)
}

// assign assigns a credit to a request taken from the queue. The request expires if
// there is none. The caller holds d.mu.
func (d *dispatcher) assign(p *route.Picker, r admit.Request, now time.Time) {
	c, ok := p.Pick(r.Class, now)
	pr := d.queued[r.ID]
	a := d.agents[c.Server]
	delete(d.queued, r.ID)
	if !ok || pr == nil || a == nil {
		d.queue.Done(r, 0, admit.OutcomeNotRun, now)
		if pr != nil {
			pr.assigned <- assignment{expired: true}
		}
		return
	}
	pr.req.Class = r.Class
	d.recorder.record(trace.Event{Kind: trace.Send, ID: r.ID, Server: c.Server, CreditID: c.ID})
	pr.assigned <- assignment{credit: c, agent: a, short: c.Class == admit.ShortSlot}
}

// expire ends the queued requests that can no longer meet their deadline.
func (d *dispatcher) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.queued) == 0 {
		return
	}
	for _, r := range d.queue.Expire(d.clock.Now()) {
		if pr := d.queued[r.ID]; pr != nil {
			delete(d.queued, r.ID)
			d.recorder.record(trace.Event{Kind: trace.Refuse, ID: r.ID, Reason: "expired"})
			pr.assigned <- assignment{expired: true}
		}
	}
}

// complete ends an attempt that ran or may have run, and updates the statistics of
// the server and the retry budget.
func (d *dispatcher) complete(pr *pendingRequest, server string, elapsed time.Duration, outcome admit.Outcome, healthy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	res := route.Result{ExpectedRunTime: d.queue.ExpectedRunTime(pr.req.Request), RunTime: elapsed, OK: healthy}
	mean := d.picker(pr.req.Service).Done(server, res, now)
	d.queue.Done(pr.req.Request, mean, outcome, now)
	if healthy {
		d.retryBudget = d.retryBudget.WithSuccess()
	}
	d.match(pr.req.Service)
}

// spendRetry takes one retry from the retry budget and reports whether it is allowed.
func (d *dispatcher) spendRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.retryBudget.WithRetry()
	d.retryBudget = b
	return ok
}

// countAsLong counts a running short request as long from now on.
func (d *dispatcher) countAsLong(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.MarkLong(id)
}

// signalDemand wakes the demand reports to all agents of a service. The caller
// holds d.mu.
func (d *dispatcher) signalDemand(service string) {
	for _, a := range d.agents {
		if a.service == service {
			a.signalDemand()
		}
	}
}

// dispatcherDump is the state of the dispatcher as written to a dump.
type dispatcherDump struct {
	Queued  int                     `json:"queued"`
	Demand  map[string]admit.Demand `json:"demand"`
	Running map[string]int          `json:"running"` // by team
	Slots   map[string]int          `json:"slots"`
}

// dump returns the state of the dispatcher for the configured teams and services.
func (d *dispatcher) dump(cfg conf.Config) dispatcherDump {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := dispatcherDump{Queued: d.queue.Len(), Demand: map[string]admit.Demand{}, Running: map[string]int{}, Slots: map[string]int{}}
	for _, s := range cfg.Services() {
		out.Demand[s.Name] = d.queue.Demand(s.Name)
		out.Slots[s.Name] = d.slots[s.Name]
	}
	for _, t := range cfg.Teams() {
		out.Running[t.Name] = d.queue.Running(t.Name)
	}
	return out
}

// totalSlots returns the total number of slots of all services.
func (d *dispatcher) totalSlots() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, slots := range d.slots {
		n += slots
	}
	return n
}

// queueDepth returns the number of queued requests.
func (d *dispatcher) queueDepth() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Len()
}
