package load

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/route"
	"github.com/knapweedlug/knapweedlug/internal/trace"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Intervals of the credits policy.
const (
	reportInterval = time.Millisecond      // between reports of an entry's demand
	tickInterval   = 10 * time.Millisecond // between checks of deadlines and exchanges of the teams' usage
)

// creditPolicy is the policy of this system: requests wait in queues at the
// entries, and the agents grant credits for their slots to the entries.
type creditPolicy struct {
	sim             *Simulation
	useClasses      bool
	entries         []*entry
	agents          []*agent
	MetRevokedGrant int // number of requests that reached an agent after their grant was revoked
}

type entry struct {
	index           int
	queue           *admit.Queue
	picker          *route.Picker
	jobs            map[string]*Job
	reportedDemand  admit.Demand
	reportScheduled bool
}

type agent struct {
	server    *Server
	allocator *route.Allocator
}

// Credits returns the policy of this system.
func Credits(sim *Simulation) Policy { return newCreditPolicy(sim, true) }

// NoClasses returns the policy of this system with one class for all requests and
// no reserve.
func NoClasses(sim *Simulation) Policy { return newCreditPolicy(sim, false) }

func newCreditPolicy(sim *Simulation, useClasses bool) *creditPolicy {
	c := &creditPolicy{sim: sim, useClasses: useClasses}
	for i := range sim.Scenario.EntryCount {
		c.entries = append(c.entries, c.newEntry(i))
	}
	for _, s := range sim.Servers {
		options := route.AllocatorOptions{Slots: SlotsPerServer, Reserve: sim.Scenario.Service.Reserve, MaxReserve: maxReserve}
		if !useClasses {
			options.Reserve, options.MaxReserve = 0, 0
		}
		a := &agent{server: s, allocator: route.NewAllocator(options)}
		c.agents = append(c.agents, a)
		for _, e := range c.entries {
			c.sendUpdates(a, a.allocator.AddEntry(entryName(e.index), sim.Now()))
		}
	}
	sim.Every(tickInterval, c.tick)
	return c
}

// maxReserve is the largest reserve, in slots per backend server.
const maxReserve = SlotsPerServer - 2

func (c *creditPolicy) newEntry(i int) *entry {
	s := c.sim.Scenario
	e := &entry{index: i, queue: admit.New(admit.Options{}), picker: route.NewPicker(), jobs: map[string]*Job{}}
	e.queue.SetTeams(s.Teams)
	service := s.Service
	if !c.useClasses {
		service.ShortMs = 1 << 30
	}
	e.queue.SetServices([]model.Service{service})
	e.queue.SetCapacity(s.Service.Name, SlotsPerServer*s.ServerCount, s.EntryCount)
	for _, server := range c.sim.Servers {
		e.picker.Add(serverName(server.Index))
	}
	return e
}

// Arrive implements Policy.
func (c *creditPolicy) Arrive(j *Job) {
	e := c.entries[j.Entry]
	r := admit.Request{
		ID: j.ID, Team: j.Team, Service: c.sim.Scenario.Service.Name, Urgency: j.Urgency,
		DeclaredClass: j.DeclaredClass, DeclaredMs: j.DeclaredSizeMs, Idempotent: true,
	}
	if j.Deadline > 0 {
		r.Deadline = startTime.Add(j.Deadline)
	}
	if !c.useClasses {
		r.DeclaredClass = ""
	}
	c.sim.recordEvent(arriveEvent(j, r))
	if err := e.queue.Push(r, c.sim.Now()); err != nil {
		c.sim.recordEvent(refuseEvent(j.ID, err))
		c.sim.Finish(j, false)
		return
	}
	e.jobs[j.ID] = j
	c.dispatch(e)
}

// dispatch sends queued requests to agents as long as there are credits for them.
func (c *creditPolicy) dispatch(e *entry) {
	now := c.sim.Now()
	for {
		slot := e.picker.BestSlot(now)
		r, ok := e.queue.PopSlot(c.sim.Scenario.Service.Name, slot, now)
		if !ok {
			break
		}
		credit, ok := e.picker.Pick(r.Class, now)
		if !ok {
			panic("a request was popped that no credit accepts")
		}
		c.sim.recordEvent(trace.Event{Kind: trace.Send, ID: r.ID, Server: credit.Server, CreditID: credit.ID})
		c.sim.Send(func() { c.receive(e, credit, r) })
	}
	c.scheduleReport(e)
}

// receive starts a request that arrives at an agent, or returns it to its entry if
// the grant was revoked.
func (c *creditPolicy) receive(e *entry, credit route.Credit, r admit.Request) {
	a := c.agentOf(credit)
	updates, err := a.allocator.Start(credit.ID, r.Class, c.sim.Now())
	c.sendUpdates(a, updates)
	if err != nil {
		c.MetRevokedGrant++
		c.sim.Send(func() {
			c.sim.recordEvent(trace.Event{Kind: trace.Return, ID: r.ID, Server: credit.Server})
			e.picker.DoneNotRun(credit.Server)
			e.queue.Requeue(r.ID, c.sim.Now())
			c.dispatch(e)
		})
		return
	}
	j := e.jobs[r.ID]
	var runTime time.Duration
	runTime = c.sim.Start(a.server, j, func() { c.finishRequest(a, e, credit, r, runTime) })
	shortLimit := time.Duration(c.sim.Scenario.Service.ShortMs) * time.Millisecond
	if c.useClasses && r.Class == admit.Short && runTime > shortLimit {
		c.sim.After(shortLimit, func() { c.sendUpdates(a, a.allocator.MarkLong(credit.ID, c.sim.Now())) })
	}
}

func (c *creditPolicy) finishRequest(a *agent, e *entry, credit route.Credit, r admit.Request, runTime time.Duration) {
	c.sendUpdates(a, a.allocator.Finish(credit.ID, c.sim.Now()))
	c.sim.Send(func() {
		now := c.sim.Now()
		result := route.Result{ExpectedRunTime: e.queue.ExpectedRunTime(r), RunTime: runTime, OK: true}
		meanTime := e.picker.Done(credit.Server, result, now)
		e.queue.Done(r, meanTime, admit.OutcomeAnswer, now)
		c.sim.recordEvent(trace.Event{Kind: trace.Answer, ID: r.ID, Server: credit.Server, RunMicros: meanTime.Microseconds()})
		c.sim.Finish(e.jobs[r.ID], true)
		delete(e.jobs, r.ID)
		c.dispatch(e)
	})
}

// sendUpdates sends the grants and revocations of an agent to the entries.
func (c *creditPolicy) sendUpdates(a *agent, updates []route.GrantUpdate) {
	for _, update := range updates {
		e := c.entries[indexFromName(update.Grant.Entry)]
		credit := route.Credit{Server: serverName(a.server.Index), ID: update.Grant.ID, Class: update.Grant.Class}
		c.sim.Send(func() {
			if update.Kind == route.UpdateRevoke {
				e.picker.RevokeCredit(credit)
				return
			}
			e.picker.AddCredit(credit)
			c.dispatch(e)
		})
	}
}

// scheduleReport schedules a report of the entry's demand to the agents if it has
// changed.
func (c *creditPolicy) scheduleReport(e *entry) {
	if e.reportScheduled || e.queue.Demand(c.sim.Scenario.Service.Name) == e.reportedDemand {
		return
	}
	e.reportScheduled = true
	c.sim.After(reportInterval, func() {
		e.reportScheduled = false
		demand := e.queue.Demand(c.sim.Scenario.Service.Name)
		if demand == e.reportedDemand {
			return
		}
		e.reportedDemand = demand
		for _, a := range c.agents {
			c.sim.Send(func() { c.sendUpdates(a, a.allocator.SetDemand(entryName(e.index), demand, c.sim.Now())) })
		}
	})
}

// tick refuses the queued requests that can't meet their deadline any more and
// tells each entry how many requests of each team run through the other entries.
func (c *creditPolicy) tick() {
	for _, e := range c.entries {
		for _, r := range e.queue.Expire(c.sim.Now()) {
			c.sim.recordEvent(refuseEvent(r.ID, admit.ErrQueueTooSlow))
			c.sim.Finish(e.jobs[r.ID], false)
			delete(e.jobs, r.ID)
		}
		c.scheduleReport(e)
		for _, t := range c.sim.Scenario.Teams {
			runningElsewhere := 0
			for _, other := range c.entries {
				if other != e {
					runningElsewhere += other.queue.Running(t.Name)
				}
			}
			e.queue.SetRunningElsewhere(t.Name, runningElsewhere)
		}
	}
}

func (c *creditPolicy) agentOf(credit route.Credit) *agent {
	return c.agents[indexFromName(credit.Server)]
}
