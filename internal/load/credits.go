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
	world      *World
	useClasses bool
	entries    []*entry
	agents     []*agent
	Bounced    int // number of requests that reached an agent after their grant was revoked
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
	server *Server
	split  *route.Split
}

// Credits returns the policy of this system.
func Credits(w *World) Policy { return newCreditPolicy(w, true) }

// NoClasses returns the policy of this system with one class for all requests and
// no reserve.
func NoClasses(w *World) Policy { return newCreditPolicy(w, false) }

func newCreditPolicy(w *World, useClasses bool) *creditPolicy {
	c := &creditPolicy{world: w, useClasses: useClasses}
	for i := range w.Scenario.Entries {
		c.entries = append(c.entries, c.newEntry(i))
	}
	for _, s := range w.Servers {
		options := route.SplitOptions{Slots: SlotsPerServer, Reserve: w.Scenario.Service.Reserve, ReserveMax: maxReserve}
		if !useClasses {
			options.Reserve, options.ReserveMax = 0, 0
		}
		a := &agent{server: s, split: route.NewSplit(options)}
		c.agents = append(c.agents, a)
		for _, e := range c.entries {
			c.sendSteps(a, a.split.Join(entryName(e.index), w.Now()))
		}
	}
	w.Every(tickInterval, c.tick)
	return c
}

// maxReserve is the largest reserve, in slots per backend server.
const maxReserve = SlotsPerServer - 2

func (c *creditPolicy) newEntry(i int) *entry {
	s := c.world.Scenario
	e := &entry{index: i, queue: admit.New(admit.Options{}), picker: route.NewPicker(), jobs: map[string]*Job{}}
	e.queue.SetTeams(s.Teams)
	service := s.Service
	if !c.useClasses {
		service.ShortMs = 1 << 30
	}
	e.queue.SetServices([]model.Service{service})
	e.queue.SetFleet(s.Service.Name, SlotsPerServer*s.Servers, s.Entries)
	for _, server := range c.world.Servers {
		e.picker.Add(serverName(server.Index))
	}
	return e
}

// Arrive implements Policy.
func (c *creditPolicy) Arrive(j *Job) {
	e := c.entries[j.Entry]
	r := admit.Request{
		ID: j.ID, Team: j.Team, Service: c.world.Scenario.Service.Name, Urgency: j.Urgency,
		Declared: j.Declared, SizeMs: j.SizeMs, Idempotent: true,
	}
	if j.Deadline > 0 {
		r.Deadline = startTime.Add(j.Deadline)
	}
	if !c.useClasses {
		r.Declared = ""
	}
	c.world.recordEvent(arriveEvent(j, r))
	if err := e.queue.Push(r, c.world.Now()); err != nil {
		c.world.recordEvent(refuseEvent(j.ID, err))
		c.world.End(j, false)
		return
	}
	e.jobs[j.ID] = j
	c.dispatch(e)
}

// dispatch sends queued requests to agents as long as there are credits for them.
func (c *creditPolicy) dispatch(e *entry) {
	now := c.world.Now()
	for {
		slot := e.picker.Offer(now)
		r, ok := e.queue.PopSlot(c.world.Scenario.Service.Name, slot, now)
		if !ok {
			break
		}
		credit, ok := e.picker.Pick(r.Class, now)
		if !ok {
			panic("a request was popped that no credit accepts")
		}
		c.world.recordEvent(trace.Event{Kind: trace.Send, ID: r.ID, Server: credit.Server, Slot: credit.ID})
		c.world.Send(func() { c.receive(e, credit, r) })
	}
	c.scheduleReport(e)
}

// receive starts a request that arrives at an agent, or returns it to its entry if
// the grant was revoked.
func (c *creditPolicy) receive(e *entry, credit route.Credit, r admit.Request) {
	a := c.agentOf(credit)
	steps, err := a.split.Take(credit.ID, r.Class, c.world.Now())
	c.sendSteps(a, steps)
	if err != nil {
		c.Bounced++
		c.world.Send(func() {
			c.world.recordEvent(trace.Event{Kind: trace.Return, ID: r.ID, Server: credit.Server})
			e.picker.Return(credit.Server)
			e.queue.Requeue(r.ID, c.world.Now())
			c.dispatch(e)
		})
		return
	}
	j := e.jobs[r.ID]
	var runTime time.Duration
	runTime = c.world.Start(a.server, j, func() { c.finishRequest(a, e, credit, r, runTime) })
	shortLimit := time.Duration(c.world.Scenario.Service.ShortMs) * time.Millisecond
	if c.useClasses && r.Class == admit.Short && runTime > shortLimit {
		c.world.After(shortLimit, func() { c.sendSteps(a, a.split.Outlive(credit.ID, c.world.Now())) })
	}
}

func (c *creditPolicy) finishRequest(a *agent, e *entry, credit route.Credit, r admit.Request, runTime time.Duration) {
	c.sendSteps(a, a.split.Free(credit.ID, c.world.Now()))
	c.world.Send(func() {
		now := c.world.Now()
		result := route.Result{Expected: e.queue.Expected(r), Took: runTime, OK: true}
		meanTime := e.picker.Done(credit.Server, result, now)
		e.queue.Done(r, meanTime, admit.Answer, now)
		c.world.recordEvent(trace.Event{Kind: trace.Answer, ID: r.ID, Server: credit.Server, Took: meanTime.Microseconds()})
		c.world.End(e.jobs[r.ID], true)
		delete(e.jobs, r.ID)
		c.dispatch(e)
	})
}

// sendSteps sends the grants and revocations of an agent to the entries.
func (c *creditPolicy) sendSteps(a *agent, steps []route.Step) {
	for _, step := range steps {
		e := c.entries[indexFromName(step.Grant.Entry)]
		credit := route.Credit{Server: serverName(a.server.Index), ID: step.Grant.ID, Class: step.Grant.Class}
		c.world.Send(func() {
			if step.Kind == route.StepRevoke {
				e.picker.Revoke(credit)
				return
			}
			e.picker.Grant(credit)
			c.dispatch(e)
		})
	}
}

// scheduleReport schedules a report of the entry's demand to the agents if it has
// changed.
func (c *creditPolicy) scheduleReport(e *entry) {
	if e.reportScheduled || e.queue.Demand(c.world.Scenario.Service.Name) == e.reportedDemand {
		return
	}
	e.reportScheduled = true
	c.world.After(reportInterval, func() {
		e.reportScheduled = false
		demand := e.queue.Demand(c.world.Scenario.Service.Name)
		if demand == e.reportedDemand {
			return
		}
		e.reportedDemand = demand
		for _, a := range c.agents {
			c.world.Send(func() { c.sendSteps(a, a.split.Demand(entryName(e.index), demand, c.world.Now())) })
		}
	})
}

// tick refuses the queued requests that can't meet their deadline any more and
// tells each entry how many requests of each team run through the other entries.
func (c *creditPolicy) tick() {
	for _, e := range c.entries {
		for _, r := range e.queue.Expire(c.world.Now()) {
			c.world.recordEvent(refuseEvent(r.ID, admit.ErrTooLate))
			c.world.End(e.jobs[r.ID], false)
			delete(e.jobs, r.ID)
		}
		c.scheduleReport(e)
		for _, t := range c.world.Scenario.Teams {
			runningElsewhere := 0
			for _, other := range c.entries {
				if other != e {
					runningElsewhere += other.queue.Running(t.Name)
				}
			}
			e.queue.SetElsewhere(t.Name, runningElsewhere)
		}
	}
}

func (c *creditPolicy) agentOf(credit route.Credit) *agent {
	return c.agents[indexFromName(credit.Server)]
}
