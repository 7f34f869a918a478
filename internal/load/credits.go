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
	reportDelay = time.Millisecond      // demand is reported at most this often
	tickDelay   = 10 * time.Millisecond // expiry and usage of teams
)

// credits is the project's own policy: queues at the entries, slots granted by
// the agents.
type credits struct {
	w       *Simulation
	classes bool
	entries []*entry
	agents  []*agent
	MetRevokedGrant int // requests that met a revoked grant
}

type entry struct {
	index     int
	queue     *admit.Queue
	picker    *route.Picker
	jobs      map[string]*Job
	reported  admit.Demand
	reporting bool
}

type agent struct {
	server *Server
	split  *route.Allocator
}

// Credits is the project's own policy.
func Credits(w *Simulation) Policy { return newCredits(w, true) }

// NoClasses is the project's own policy with one class for all requests and no
// reserve.
func NoClasses(w *Simulation) Policy { return newCredits(w, false) }

func newCredits(w *Simulation, classes bool) *credits {
	c := &credits{w: w, classes: classes}
	for i := range w.Scenario.EntryCount {
		c.entries = append(c.entries, c.newEntry(i))
	}
	for _, s := range w.Servers {
		opt := route.AllocatorOptions{Slots: SlotsPerServer, Reserve: w.Scenario.Service.Reserve, MaxReserve: reserveMost}
		if !classes {
			opt.Reserve, opt.MaxReserve = 0, 0
		}
		a := &agent{server: s, split: route.NewAllocator(opt)}
		c.agents = append(c.agents, a)
		for _, e := range c.entries {
			c.deliver(a, a.split.AddEntry(entryName(e.index), w.Now()))
		}
	}
	w.Every(tickDelay, c.tick)
	return c
}

// reserveMost is the most slots per backend server that the reserve may take.
const reserveMost = SlotsPerServer - 2

func (c *credits) newEntry(i int) *entry {
	s := c.w.Scenario
	e := &entry{index: i, queue: admit.New(admit.Options{}), picker: route.NewPicker(), jobs: map[string]*Job{}}
	e.queue.SetTeams(s.Teams)
	service := s.Service
	if !c.classes {
		service.ShortMs = 1 << 30
	}
	e.queue.SetServices([]model.Service{service})
	e.queue.SetCapacity(s.Service.Name, SlotsPerServer*s.ServerCount, s.EntryCount)
	for _, server := range c.w.Servers {
		e.picker.Add(serverName(server.Index))
	}
	return e
}

// Arrive implements Policy.
func (c *credits) Arrive(j *Job) {
	e := c.entries[j.Entry]
	r := admit.Request{
		ID: j.ID, Team: j.Team, Service: c.w.Scenario.Service.Name, Urgency: j.Urgency,
		DeclaredClass: j.DeclaredClass, DeclaredMs: j.DeclaredSizeMs, Idempotent: true,
	}
	if j.Deadline > 0 {
		r.Deadline = epoch.Add(j.Deadline)
	}
	if !c.classes {
		r.DeclaredClass = ""
	}
	c.w.record(arriveEvent(j, r))
	if err := e.queue.Push(r, c.w.Now()); err != nil {
		c.w.record(refuseEvent(j.ID, err))
		c.w.Finish(j, false)
		return
	}
	e.jobs[j.ID] = j
	c.dispatch(e)
}

// dispatch sends requests while there are credits that they may use.
func (c *credits) dispatch(e *entry) {
	now := c.w.Now()
	for {
		slot := e.picker.BestSlot(now)
		r, ok := e.queue.PopSlot(c.w.Scenario.Service.Name, slot, now)
		if !ok {
			break
		}
		credit, ok := e.picker.Pick(r.Class, now)
		if !ok {
			panic("a request was popped that no credit accepts")
		}
		c.w.record(trace.Event{Kind: trace.Send, ID: r.ID, Server: credit.Server, CreditID: credit.ID})
		c.w.Send(func() { c.take(e, credit, r) })
	}
	c.report(e)
}

// take is the arrival of a request at an agent.
func (c *credits) take(e *entry, credit route.Credit, r admit.Request) {
	a := c.agentOf(credit)
	steps, err := a.split.Start(credit.ID, r.Class, c.w.Now())
	c.deliver(a, steps)
	if err != nil {
		c.MetRevokedGrant++
		c.w.Send(func() {
			c.w.record(trace.Event{Kind: trace.Return, ID: r.ID, Server: credit.Server})
			e.picker.DoneNotRun(credit.Server)
			e.queue.Requeue(r.ID, c.w.Now())
			c.dispatch(e)
		})
		return
	}
	j := e.jobs[r.ID]
	var took time.Duration
	took = c.w.Start(a.server, j, func() { c.finish(a, e, credit, r, took) })
	limit := time.Duration(c.w.Scenario.Service.ShortMs) * time.Millisecond
	if c.classes && r.Class == admit.Short && took > limit {
		c.w.After(limit, func() { c.deliver(a, a.split.MarkLong(credit.ID, c.w.Now())) })
	}
}

func (c *credits) finish(a *agent, e *entry, credit route.Credit, r admit.Request, took time.Duration) {
	c.deliver(a, a.split.Finish(credit.ID, c.w.Now()))
	c.w.Send(func() {
		now := c.w.Now()
		result := route.Result{ExpectedRunTime: e.queue.ExpectedRunTime(r), RunTime: took, OK: true}
		mean := e.picker.Done(credit.Server, result, now)
		e.queue.Done(r, mean, admit.OutcomeAnswer, now)
		c.w.record(trace.Event{Kind: trace.Answer, ID: r.ID, Server: credit.Server, RunMicros: mean.Microseconds()})
		c.w.Finish(e.jobs[r.ID], true)
		delete(e.jobs, r.ID)
		c.dispatch(e)
	})
}

// deliver sends grants and revokes to the entries.
func (c *credits) deliver(a *agent, steps []route.GrantUpdate) {
	for _, step := range steps {
		e := c.entries[indexOf(step.Grant.Entry)]
		credit := route.Credit{Server: serverName(a.server.Index), ID: step.Grant.ID, Class: step.Grant.Class}
		c.w.Send(func() {
			if step.Kind == route.UpdateRevoke {
				e.picker.RevokeCredit(credit)
				return
			}
			e.picker.AddCredit(credit)
			c.dispatch(e)
		})
	}
}

// report tells the agents what the entry has queued, if that has changed.
func (c *credits) report(e *entry) {
	if e.reporting || e.queue.Demand(c.w.Scenario.Service.Name) == e.reported {
		return
	}
	e.reporting = true
	c.w.After(reportDelay, func() {
		e.reporting = false
		d := e.queue.Demand(c.w.Scenario.Service.Name)
		if d == e.reported {
			return
		}
		e.reported = d
		for _, a := range c.agents {
			c.w.Send(func() { c.deliver(a, a.split.SetDemand(entryName(e.index), d, c.w.Now())) })
		}
	})
}

// tick expires requests and tells each entry what teams use elsewhere.
func (c *credits) tick() {
	for _, e := range c.entries {
		for _, r := range e.queue.Expire(c.w.Now()) {
			c.w.record(refuseEvent(r.ID, admit.ErrQueueTooSlow))
			c.w.Finish(e.jobs[r.ID], false)
			delete(e.jobs, r.ID)
		}
		c.report(e)
		for _, t := range c.w.Scenario.Teams {
			elsewhere := 0
			for _, other := range c.entries {
				if other != e {
					elsewhere += other.queue.Running(t.Name)
				}
			}
			e.queue.SetRunningElsewhere(t.Name, elsewhere)
		}
	}
}

func (c *credits) agentOf(credit route.Credit) *agent {
	return c.agents[indexOf(credit.Server)]
}
