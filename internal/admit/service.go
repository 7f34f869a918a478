package admit

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// service is the queue of one service.
type service struct {
	conf    model.Service
	allowed map[string]bool // teams that may call it; nil means all
	slots   int             // slots of the whole fleet
	ledgers map[string]*ledger
	active  []*ledger // those with queued requests
	queued  int
	drain   drainRate
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
	l.acct = a // a team that was dropped and set again has a new account
	return l
}

func (s *service) push(l *ledger, it *item, now time.Time) {
	if l.live == 0 {
		s.active = append(s.active, l)
	}
	l.push(it)
	s.queued++
	s.drain.backlog(s.queued, now)
}

func (s *service) remove(l *ledger, it *item, now time.Time) {
	l.remove(it)
	s.queued--
	s.drain.backlog(s.queued, now)
}

// sweep forgets teams that have nothing queued any more.
func (s *service) sweep() {
	kept := s.active[:0]
	for _, l := range s.active {
		if l.live > 0 {
			kept = append(kept, l)
		}
	}
	clear(s.active[len(kept):])
	s.active = kept
}

// best returns the request that the slot should take next, with its ledger.
func (s *service) best(slot Slot, longBefore, now time.Time) (*ledger, *item) {
	var first *ledger
	var found *item
	var rank rank
	idle := false
	for _, l := range s.active {
		if l.live == 0 {
			idle = true
			continue
		}
		it := l.best(slot, longBefore, now)
		if it == nil {
			continue
		}
		if r := rankOf(l, it); found == nil || r.before(rank) {
			first, found, rank = l, it, r
		}
	}
	if idle {
		s.sweep()
	}
	return first, found
}

// rank orders the best requests of the teams.
type rank struct {
	borrowed bool
	level    int
	load     float64
	start    time.Time
}

func rankOf(l *ledger, it *item) rank {
	load := l.acct.load()
	return rank{borrowed: load >= 0, level: it.level, load: load, start: it.start}
}

func (r rank) before(o rank) bool {
	switch {
	case r.borrowed != o.borrowed:
		return !r.borrowed
	case r.level != o.level:
		return r.level < o.level
	case r.load != o.load:
		return r.load < o.load
	default:
		return r.start.Before(o.start)
	}
}

// rate returns the work per second that the team may expect of the service: its
// guaranteed part and its share by weight of what the others don't hold.
func (s *service) rate(l *ledger) float64 {
	total := float64(max(1, s.slots))
	free, weights, counted := total, 0.0, false
	for _, other := range s.active {
		if other.live == 0 && other != l {
			continue
		}
		counted = counted || other == l
		free -= float64(other.acct.team.Slots)
		weights += float64(other.acct.weight())
	}
	if !counted {
		free -= float64(l.acct.team.Slots)
		weights += float64(l.acct.weight())
	}
	share := float64(l.acct.team.Slots) + max(0, free)*float64(l.acct.weight())/weights
	return s.drain.rate * min(1, share/total)
}
