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

// pending is a request that is queued or running.
type pending struct {
	req   *callRequest
	start chan start // receives when the request is assigned a credit or expires
}

// start is the credit that a queued request was assigned, or its expiry.
type start struct {
	credit  route.Credit
	agent   *agent
	short   bool // the credit is for short requests
	expired bool
}

// dispatcher matches queued requests with the credits that agents granted.
// Packages admit and route make the decisions; the dispatcher guards them with a
// lock.
type dispatcher struct {
	clock kern.Clock
	rec   *recorder

	mu      sync.Mutex
	queue   *admit.Queue
	pickers map[string]*route.Picker // by service
	agents  map[string]*agent        // by agent name
	queued  map[string]*pending      // by request id
	slots   map[string]int           // total slots, by service
	teams   map[string]int           // slots in use through other entries, by team
	budget  admit.Budget             // for retries
}

func newDispatcher(clock kern.Clock, opt admit.Options, rec *recorder) *dispatcher {
	return &dispatcher{
		clock:   clock,
		rec:     rec,
		queue:   admit.New(opt),
		pickers: map[string]*route.Picker{},
		agents:  map[string]*agent{},
		queued:  map[string]*pending{},
		slots:   map[string]int{},
		teams:   map[string]int{},
		budget:  admit.NewBudget(retryShare, retryBurst),
	}
}

// configure applies a configuration.
func (d *dispatcher) configure(cfg conf.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.SetTeams(cfg.Teams())
	d.queue.SetServices(cfg.Services())
	for team, n := range d.teams {
		d.queue.SetElsewhere(team, n)
	}
	d.fleet()
}

// fleet updates the queue with the number of slots of each service and of the
// entries that share them. The caller holds d.mu.
func (d *dispatcher) fleet() {
	clear(d.slots)
	entries := map[string]int{}
	for _, a := range d.agents {
		d.slots[a.service] += a.slots
		entries[a.service] = max(1, entries[a.service], a.entries)
	}
	for service, n := range d.slots {
		d.queue.SetFleet(service, n, entries[service])
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
func (d *dispatcher) push(f *pending) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.arrived(f.req)
	if err := d.queue.Push(f.req.Request, d.clock.Now()); err != nil {
		d.rec.write(trace.Event{Kind: trace.Refuse, ID: f.req.ID, Reason: err.Error()})
		return err
	}
	d.queued[f.req.ID] = f
	d.match(f.req.Service)
	return nil
}

// returned records that an attempt certainly did not run, and queues the request
// again if again is set. It reports whether the request is queued.
func (d *dispatcher) returned(f *pending, server string, again bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.rec.write(trace.Event{Kind: trace.Return, ID: f.req.ID, Server: server})
	d.picker(f.req.Service).Return(server)
	if !again {
		d.queue.Done(f.req.Request, 0, admit.NotRun, now)
		return false
	}
	d.queued[f.req.ID] = f
	if !d.queue.Requeue(f.req.ID, now) {
		delete(d.queued, f.req.ID)
		return false
	}
	d.match(f.req.Service)
	return true
}

// abandon ends a request that was assigned a credit but won't be sent, and makes
// the credit available again.
func (d *dispatcher) abandon(f *pending, s start) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.picker(f.req.Service)
	p.Return(s.credit.Server)
	if d.agents[s.credit.Server] == s.agent {
		p.Grant(s.credit)
		d.rec.write(trace.Event{Kind: trace.Grant, Server: s.credit.Server, Slot: s.credit.ID})
	}
	d.rec.write(trace.Event{Kind: trace.Cancel, ID: f.req.ID})
	d.queue.Done(f.req.Request, 0, admit.NotRun, d.clock.Now())
	d.match(f.req.Service)
}

// cancel removes a request from the queue. It reports false if the request was
// already assigned a credit or has ended.
func (d *dispatcher) cancel(f *pending) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.queued, f.req.ID)
	ok := d.queue.Cancel(f.req.ID, d.clock.Now())
	if ok {
		d.rec.write(trace.Event{Kind: trace.Cancel, ID: f.req.ID})
		d.tellDemand(f.req.Service)
	}
	return ok
}

// match assigns credits to the service's queued requests until one or the other
// runs out. The caller holds d.mu.
func (d *dispatcher) match(service string) {
	now := d.clock.Now()
	p := d.picker(service)
	for {
		slot := p.Offer(now)
		if slot.Class == admit.NoSlot {
			break
		}
		r, ok := d.queue.PopSlot(service, slot, now)
		if !ok {
			break
		}
		d.give(p, r, now)
	}
	d.tellDemand(service)
}

// give assigns a credit to a request taken from the queue. The request expires if
// there is none. The caller holds d.mu.
func (d *dispatcher) give(p *route.Picker, r admit.Request, now time.Time) {
	c, ok := p.Pick(r.Class, now)
	f := d.queued[r.ID]
	a := d.agents[c.Server]
	delete(d.queued, r.ID)
	if !ok || f == nil || a == nil {
		d.queue.Done(r, 0, admit.NotRun, now)
		if f != nil {
			f.start <- start{expired: true}
		}
		return
	}
	f.req.Class = r.Class
	d.rec.write(trace.Event{Kind: trace.Send, ID: r.ID, Server: c.Server, Slot: c.ID})
	f.start <- start{credit: c, agent: a, short: c.Class == admit.ShortSlot}
}

// expire ends the queued requests that can no longer meet their deadline.
func (d *dispatcher) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.queued) == 0 {
		return
	}
	for _, r := range d.queue.Expire(d.clock.Now()) {
		if f := d.queued[r.ID]; f != nil {
			delete(d.queued, r.ID)
			d.rec.write(trace.Event{Kind: trace.Refuse, ID: r.ID, Reason: "expired"})
			f.start <- start{expired: true}
		}
	}
}

// done ends an attempt that ran or may have run, and updates the statistics of
// the server and the retry budget.
func (d *dispatcher) done(f *pending, server string, took time.Duration, out admit.Outcome, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	res := route.Result{Expected: d.queue.Expected(f.req.Request), Took: took, OK: ok}
	mean := d.picker(f.req.Service).Done(server, res, now)
	d.queue.Done(f.req.Request, mean, out, now)
	if ok {
		d.budget = d.budget.Earned()
	}
	d.match(f.req.Service)
}

// retry takes one retry from the retry budget and reports whether it is allowed.
func (d *dispatcher) retry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budget.Spent()
	d.budget = b
	return ok
}

// outlive counts a running short request as long from now on.
func (d *dispatcher) outlive(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Outlive(id)
}

// tellDemand makes every agent of a service receive the current demand. The
// caller holds d.mu.
func (d *dispatcher) tellDemand(service string) {
	for _, a := range d.agents {
		if a.service == service {
			a.poke()
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

// slotCount returns the total number of slots of all services.
func (d *dispatcher) slotCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, slots := range d.slots {
		n += slots
	}
	return n
}

// depth returns the number of queued requests.
func (d *dispatcher) depth() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Len()
}
