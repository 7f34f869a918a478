package admit

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// ledger holds the requests that one team has queued for one service.
type ledger struct {
	acct     *account
	lines    [len(urgencies)][2]line // by urgency level and class index
	levels   [len(urgencies)]int     // number of queued requests by urgency level
	live     int
	listed   bool      // whether it is in the list of active queues of its service
	promised time.Time // latest retry time given to a caller of the team
}

// classIndex returns the index of a class in arrays: 0 is short, 1 is long.
func classIndex(c Class) int {
	if c == Long {
		return 1
	}
	return 0
}

func (l *ledger) line(it *item) *line { return &l.lines[it.level][classIndex(it.r.Class)] }

func (l *ledger) push(it *item) {
	l.line(it).push(it)
	l.levels[it.level]++
	l.live++
}

func (l *ledger) remove(it *item) {
	l.line(it).remove(it)
	l.levels[it.level]--
	l.live--
}

// ahead returns the sum of the mean run times, in seconds, of the queued requests
// of class c that are served before a new one of that class and urgency level.
func (l *ledger) ahead(level int, c Class) float64 {
	sum := 0.0
	for i := 0; i <= level; i++ {
		sum += l.lines[i][classIndex(c)].work
	}
	return sum
}

// best returns the request of the team that should get the slot, or nil. Long
// requests that arrived before longBefore go before short ones of the same urgency.
func (l *ledger) best(slot Slot, longBefore, now time.Time) *item {
	for level := range l.lines {
		short := l.lines[level][0].fit(slot, now)
		if slot.Class == ShortSlot {
			if short != nil {
				return short
			}
			continue
		}
		long := l.lines[level][1].fit(slot, now)
		switch {
		case long != nil && (short == nil || long.r.Arrived.Before(longBefore)):
			return long
		case short != nil:
			return short
		}
	}
	return nil
}

// account counts the slots that one team uses for all services.
type account struct {
	team      model.Team
	running   int // requests sent by this entry
	elsewhere int // requests sent by other entries, as last reported
}

// used returns the number of slots that the team uses.
func (a *account) used() int { return a.running + a.elsewhere }

// room returns the number of guaranteed slots that the team doesn't use.
func (a *account) room() int { return max(0, a.team.Slots-a.used()) }

// load is the measure by which teams are ordered, the lowest first. It is negative
// while a team uses fewer slots than it is guaranteed; above that it is the number
// of borrowed slots divided by the weight.
func (a *account) load() float64 {
	if a.used() < a.team.Slots {
		return float64(a.used())/float64(a.team.Slots) - 1
	}
	return float64(a.used()-a.team.Slots) / float64(a.weight())
}

func (a *account) weight() int { return max(1, a.team.Weight) }

// addTo adds the queued requests to d. As many as the team has unused guaranteed
// slots count as guaranteed, the most urgent first and within an urgency the short
// ones.
func (l *ledger) addTo(d *Demand) {
	room := l.acct.room()
	for level := range l.lines {
		short, long := l.lines[level][0].live, l.lines[level][1].live
		within := min(room, short)
		room -= within
		d.Guaranteed.Short += within
		rest := Count{Short: short - within}
		within = min(room, long)
		room -= within
		d.Guaranteed.Long += within
		rest.Long = long - within
		if level == 0 {
			d.Urgent.add(rest)
			continue
		}
		d.Borrowed.add(rest)
	}
}
