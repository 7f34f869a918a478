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

// flight is one request between its arrival and its answer.
type flight struct {
	order *order
	start chan start // receives once the request has a credit, or has expired
}

// start tells a flight what to do next.
type start struct {
	credit  route.Credit
	agent   *agent
	short   bool // the credit is for short requests
	expired bool
}

// desk matches what waits with the credits that are held. Every decision is
// made by admit and route; the desk holds the lock.
type desk struct {
	clock kern.Clock
	rec   *recorder

	mu      sync.Mutex
	queue   *admit.Queue
	pickers map[string]*route.Picker // by service
	agents  map[string]*agent        // by agent name
	flights map[string]*flight       // queued, by request id
	slots   map[string]int           // by service
	teams   map[string]int           // slots that teams use through other entries
	budget  admit.Budget
}

func newDesk(clock kern.Clock, opt admit.Options, rec *recorder) *desk {
	return &desk{
		clock:   clock,
		rec:     rec,
		queue:   admit.New(opt),
		pickers: map[string]*route.Picker{},
		agents:  map[string]*agent{},
		flights: map[string]*flight{},
		slots:   map[string]int{},
		teams:   map[string]int{},
		budget:  admit.NewBudget(retryShare, retryBurst),
	}
}

func (d *desk) configure(cfg conf.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.SetTeams(cfg.Teams())
	d.queue.SetServices(cfg.Services())
	for team, n := range d.teams {
		d.queue.SetElsewhere(team, n)
	}
	d.fleet()
}

// fleet tells the queue how many slots each service has, and how many entries
// share them.
func (d *desk) fleet() {
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

func (d *desk) picker(service string) *route.Picker {
	p := d.pickers[service]
	if p == nil {
		p = route.NewPicker()
		d.pickers[service] = p
	}
	return p
}

// push queues a request, or refuses it.
func (d *desk) push(f *flight) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.arrived(f.order)
	if err := d.queue.Push(f.order.Request, d.clock.Now()); err != nil {
		d.rec.write(trace.Event{Kind: trace.Refuse, ID: f.order.ID, Reason: err.Error()})
		return err
	}
	d.flights[f.order.ID] = f
	d.match(f.order.Service)
	return nil
}

// again queues a request once more that provably has not run.
func (d *desk) again(f *flight, server string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.write(trace.Event{Kind: trace.Return, ID: f.order.ID, Server: server})
	d.picker(f.order.Service).Return(server)
	d.flights[f.order.ID] = f
	if !d.queue.Requeue(f.order.ID, d.clock.Now()) {
		delete(d.flights, f.order.ID)
		return false
	}
	d.match(f.order.Service)
	return true
}

// abandon gives back the credit of a request that will not be sent.
func (d *desk) abandon(f *flight, s start) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.picker(f.order.Service)
	p.Return(s.credit.Server)
	if d.agents[s.credit.Server] == s.agent {
		p.Grant(s.credit)
		d.rec.write(trace.Event{Kind: trace.Grant, Server: s.credit.Server, Slot: s.credit.ID})
	}
	d.rec.write(trace.Event{Kind: trace.Cancel, ID: f.order.ID})
	d.queue.Done(f.order.Request, 0, admit.NotRun, d.clock.Now())
	d.match(f.order.Service)
}

// cancel takes a request back. It reports false when the request has been
// given a credit or has ended.
func (d *desk) cancel(f *flight) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.flights, f.order.ID)
	ok := d.queue.Cancel(f.order.ID, d.clock.Now())
	if ok {
		d.rec.write(trace.Event{Kind: trace.Cancel, ID: f.order.ID})
		d.tellDemand(f.order.Service)
	}
	return ok
}

// match gives credits to requests while there are both.
func (d *desk) match(service string) {
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

func (d *desk) give(p *route.Picker, r admit.Request, now time.Time) {
	c, ok := p.Pick(r.Class, now)
	f := d.flights[r.ID]
	a := d.agents[c.Server]
	delete(d.flights, r.ID)
	if !ok || f == nil || a == nil {
		d.queue.Done(r, 0, admit.NotRun, now)
		if f != nil {
			f.start <- start{expired: true}
		}
		return
	}
	f.order.Class = r.Class
	d.rec.write(trace.Event{Kind: trace.Send, ID: r.ID, Server: c.Server, Slot: c.ID})
	f.start <- start{credit: c, agent: a, short: c.Class == admit.ShortSlot}
}

// expire ends the requests that can't meet their deadline any more.
func (d *desk) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.flights) == 0 {
		return
	}
	for _, r := range d.queue.Expire(d.clock.Now()) {
		if f := d.flights[r.ID]; f != nil {
			delete(d.flights, r.ID)
			d.rec.write(trace.Event{Kind: trace.Refuse, ID: r.ID, Reason: "expired"})
			f.start <- start{expired: true}
		}
	}
}

// done ends a request that had a credit.
func (d *desk) done(f *flight, server string, took time.Duration, out admit.Outcome, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	res := route.Result{Expected: d.queue.Expected(f.order.Request), Took: took, OK: ok}
	mean := d.picker(f.order.Service).Done(server, res, now)
	d.queue.Done(f.order.Request, mean, out, now)
	if ok {
		d.budget = d.budget.Earned()
	}
	d.match(f.order.Service)
}

// retry spends from the retry budget. It reports whether a retry is allowed.
func (d *desk) retry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budget.Spent()
	d.budget = b
	return ok
}

func (d *desk) outlive(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Outlive(id)
}

func (d *desk) tellDemand(service string) {
	for _, a := range d.agents {
		if a.service == service {
			a.poke()
		}
	}
}

// deskDump is the state of the desk for a dump.
type deskDump struct {
	Queued  int                     `json:"queued"`
	Demand  map[string]admit.Demand `json:"demand"`
	Running map[string]int          `json:"running"` // by team
	Slots   map[string]int          `json:"slots"`
}

func (d *desk) dump(cfg conf.Config) deskDump {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := deskDump{Queued: d.queue.Len(), Demand: map[string]admit.Demand{}, Running: map[string]int{}, Slots: map[string]int{}}
	for _, s := range cfg.Services() {
		out.Demand[s.Name] = d.queue.Demand(s.Name)
		out.Slots[s.Name] = d.slots[s.Name]
	}
	for _, t := range cfg.Teams() {
		out.Running[t.Name] = d.queue.Running(t.Name)
	}
	return out
}

// slotCount returns the slots of all services.
func (d *desk) slotCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, slots := range d.slots {
		n += slots
	}
	return n
}

// queued returns the number of requests that wait.
func (d *desk) queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Len()
}
