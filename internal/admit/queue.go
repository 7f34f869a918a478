package admit

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// sent is a request that was popped and hasn't finished.
type sent struct {
	r    Request
	acct *account
}

// Queue holds the requests of one entry until a slot is free for them, and counts
// those that run. It is not safe for concurrent use.
type Queue struct {
	opt      Options
	accounts map[string]*account
	services map[string]*service
	queued   map[string]*item
	running  map[string]sent
	sizes    sizes
	expired  []Request
}

// New returns an empty queue without teams and services.
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

// SetTeams replaces the teams. Queued requests of a removed team stay queued and
// are served without a guarantee; new requests of it are refused.
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

// SetServices replaces the services. Queued requests for a removed service
// expire.
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

// SetFleet sets how many slots the service has and how many entries share them.
// The expected drain rate is computed from them until the queue has measured its
// own; later changes scale the measured rate.
func (q *Queue) SetFleet(service string, slots, entries int) {
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

// SetElsewhere sets how many slots the team uses through other entries.
func (q *Queue) SetElsewhere(team string, running int) {
	if a := q.accounts[team]; a != nil {
		a.elsewhere = running
	}
}

// Push queues a request, or refuses it with an error of type *Refusal.
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

// defaultLimit is the time from arrival to deadline of a request that has none if
// its service sets no limit.
const defaultLimit = time.Minute

func (q *Queue) limit(s *service) time.Duration {
	if s.conf.LimitMs > 0 {
		return time.Duration(s.conf.LimitMs) * time.Millisecond
	}
	return defaultLimit
}

// item estimates the run time of a request and computes its latest start. If the
// planned run time doesn't fit before the deadline but the geometric mean does,
// the geometric mean is used, so that requests that are usually fast aren't
// refused because a few similar ones were slow.
func (q *Queue) item(r Request, s *service, level int, now time.Time) *item {
	c, mean, planned := q.sizes.judge(r, s.shortLimit())
	left := r.Deadline.Sub(now) - q.opt.Margin
	if typical := q.sizes.typical(r); typical > 0 && seconds(planned) > left && seconds(typical) <= left {
		planned = typical
	}
	it := &item{r: r.WithClass(c), level: level, mean: mean, planned: planned}
	it.start = r.Deadline.Add(-seconds(planned) - q.opt.Margin)
	return it
}

// Pop removes from the queue the request that should run next on a slot of the
// class and average speed, and counts it as running.
func (q *Queue) Pop(service string, class SlotClass, now time.Time) (Request, bool) {
	return q.PopSlot(service, Slot{Class: class, Slow: 1}, now)
}

// PopSlot removes from the queue the request that should run next on the slot,
// and counts it as running. Requests that can't meet their deadline any more are
// skipped; the next Expire returns them.
func (q *Queue) PopSlot(service string, slot Slot, now time.Time) (Request, bool) {
	s := q.services[service]
	if s == nil || slot.Class == NoSlot {
		return Request{}, false
	}
	for {
		l, it := s.best(slot, now.Add(-q.opt.LongWait), now)
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

// Requeue puts back a request that was popped and is known not to have run. It
// reports false if the request is not running or its service was removed; in the
// latter case the request expires.
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

// Cancel removes a queued request in constant time. It reports false if the
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

// Done ends a popped request. The run time, converted to the mean speed of the
// fleet, enters the estimates only if the request was answered.
func (q *Queue) Done(r Request, took time.Duration, outcome Outcome, _ time.Time) {
	run, ok := q.running[r.ID]
	if !ok {
		return
	}
	q.finish(r.ID, run)
	if s := q.services[r.Service]; s != nil && outcome == Answer {
		q.sizes.learn(run.r, took, s.shortLimit())
	}
}

func (q *Queue) finish(id string, run sent) {
	delete(q.running, id)
	run.acct.running--
}

// Outlive marks a running request as long because it has run for longer than the
// short limit. It reports whether the request runs and was short until then.
func (q *Queue) Outlive(id string) bool {
	run, ok := q.running[id]
	if !ok || run.r.Class == Long {
		return false
	}
	run.r.Class = Long
	q.running[id] = run
	return true
}

// Expected returns the geometric mean of the run times of similar requests at the
// mean speed of the fleet, or 0 if it isn't known yet.
func (q *Queue) Expected(r Request) time.Duration { return seconds(q.sizes.typical(r)) }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.queued) }

// Running returns the number of slots that the team uses through this queue.
func (q *Queue) Running(team string) int {
	if a := q.accounts[team]; a != nil {
		return a.running
	}
	return 0
}

// Demand returns the numbers of requests queued for the service.
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
