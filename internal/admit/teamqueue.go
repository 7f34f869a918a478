package admit

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// teamQueue holds the requests that one team has queued for one service.
type teamQueue struct {
	account       *account
	heaps         [len(urgencies)][2]requestHeap // by urgency level and class index
	queuedByLevel [len(urgencies)]int            // number of queued requests by urgency level
	queued        int
	active        bool      // whether it is in the list of active queues of its service
	lastRetryAt   time.Time // latest retry time given to a caller of the team
}

// classIndex returns the index of a class in arrays: 0 is short, 1 is long.
func classIndex(c Class) int {
	if c == Long {
		return 1
	}
	return 0
}

func (tq *teamQueue) heapOf(it *item) *requestHeap {
	return &tq.heaps[it.level][classIndex(it.req.Class)]
}

func (tq *teamQueue) push(it *item) {
	tq.heapOf(it).push(it)
	tq.queuedByLevel[it.level]++
	tq.queued++
}

func (tq *teamQueue) remove(it *item) {
	tq.heapOf(it).remove(it)
	tq.queuedByLevel[it.level]--
	tq.queued--
}

// workAhead returns the sum of the mean run times, in seconds, of the queued requests
// of class c that are served before a new one of that class and urgency level.
func (tq *teamQueue) workAhead(level int, c Class) float64 {
	sum := 0.0
	for i := 0; i <= level; i++ {
		sum += tq.heaps[i][classIndex(c)].workSeconds
	}
	return sum
}

// best returns the request of the team that should get the slot, or nil. Long
// requests that arrived before longCutoff go before short ones of the same urgency.
func (tq *teamQueue) best(slot Slot, longCutoff, now time.Time) *item {
	for level := range tq.heaps {
		short := tq.heaps[level][0].headFor(slot, now)
		if slot.Class == ShortSlot {
			if short != nil {
				return short
			}
			continue
		}
		long := tq.heaps[level][1].headFor(slot, now)
		switch {
		case long != nil && (short == nil || long.req.Arrived.Before(longCutoff)):
			return long
		case short != nil:
			return short
		}
	}
	return nil
}

// account counts the slots that one team uses for all services.
type account struct {
	team             model.Team
	running          int // requests sent by this entry
	runningElsewhere int // requests sent by other entries, as last reported
}

// usedSlots returns the number of slots that the team uses.
func (a *account) usedSlots() int { return a.running + a.runningElsewhere }

// unusedGuarantee returns the number of guaranteed slots that the team doesn't use.
func (a *account) unusedGuarantee() int { return max(0, a.team.Slots-a.usedSlots()) }

// load is the measure by which teams are ordered, the lowest first. It is negative
// while a team uses fewer slots than it is guaranteed; above that it is the number
// of borrowed slots divided by the weight.
func (a *account) load() float64 {
	if a.usedSlots() < a.team.Slots {
		return float64(a.usedSlots())/float64(a.team.Slots) - 1
	}
	return float64(a.usedSlots()-a.team.Slots) / float64(a.weight())
}

func (a *account) weight() int { return max(1, a.team.Weight) }

// addTo adds the queued requests to d. As many as the team has unused guaranteed
// slots count as guaranteed, the most urgent first and within an urgency the short
// ones.
func (tq *teamQueue) addTo(d *Demand) {
	unusedSlots := tq.account.unusedGuarantee()
	for level := range tq.heaps {
		short, long := tq.heaps[level][0].queued, tq.heaps[level][1].queued
		guaranteed := min(unusedSlots, short)
		unusedSlots -= guaranteed
		d.Guaranteed.Short += guaranteed
		rest := Count{Short: short - guaranteed}
		guaranteed = min(unusedSlots, long)
		unusedSlots -= guaranteed
		d.Guaranteed.Long += guaranteed
		rest.Long = long - guaranteed
		if level == 0 {
			d.Urgent.add(rest)
			continue
		}
		d.Borrowed.add(rest)
	}
}
