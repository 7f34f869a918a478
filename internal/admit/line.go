package admit

import "time"

// item is one queued request.
type item struct {
	r       Request
	level   int       // index into urgencies
	mean    float64   // expected run time in seconds
	planned float64   // run time to plan with, in seconds
	start   time.Time // latest start that still meets the deadline
	gone    bool      // cancelled, popped or expired
}

// line is a queue of requests of one team, urgency and class, ordered by
// latest start. A removed item is only marked, which costs constant time;
// marked items are dropped when they reach the head or outnumber the rest.
type line struct {
	items []*item
	live  int
	work  float64 // expected run time of the live items, in seconds
}

// compactMin is the number of marked items below which a line isn't compacted.
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

// head returns the live item with the earliest latest start, or nil.
func (l *line) head() *item {
	for len(l.items) > 0 {
		if !l.items[0].gone {
			return l.items[0]
		}
		l.drop()
	}
	return nil
}

func (l *line) drop() {
	n := len(l.items) - 1
	l.items[0] = l.items[n]
	l.items[n] = nil
	l.items = l.items[:n]
	l.down(0)
}

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

// fitScan is the number of items at the front that fit looks at.
const fitScan = 8

// fit returns an early item that the slot can finish in time, or else the head.
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

// finishes reports whether the slot is expected to meet the deadline.
func (it *item) finishes(slot Slot, now time.Time) bool {
	extra := seconds(it.planned * max(0, slot.Slowdown-1))
	return !now.Add(extra).After(it.start)
}

// Constants of the wait for a faster slot.
const (
	slowSlot     = 1.05 // time relative to the mean from which a slot is slow
	patienceGain = 1.0  // part of what a slow slot costs that is spent waiting
)

// waitsFor reports whether the request does better to wait for a faster slot.
func (it *item) waitsFor(slot Slot, now time.Time) bool {
	if slot.Slowdown < slowSlot {
		return false
	}
	cost := seconds(it.mean * (slot.Slowdown - 1) * patienceGain)
	return now.Sub(it.r.Arrived) < cost
}

// secondsMost keeps a very long time within the range of a duration.
const secondsMost = 1e9

func seconds(s float64) time.Duration {
	return time.Duration(min(s, secondsMost) * float64(time.Second))
}
