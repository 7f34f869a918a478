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
	reportDelay = time.Millisecond      // between reports of an entry's demand
	tickDelay   = 10 * time.Millisecond // between checks of deadlines and exchanges of the teams' usage
)

// credits is the policy of this system: requests wait in queues at the entries,
// and the agents grant credits for their slots to the entries.
type credits struct {
	w       *World
	classes bool
	entries []*entry
	agents  []*agent
	Bounced int // number of requests that reached an agent after their grant was revoked
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
	split  *route.Split
}

// Credits returns the policy of this system.
func Credits(w *World) Policy { return newCredits(w, true) }

// NoClasses returns the policy of this system with one class for all requests and
// no reserve.
func NoClasses(w *World) Policy { return newCredits(w, false) }

func newCredits(w *World, classes bool) *credits {
	c := &credits{w: w, classes: classes}
	for i := range w.Scenario.Entries {
		c.entries = append(c.entries, c.newEntry(i))
	}
	for _, s := range w.Servers {
		opt := route.SplitOptions{Slots: SlotsPerServer, Reserve: w.Scenario.Service.Reserve, ReserveMax: reserveMost}
		if !classes {
			opt.Reserve, opt.ReserveMax = 0, 0
		}
		a := &agent{server: s, split: route.NewSplit(opt)}
		c.agents = append(c.agents, a)
		for _, e := range c.entries {
			c.deliver(a, a.split.Join(entryName(e.index), w.Now()))
		}
	}
	w.Every(tickDelay, c.tick)
	return c
}

// reserveMost is the largest reserve, in slots per backend server.
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
	e.queue.SetFleet(s.Service.Name, SlotsPerServer*s.Servers, s.Entries)
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
		Declared: j.Declared, SizeMs: j.SizeMs, Idempotent: true,
	}
	if j.Deadline > 0 {
		r.Deadline = epoch.Add(j.Deadline)
	}
	if !c.classes {
		r.Declared = ""
	}
	c.w.record(arriveEvent(j, r))
	if err := e.queue.Push(r, c.w.Now()); err != nil {
		c.w.record(refuseEvent(j.ID, err))
		c.w.End(j, false)
		return
	}
	e.jobs[j.ID] = j
	c.dispatch(e)
}

// dispatch sends queued requests to agents as long as there are credits for them.
func (c *credits) dispatch(e *entry) {
	now := c.w.Now()
	for {
		slot := e.picker.Offer(now)
		r, ok := e.queue.PopSlot(c.w.Scenario.Service.Name, slot, now)
		if !ok {
			break
		}
		credit, ok := e.picker.Pick(r.Class, now)
		if !ok {
			panic("a request was popped that no credit accepts")
		}
		c.w.record(trace.Event{Kind: trace.Send, ID: r.ID, Server: credit.Server, Slot: credit.ID})
		c.w.Send(func() { c.take(e, credit, r) })
	}
	c.report(e)
}

// take starts a request that arrives at an agent, or returns it to its entry if the
// grant was revoked.
func (c *credits) take(e *entry, credit route.Credit, r admit.Request) {
	a := c.agentOf(credit)
	steps, err := a.split.Take(credit.ID, r.Class, c.w.Now())
	c.deliver(a, steps)
	if err != nil {
		c.Bounced++
		c.w.Send(func() {
			c.w.record(trace.Event{Kind: trace.Return, ID: r.ID, Server: credit.Server})
			e.picker.Return(credit.Server)
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
		c.w.After(limit, func() { c.deliver(a, a.split.Outlive(credit.ID, c.w.Now())) })
	}
}

func (c *credits) finish(a *agent, e *entry, credit route.Credit, r admit.Request, took time.Duration) {
	c.deliver(a, a.split.Free(credit.ID, c.w.Now()))
	c.w.Send(func() {
		now := c.w.Now()
		result := route.Result{Expected: e.queue.Expected(r), Took: took, OK: true}
		mean := e.picker.Done(credit.Server, result, now)
		e.queue.Done(r, mean, admit.Answer, now)
		c.w.record(trace.Event{Kind: trace.Answer, ID: r.ID, Server: credit.Server, Took: mean.Microseconds()})
		c.w.End(e.jobs[r.ID], true)
		delete(e.jobs, r.ID)
		c.dispatch(e)
	})
}

// deliver sends the grants and revocations of an agent to the entries.
func (c *credits) deliver(a *agent, steps []route.Step) {
	for _, step := range steps {
		e := c.entries[indexOf(step.Grant.Entry)]
		credit := route.Credit{Server: serverName(a.server.Index), ID: step.Grant.ID, Class: step.Grant.Class}
		c.w.Send(func() {
			if step.Kind == route.StepRevoke {
				e.picker.Revoke(credit)
				return
			}
			e.picker.Grant(credit)
			c.dispatch(e)
		})
	}
}

// report schedules a report of the entry's demand to the agents if it has changed.
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
			c.w.Send(func() { c.deliver(a, a.split.Demand(entryName(e.index), d, c.w.Now())) })
		}
	})
}

// tick refuses the queued requests that can't meet their deadline any more and
// tells each entry how many requests of each team run through the other entries.
func (c *credits) tick() {
	for _, e := range c.entries {
		for _, r := range e.queue.Expire(c.w.Now()) {
			c.w.record(refuseEvent(r.ID, admit.ErrTooLate))
			c.w.End(e.jobs[r.ID], false)
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
			e.queue.SetElsewhere(t.Name, elsewhere)
		}
	}
}

func (c *credits) agentOf(credit route.Credit) *agent {
	return c.agents[indexOf(credit.Server)]
}
