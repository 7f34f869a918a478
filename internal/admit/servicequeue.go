package admit

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// serviceQueue holds the queued requests of one service.
type serviceQueue struct {
	config           model.Service
	allowedTeams     map[string]bool // teams that may call the service; nil means all
	fleetSlots       int             // slots of the whole fleet for the service
	expectedSlots    float64         // this entry's share of them
	teamQueues       map[string]*teamQueue
	active           []*teamQueue // teams with queued requests, and some whose queue became empty since the last cleanup
	activeGuaranteed int          // sum of the guaranteed slots of the active teams
	activeWeight     int          // sum of the weights of the active teams
	scanOffset       int          // rotates the team with which the search for the best request begins
	queuedByClass    [2]int       // by class index
	drainRates       [2]drainRate // by class index
}

func newServiceQueue(config model.Service) *serviceQueue {
	s := &serviceQueue{teamQueues: map[string]*teamQueue{}}
	s.configure(config)
	return s
}

func (s *serviceQueue) configure(config model.Service) {
	s.config = config
	s.allowedTeams = nil
	if len(config.Teams) == 0 {
		return
	}
	s.allowedTeams = make(map[string]bool, len(config.Teams))
	for _, name := range config.Teams {
		s.allowedTeams[name] = true
	}
}

func (s *serviceQueue) shortLimit() time.Duration {
	return time.Duration(s.config.ShortMs) * time.Millisecond
}

func (s *serviceQueue) teamQueue(a *account) *teamQueue {
	tq := s.teamQueues[a.team.Name]
	if tq == nil {
		tq = &teamQueue{account: a}
		s.teamQueues[a.team.Name] = tq
	}
	tq.account = a // a team that was removed and added again has a new account
	return tq
}

func (s *serviceQueue) push(tq *teamQueue, it *item, now time.Time) {
	if !tq.active {
		tq.active = true
		s.active = append(s.active, tq)
		s.activeGuaranteed += tq.account.team.Slots
		s.activeWeight += tq.account.weight()
	}
	tq.push(it)
	s.addQueued(it, 1, now)
}

func (s *serviceQueue) remove(tq *teamQueue, it *item, now time.Time) {
	tq.remove(it)
	s.addQueued(it, -1, now)
}

func (s *serviceQueue) addQueued(it *item, n int, now time.Time) {
	class := classIndex(it.req.Class)
	s.queuedByClass[class] += n
	s.drainRates[class].updateWindow(s.queuedByClass[class], now)
}

// removeInactive removes teams without queued requests from the active ones.
func (s *serviceQueue) removeInactive() {
	kept := s.active[:0]
	s.activeGuaranteed, s.activeWeight = 0, 0
	for _, tq := range s.active {
		tq.active = tq.queued > 0
		if tq.active {
			kept = append(kept, tq)
			s.activeGuaranteed += tq.account.team.Slots
			s.activeWeight += tq.account.weight()
		}
	}
	clear(s.active[len(kept):])
	s.active = kept
}

// candidate is a request that could be popped next, with its team's queue.
type candidate struct {
	queue *teamQueue
	item  *item
	rank  rank
}

// consider replaces c by the given request if that one ranks before it.
func (c *candidate) consider(tq *teamQueue, it *item, longCutoff time.Time) {
	if r := rankOf(tq, it, longCutoff); c.item == nil || r.before(c.rank) {
		*c = candidate{queue: tq, item: it, rank: r}
	}
}

// best returns the request that should run next on the slot, with its team's
// queue. On a slow slot, requests of teams within their guarantee wait briefly for
// a faster one if there is a request of a team beyond its guarantee to run instead.
func (s *serviceQueue) best(slot Slot, longCutoff, now time.Time) (*teamQueue, *item) {
	var immediate, waiting candidate
	foundEmpty := false
	s.scanOffset++
	for i := range s.active {
		tq := s.active[(s.scanOffset+i)%len(s.active)]
		if tq.queued == 0 {
			foundEmpty = true
			continue
		}
		if immediate.item != nil && !tq.rankBound().before(immediate.rank) {
			continue
		}
		it := tq.best(slot, longCutoff, now)
		switch {
		case it == nil:
		case tq.account.load() < 0 && it.shouldWait(slot, now):
			waiting.consider(tq, it, longCutoff)
		default:
			immediate.consider(tq, it, longCutoff)
		}
	}
	if foundEmpty {
		s.removeInactive()
	}
	if immediate.item == nil || immediate.queue.account.load() < 0 {
		immediate.keepBetter(waiting)
	}
	return immediate.queue, immediate.item
}

// keepBetter replaces c by o if that one ranks before it.
func (c *candidate) keepBetter(o candidate) {
	if o.item != nil && (c.item == nil || o.rank.before(c.rank)) {
		*c = o
	}
}

// rank orders the best requests of the teams.
type rank struct {
	borrowed      bool
	level         int
	yieldsToShort bool // a long request that arrived after the cutoff: short ones go first
	load          float64
	latestStart   time.Time
}

// afterAnyStart is after the latest start of any request.
var afterAnyStart = time.Unix(1<<40, 0)

// rankBound returns a rank that no request of the team ranks before, latest start
// aside: among teams that are equal otherwise the first one examined wins, and that
// changes from search to search.
func (tq *teamQueue) rankBound() rank {
	level := 0
	for level < len(tq.queuedByLevel)-1 && tq.queuedByLevel[level] == 0 {
		level++
	}
	load := tq.account.load()
	return rank{borrowed: load >= 0, level: level, load: load, latestStart: afterAnyStart}
}

func rankOf(tq *teamQueue, it *item, longCutoff time.Time) rank {
	load := tq.account.load()
	yieldsToShort := it.req.Class == Long && !it.req.Arrived.Before(longCutoff)
	return rank{borrowed: load >= 0, level: it.level, yieldsToShort: yieldsToShort, load: load, latestStart: it.latestStart}
}

func (r rank) before(o rank) bool {
	switch {
	case r.borrowed != o.borrowed:
		return !r.borrowed
	case r.level != o.level:
		return r.level < o.level
	case r.yieldsToShort != o.yieldsToShort:
		return o.yieldsToShort
	case r.load != o.load:
		return r.load < o.load
	default:
		return r.latestStart.Before(o.latestStart)
	}
}

// expectedDrainRate returns the drain rate of a class that the team may expect from the
// service, in seconds of run time per second: the part for its guaranteed slots
// and its share by weight of the slots that aren't guaranteed to any active team.
func (s *serviceQueue) expectedDrainRate(tq *teamQueue, c Class) float64 {
	total := float64(max(1, s.fleetSlots))
	guaranteed, weight := s.activeGuaranteed, s.activeWeight
	if !tq.active {
		guaranteed += tq.account.team.Slots
		weight += tq.account.weight()
	}
	free := max(0, total-float64(guaranteed))
	share := float64(tq.account.team.Slots) + free*float64(tq.account.weight())/float64(weight)
	return s.drainRates[classIndex(c)].rate * min(1, share/total)
}
