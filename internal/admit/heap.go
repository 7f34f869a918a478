package admit

import "time"

// item is a queued request.
type item struct {
	r       Request
	level   int       // index into urgencies
	mean    float64   // expected run time in seconds
	planned float64   // run time to plan with, in seconds
	start   time.Time // latest start that still meets the deadline
	gone    bool      // cancelled, popped or expired; still in the heap
}

// line is a binary heap of the requests of one team, urgency and class, with the
// earliest latest start at the top. A removed item is only marked, which takes
// constant time; marked items are dropped when they reach the top or outnumber
// the rest.
type line struct {
	items []*item
	live  int     // number of items that aren't marked as removed
	work  float64 // sum of the items' mean run times, in seconds; marked items excluded
}

// compactMin is the number of marked items up to which a heap isn't compacted.
const compactMin = 64

func (l *line) push(it *item) {
	l.items = append(l.items, it)
	l.live++
	l.work += it.mean
	l.up(len(l.items) - 1)
}

func (l *line) remove(it *item) {
	it.gone = true
	l.live--
	l.work -= it.mean
	if l.live == 0 {
		l.work = 0
	}
	if marked := len(l.items) - l.live; marked > compactMin && marked > l.live {
		l.compact()
	}
}

// head returns the queued item with the earliest latest start, or nil. It drops
// marked items on the way.
func (l *line) head() *item {
	for len(l.items) > 0 {
		if !l.items[0].gone {
			return l.items[0]
		}
		l.drop()
	}
	return nil
}

// drop deletes the item at the top.
func (l *line) drop() {
	n := len(l.items) - 1
	l.items[0] = l.items[n]
	l.items[n] = nil
	l.items = l.items[:n]
	l.down(0)
}

// compact deletes all marked items and restores the heap order.
func (l *line) compact() {
	kept := l.items[:0]
	for _, it := range l.items {
		if !it.gone {
			kept = append(kept, it)
		}
	}
	clear(l.items[len(kept):])
	l.items = kept
	for i := len(kept)/2 - 1; i >= 0; i-- {
		l.down(i)
	}
}

func (l *line) less(i, j int) bool { return l.items[i].start.Before(l.items[j].start) }

func (l *line) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !l.less(i, parent) {
			return
		}
		l.items[i], l.items[parent] = l.items[parent], l.items[i]
		i = parent
	}
}

func (l *line) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(l.items); child++ {
			if l.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		l.items[i], l.items[least] = l.items[least], l.items[i]
		i = least
	}
}

// fitScan is the number of items at the front that fit examines.
const fitScan = 8

// fit returns the item to run on the slot: the head if the slot can finish it in
// time, or else the earliest of the first few items for which it can, or else the
// head.
func (l *line) fit(slot Slot, now time.Time) *item {
	head := l.head()
	if head == nil || head.finishes(slot, now) {
		return head
	}
	var found *item
	for _, it := range l.items[:min(fitScan, len(l.items))] {
		if !it.gone && it.finishes(slot, now) && (found == nil || it.start.Before(found.start)) {
			found = it
		}
	}
	if found == nil {
		return head
	}
	return found
}

// finishes reports whether the request is expected to meet its deadline on the
// slot.
func (it *item) finishes(slot Slot, now time.Time) bool {
	extra := seconds(it.planned * max(0, slot.Slow-1))
	return !now.Add(extra).After(it.start)
}

// Parameters of the wait for a faster slot.
const (
	slowSlot     = 1.05 // run time relative to the mean from which a slot counts as slow
	patienceGain = 1.0  // longest wait, as a fraction of the time that the slow slot would cost
)

// waitsFor reports whether the request should wait for a faster slot instead of
// using this one.
func (it *item) waitsFor(slot Slot, now time.Time) bool {
	if slot.Slow < slowSlot {
		return false
	}
	cost := seconds(it.mean * (slot.Slow - 1) * patienceGain)
	return now.Sub(it.r.Arrived) < cost
}

// secondsMost keeps very long times within the range of time.Duration.
const secondsMost = 1e9

func seconds(s float64) time.Duration {
	return time.Duration(min(s, secondsMost) * float64(time.Second))
}
