package admit

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// sent is a request that was popped and isn't done.
type sent struct {
	r    Request
	acct *account
}

// Queue holds the requests of one entry until a slot is free for them. It is
// not safe for concurrent use.
type Queue struct {
	opt      Options
	accounts map[string]*account
	services map[string]*service
	queued   map[string]*item
	running  map[string]sent
	sizes    sizes
	expired  []Request
}

// New returns an empty queue that knows no team and no service.
func New(opt Options) *Queue {
	return &Queue{
		opt:      opt.Defaults(),
		accounts: map[string]*account{},
		services: map[string]*service{},
		queued:   map[string]*item{},
		running:  map[string]sent{},
		sizes:    sizes{stats: map[sizeKey]*sizeStat{}},
	}
}

// SetTeams replaces the committed teams. What a dropped team has queued stays
// queued and is served as borrowed; its new requests are refused.
func (q *Queue) SetTeams(teams []model.Team) {
	known := make(map[string]bool, len(teams))
	for _, t := range teams {
		known[t.Name] = true
		if a := q.accounts[t.Name]; a != nil {
			a.team = t
			continue
		}
		q.accounts[t.Name] = &account{team: t}
	}
	for name, a := range q.accounts {
		if !known[name] {
			a.team.Slots, a.team.Weight = 0, 0
			delete(q.accounts, name)
		}
	}
	for _, s := range q.services {
		s.sweep()
	}
}

// SetServices replaces the committed services. What a dropped service has
// queued expires.
func (q *Queue) SetServices(services []model.Service) {
	known := make(map[string]bool, len(services))
	for _, conf := range services {
		known[conf.Name] = true
		if s := q.services[conf.Name]; s != nil {
			s.configure(conf)
			continue
		}
		q.services[conf.Name] = newService(conf)
	}
	for name, s := range q.services {
		if !known[name] {
			q.expireAll(s)
			delete(q.services, name)
		}
	}
}

// SetCapacity tells how many slots the service has and how many entries share
// them. It is the expected rate until the queue has measured its own; later
// changes scale what was measured.
func (q *Queue) SetCapacity(service string, slots, entries int) {
	s := q.services[service]
	if s == nil {
		return
	}
	expected := float64(slots) / float64(max(1, entries))
	for class := range s.drains {
		s.drains[class].scale(s.expected, expected)
	}
	s.slots, s.expected = slots, expected
}

// SetRunningElsewhere tells how many slots the team uses through other entries.
func (q *Queue) SetRunningElsewhere(team string, running int) {
	if a := q.accounts[team]; a != nil {
		a.elsewhere = running
	}
}

// Push queues a request or refuses it with a *Refusal.
func (q *Queue) Push(r Request, now time.Time) error {
	s, a, level, err := q.check(r, now)
	if err != nil {
		return err
	}
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(q.limit(s))
	}
	r.Arrived = now
	it := q.item(r, s, level, now)
	l := s.ledger(a)
	if err := q.fits(s, l, it, now); err != nil {
		return err
	}
	q.queued[r.ID] = it
	s.push(l, it, now)
	return nil
}

// defaultLimit is the deadline of a request whose service sets no limit.
const defaultLimit = time.Minute

func (q *Queue) limit(s *service) time.Duration {
	if s.conf.LimitMs > 0 {
		return time.Duration(s.conf.LimitMs) * time.Millisecond
	}
	return defaultLimit
}

// item returns the queued form of a request. If the run time to plan with
// doesn't fit before the deadline but the typical one does, that one is used:
// a kind that is often short isn't refused for its long ones.
func (q *Queue) item(r Request, s *service, level int, now time.Time) *item {
	c, mean, planned := q.sizes.judge(r, s.shortLimit())
	left := r.Deadline.Sub(now) - q.opt.DeadlineMargin
	if typical := q.sizes.typical(r); typical > 0 && seconds(planned) > left && seconds(typical) <= left {
		planned = typical
	}
	it := &item{r: r.WithClass(c), level: level, mean: mean, planned: planned}
	it.start = r.Deadline.Add(-seconds(planned) - q.opt.DeadlineMargin)
	return it
}

// Pop takes the best request that a slot of the class may run.
func (q *Queue) Pop(service string, class SlotClass, now time.Time) (Request, bool) {
	return q.PopSlot(service, Slot{Class: class, Slowdown: 1}, now)
}

// PopSlot takes the best request that the slot may run. Requests that can't
// meet their deadline any more are left to Expire.
func (q *Queue) PopSlot(service string, slot Slot, now time.Time) (Request, bool) {
	s := q.services[service]
	if s == nil || slot.Class == NoSlot {
		return Request{}, false
	}
	for {
		l, it := s.best(slot, now.Add(-q.opt.LongMaxWait), now)
		if it == nil {
			return Request{}, false
		}
		if it.start.Before(now) {
			q.expire(s, l, it, now)
			continue
		}
		s.drains[classIndex(it.r.Class)].popped(it.mean, now)
		s.remove(l, it, now)
		delete(q.queued, it.r.ID)
		q.running[it.r.ID] = sent{r: it.r, acct: l.acct}
		l.acct.running++
		return it.r, true
	}
}

// Requeue puts back a request that was popped and has provably not run.
func (q *Queue) Requeue(id string, now time.Time) bool {
	run, ok := q.running[id]
	if !ok {
		return false
	}
	q.finish(id, run)
	s := q.services[run.r.Service]
	if s == nil {
		q.expired = append(q.expired, run.r)
		return false
	}
	level, _ := urgencyLevel(run.r.Urgency)
	it := q.item(run.r, s, level, now)
	q.queued[id] = it
	s.push(s.ledger(run.acct), it, now)
	return true
}

// Cancel drops a queued request in constant time. It reports false if the
// request isn't queued: it was never pushed, has expired, or was popped.
func (q *Queue) Cancel(id string, now time.Time) bool {
	it := q.queued[id]
	if it == nil {
		return false
	}
	s := q.services[it.r.Service]
	s.remove(s.ledgers[it.r.Team], it, now)
	delete(q.queued, id)
	return true
}

// Done ends a popped request. Took is its run time at the mean speed of the
// fleet; it is learned from whole answers only.
func (q *Queue) Done(r Request, took time.Duration, outcome Outcome, _ time.Time) {
	run, ok := q.running[r.ID]
	if !ok {
		return
	}
	q.finish(r.ID, run)
	if s := q.services[r.Service]; s != nil && outcome == OutcomeAnswer {
		q.sizes.learn(run.r, took, s.shortLimit())
	}
}

func (q *Queue) finish(id string, run sent) {
	delete(q.running, id)
	run.acct.running--
}

// MarkLong accounts a running request as long because it has run for longer
// than the short limit. It reports whether that is news.
func (q *Queue) MarkLong(id string) bool {
	run, ok := q.running[id]
	if !ok || run.r.Class == Long {
		return false
	}
	run.r.Class = Long
	q.running[id] = run
	return true
}

// ExpectedRunTime returns the typical run time of requests of this kind at the mean
// speed of the fleet, or 0 if it isn't known yet.
func (q *Queue) ExpectedRunTime(r Request) time.Duration { return seconds(q.sizes.typical(r)) }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.queued) }

// Running returns the slots that the team uses through this queue.
func (q *Queue) Running(team string) int {
	if a := q.accounts[team]; a != nil {
		return a.running
	}
	return 0
}

// Demand returns what is queued for the service.
func (q *Queue) Demand(service string) Demand {
	s := q.services[service]
	if s == nil {
		return Demand{}
	}
	var d Demand
	for _, l := range s.active {
		l.addTo(&d)
	}
	return d
}
