package admit

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// service holds the queued requests of one service.
type service struct {
	conf     model.Service
	allowed  map[string]bool // teams that may call the service; nil means all
	slots    int             // slots of the whole fleet for the service
	expected float64         // this entry's share of them
	ledgers  map[string]*ledger
	active   []*ledger    // teams with queued requests, and some whose queue became empty since the last cleanup
	held     int          // sum of the guaranteed slots of the active teams
	weights  int          // sum of the weights of the active teams
	turn     int          // rotates the team with which the search for the best request begins
	queued   [2]int       // by class index
	drains   [2]drainRate // by class index
}

func newService(conf model.Service) *service {
	s := &service{ledgers: map[string]*ledger{}}
	s.configure(conf)
	return s
}

func (s *service) configure(conf model.Service) {
	s.conf = conf
	s.allowed = nil
	if len(conf.Teams) == 0 {
		return
	}
	s.allowed = make(map[string]bool, len(conf.Teams))
	for _, name := range conf.Teams {
		s.allowed[name] = true
	}
}

func (s *service) shortLimit() time.Duration {
	return time.Duration(s.conf.ShortMs) * time.Millisecond
}

func (s *service) ledger(a *account) *ledger {
	l := s.ledgers[a.team.Name]
	if l == nil {
		l = &ledger{acct: a}
		s.ledgers[a.team.Name] = l
	}
	l.acct = a // a team that was removed and added again has a new account
	return l
}

func (s *service) push(l *ledger, it *item, now time.Time) {
	if !l.listed {
		l.listed = true
		s.active = append(s.active, l)
		s.held += l.acct.team.Slots
		s.weights += l.acct.weight()
	}
	l.push(it)
	s.count(it, 1, now)
}

func (s *service) remove(l *ledger, it *item, now time.Time) {
	l.remove(it)
	s.count(it, -1, now)
}

func (s *service) count(it *item, n int, now time.Time) {
	class := classIndex(it.r.Class)
	s.queued[class] += n
	s.drains[class].backlog(s.queued[class], now)
}

// sweep removes teams without queued requests from the active ones.
func (s *service) sweep() {
	kept := s.active[:0]
	s.held, s.weights = 0, 0
	for _, l := range s.active {
		l.listed = l.live > 0
		if l.listed {
			kept = append(kept, l)
			s.held += l.acct.team.Slots
			s.weights += l.acct.weight()
		}
	}
	clear(s.active[len(kept):])
	s.active = kept
}

// choice is a request that could be popped next, with its team's queue.
type choice struct {
	l    *ledger
	it   *item
	rank rank
}

// offer replaces the choice by the given request if that one ranks before it.
func (c *choice) offer(l *ledger, it *item, longBefore time.Time) {
	if r := rankOf(l, it, longBefore); c.it == nil || r.before(c.rank) {
		*c = choice{l: l, it: it, rank: r}
	}
}

// best returns the request that should run next on the slot, with its team's
// queue. On a slow slot, requests of teams within their guarantee wait briefly for
// a faster one if there is a request of a team beyond its guarantee to run instead.
func (s *service) best(slot Slot, longBefore, now time.Time) (*ledger, *item) {
	var first, patient choice
	idle := false
	s.turn++
	for i := range s.active {
		l := s.active[(s.turn+i)%len(s.active)]
		if l.live == 0 {
			idle = true
			continue
		}
		if first.it != nil && !l.bound().before(first.rank) {
			continue
		}
		it := l.best(slot, longBefore, now)
		switch {
		case it == nil:
		case l.acct.load() < 0 && it.waitsFor(slot, now):
			patient.offer(l, it, longBefore)
		default:
			first.offer(l, it, longBefore)
		}
	}
	if idle {
		s.sweep()
	}
	if first.it == nil || first.l.acct.load() < 0 {
		first.merge(patient)
	}
	return first.l, first.it
}

// merge replaces the choice by o if that one ranks before it.
func (c *choice) merge(o choice) {
	if o.it != nil && (c.it == nil || o.rank.before(c.rank)) {
		*c = o
	}
}

// rank orders the best requests of the teams.
type rank struct {
	borrowed bool
	level    int
	later    bool // a long request that arrived after the cutoff: short ones go first
	load     float64
	start    time.Time
}

// latest is after the latest start of any request.
var latest = time.Unix(1<<40, 0)

// bound returns a rank that no request of the team ranks before, latest start
// aside: among teams that are equal otherwise the first one examined wins, and that
// changes from search to search.
func (l *ledger) bound() rank {
	level := 0
	for level < len(l.levels)-1 && l.levels[level] == 0 {
		level++
	}
	load := l.acct.load()
	return rank{borrowed: load >= 0, level: level, load: load, start: latest}
}

func rankOf(l *ledger, it *item, longBefore time.Time) rank {
	load := l.acct.load()
	later := it.r.Class == Long && !it.r.Arrived.Before(longBefore)
	return rank{borrowed: load >= 0, level: it.level, later: later, load: load, start: it.start}
}

func (r rank) before(o rank) bool {
	switch {
	case r.borrowed != o.borrowed:
		return !r.borrowed
	case r.level != o.level:
		return r.level < o.level
	case r.later != o.later:
		return o.later
	case r.load != o.load:
		return r.load < o.load
	default:
		return r.start.Before(o.start)
	}
}

// rate returns the drain rate of a class that the team may expect from the
// service, in seconds of run time per second: the part for its guaranteed slots
// and its share by weight of the slots that aren't guaranteed to any active team.
func (s *service) rate(l *ledger, c Class) float64 {
	total := float64(max(1, s.slots))
	held, weights := s.held, s.weights
	if !l.listed {
		held += l.acct.team.Slots
		weights += l.acct.weight()
	}
	free := max(0, total-float64(held))
	share := float64(l.acct.team.Slots) + free*float64(l.acct.weight())/float64(weights)
	return s.drains[classIndex(c)].rate * min(1, share/total)
}
