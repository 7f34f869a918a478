package admit

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// runningRequest is a request that was popped and hasn't finished.
type runningRequest struct {
	req     Request
	account *account
}

// Queue holds the requests of one entry until a slot is free for them, and counts
// those that run. It is not safe for concurrent use.
type Queue struct {
	opt      Options
	accounts map[string]*account
	services map[string]*serviceQueue
	queued   map[string]*item          // by request id
	running  map[string]runningRequest // by request id
	runTimes runTimeEstimator
	expired  []Request // expired since the last Expire
}

// New returns an empty queue without teams and services.
func New(opt Options) *Queue {
	return &Queue{
		opt:      opt.Defaults(),
		accounts: map[string]*account{},
		services: map[string]*serviceQueue{},
		queued:   map[string]*item{},
		running:  map[string]runningRequest{},
		runTimes: runTimeEstimator{stats: map[runTimeKey]*runTimeStats{}},
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
		s.removeInactive()
	}
}

// SetServices replaces the services. Queued requests for a removed service
// expire.
func (q *Queue) SetServices(services []model.Service) {
	known := make(map[string]bool, len(services))
	for _, config := range services {
		known[config.Name] = true
		if s := q.services[config.Name]; s != nil {
			s.configure(config)
			continue
		}
		q.services[config.Name] = newServiceQueue(config)
	}
	for name, s := range q.services {
		if !known[name] {
			q.expireService(s)
			delete(q.services, name)
		}
	}
}

// SetCapacity sets how many slots the service has and how many entries share them.
// The expected drain rate is computed from them until the queue has measured its
// own; later changes scale the measured rate.
func (q *Queue) SetCapacity(service string, slots, entries int) {
	s := q.services[service]
	if s == nil {
		return
	}
	expected := float64(slots) / float64(max(1, entries))
	for class := range s.drainRates {
		s.drainRates[class].scale(s.expectedSlots, expected)
	}
	s.fleetSlots, s.expectedSlots = slots, expected
}

// SetRunningElsewhere sets how many slots the team uses through other entries.
func (q *Queue) SetRunningElsewhere(team string, running int) {
	if a := q.accounts[team]; a != nil {
		a.runningElsewhere = running
	}
}

// Push queues a request, or refuses it with an error of type *Refusal.
func (q *Queue) Push(r Request, now time.Time) error {
	s, a, level, err := q.check(r, now)
	if err != nil {
		return err
	}
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(q.deadlineLimit(s))
	}
	r.Arrived = now
	it := q.newItem(r, s, level, now)
	tq := s.teamQueue(a)
	if err := q.checkCapacity(s, tq, it, now); err != nil {
		return err
	}
	q.queued[r.ID] = it
	s.push(tq, it, now)
	return nil
}

// defaultDeadlineLimit is the time from arrival to deadline of a request that has none if
// its service sets no limit.
const defaultDeadlineLimit = time.Minute

func (q *Queue) deadlineLimit(s *serviceQueue) time.Duration {
	if s.config.LimitMs > 0 {
		return time.Duration(s.config.LimitMs) * time.Millisecond
	}
	return defaultDeadlineLimit
}

// newItem estimates the run time of a request and computes its latest start. If the
// planned run time doesn't fit before the deadline but the geometric mean does,
// the geometric mean is used, so that requests that are usually fast aren't
// refused because a few similar ones were slow.
func (q *Queue) newItem(r Request, s *serviceQueue, level int, now time.Time) *item {
	c, mean, planned := q.runTimes.estimate(r, s.shortLimit())
	available := r.Deadline.Sub(now) - q.opt.DeadlineMargin
	if typical := q.runTimes.typicalSeconds(r); typical > 0 && secondsToDuration(planned) > available && secondsToDuration(typical) <= available {
		planned = typical
	}
	it := &item{req: r.WithClass(c), level: level, meanSeconds: mean, plannedSeconds: planned}
	it.latestStart = r.Deadline.Add(-secondsToDuration(planned) - q.opt.DeadlineMargin)
	return it
}

// Pop removes from the queue the request that should run next on a slot of the
// class and average speed, and counts it as running.
func (q *Queue) Pop(service string, class SlotClass, now time.Time) (Request, bool) {
	return q.PopSlot(service, Slot{Class: class, Slowdown: 1}, now)
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
		tq, it := s.best(slot, now.Add(-q.opt.LongMaxWait), now)
		if it == nil {
			return Request{}, false
		}
		if it.latestStart.Before(now) {
			q.expireItem(s, tq, it, now)
			continue
		}
		s.drainRates[classIndex(it.req.Class)].addPopped(it.meanSeconds, now)
		s.remove(tq, it, now)
		delete(q.queued, it.req.ID)
		q.running[it.req.ID] = runningRequest{req: it.req, account: tq.account}
		tq.account.running++
		return it.req, true
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
	s := q.services[run.req.Service]
	if s == nil {
		q.expired = append(q.expired, run.req)
		return false
	}
	level, _ := urgencyLevel(run.req.Urgency)
	it := q.newItem(run.req, s, level, now)
	q.queued[id] = it
	s.push(s.teamQueue(run.account), it, now)
	return true
}

// Cancel removes a queued request in constant time. It reports false if the
// request isn't queued: it was never pushed, has expired, or was popped.
func (q *Queue) Cancel(id string, now time.Time) bool {
	it := q.queued[id]
	if it == nil {
		return false
	}
	s := q.services[it.req.Service]
	s.remove(s.teamQueues[it.req.Team], it, now)
	delete(q.queued, id)
	return true
}

// Done ends a popped request. The run time, converted to the mean speed of the
// fleet, enters the estimates only if the request was answered.
func (q *Queue) Done(r Request, runTime time.Duration, outcome Outcome, _ time.Time) {
	run, ok := q.running[r.ID]
	if !ok {
		return
	}
	q.finish(r.ID, run)
	if s := q.services[r.Service]; s != nil && outcome == OutcomeAnswer {
		q.runTimes.record(run.req, runTime, s.shortLimit())
	}
}

func (q *Queue) finish(id string, run runningRequest) {
	delete(q.running, id)
	run.account.running--
}

// MarkLong marks a running request as long because it has run for longer than the
// short limit. It reports whether the request runs and was short until then.
func (q *Queue) MarkLong(id string) bool {
	run, ok := q.running[id]
	if !ok || run.req.Class == Long {
		return false
	}
	run.req.Class = Long
	q.running[id] = run
	return true
}

// ExpectedRunTime returns the geometric mean of the run times of similar requests at the
// mean speed of the fleet, or 0 if it isn't known yet.
func (q *Queue) ExpectedRunTime(r Request) time.Duration {
	return secondsToDuration(q.runTimes.typicalSeconds(r))
}

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
	for _, tq := range s.active {
		tq.addTo(&d)
	}
	return d
}
