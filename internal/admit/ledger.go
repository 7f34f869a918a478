package admit

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// ledger is what one team has queued for one service.
type ledger struct {
	acct     *account
	lines    [len(urgencies)][2]line // by urgency and class: short, long
	live     int
	promised time.Time // latest retry time told to a caller of the team
}

func classIndex(c Class) int {
	if c == Long {
		return 1
	}
	return 0
}

func (l *ledger) line(it *item) *line { return &l.lines[it.level][classIndex(it.r.Class)] }

func (l *ledger) push(it *item) {
	l.line(it).push(it)
	l.live++
}

func (l *ledger) remove(it *item) {
	l.line(it).remove(it)
	l.live--
}

// ahead returns the work, in seconds, that is served before a new request.
func (l *ledger) ahead(level int, c Class) float64 {
	sum := 0.0
	for i := 0; i <= level; i++ {
		sum += l.lines[i][0].work
		if c == Long {
			sum += l.lines[i][1].work
		}
	}
	return sum
}

// best returns the request of the team that a slot should take next, or nil.
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

// account counts the slots that one team uses, over all services.
type account struct {
	team      model.Team
	running   int // sent by this entry
	elsewhere int // sent by other entries, as far as known
}

// used returns the slots that the team uses.
func (a *account) used() int { return a.running + a.elsewhere }

// room returns the guaranteed slots that the team doesn't use.
func (a *account) room() int { return max(0, a.team.Slots-a.used()) }

// load orders teams: below zero within the guarantee, above it borrowed.
func (a *account) load() float64 {
	if a.used() < a.team.Slots {
		return float64(a.used())/float64(a.team.Slots) - 1
	}
	return float64(a.used()-a.team.Slots) / float64(a.weight())
}

func (a *account) weight() int { return max(1, a.team.Weight) }

// addTo adds the queued requests to a demand: as many as the team's guarantee
// has room for count as guaranteed, the most urgent and shortest first.
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
