package admit

import "time"

// item is a queued request.
type item struct {
	req            Request
	level          int       // index into urgencies
	meanSeconds    float64   // expected run time in seconds
	plannedSeconds float64   // run time to plan with, in seconds
	latestStart    time.Time // latest start that still meets the deadline
	removed        bool      // cancelled, popped or expired; still in the heap
}

// requestHeap is a binary heap of the requests of one team, urgency and class, with the
// earliest latest start at the top. A removed item is only marked, which takes
// constant time; marked items are dropped when they reach the top or outnumber
// the rest.
type requestHeap struct {
	items       []*item
	queued      int     // number of items that aren't marked as removed
	workSeconds float64 // sum of the items' mean run times, in seconds; marked items excluded
}

// minCompactRemoved is the number of marked items up to which a heap isn't compacted.
const minCompactRemoved = 64

func (h *requestHeap) push(it *item) {
	h.items = append(h.items, it)
	h.queued++
	h.workSeconds += it.meanSeconds
	h.siftUp(len(h.items) - 1)
}

func (h *requestHeap) remove(it *item) {
	it.removed = true
	h.queued--
	h.workSeconds -= it.meanSeconds
	if h.queued == 0 {
		h.workSeconds = 0
	}
	if removed := len(h.items) - h.queued; removed > minCompactRemoved && removed > h.queued {
		h.compact()
	}
}

// head returns the queued item with the earliest latest start, or nil. It drops
// marked items on the way.
func (h *requestHeap) head() *item {
	for len(h.items) > 0 {
		if !h.items[0].removed {
			return h.items[0]
		}
		h.dropHead()
	}
	return nil
}

// dropHead deletes the item at the top.
func (h *requestHeap) dropHead() {
	n := len(h.items) - 1
	h.items[0] = h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	h.siftDown(0)
}

// compact deletes all marked items and restores the heap order.
func (h *requestHeap) compact() {
	kept := h.items[:0]
	for _, it := range h.items {
		if !it.removed {
			kept = append(kept, it)
		}
	}
	clear(h.items[len(kept):])
	h.items = kept
	for i := len(kept)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}

func (h *requestHeap) less(i, j int) bool {
	return h.items[i].latestStart.Before(h.items[j].latestStart)
}

func (h *requestHeap) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

func (h *requestHeap) siftDown(i int) {
	for {
		earliest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(child, earliest) {
				earliest = child
			}
		}
		if earliest == i {
			return
		}
		h.items[i], h.items[earliest] = h.items[earliest], h.items[i]
		i = earliest
	}
}

// maxHeadScan is the number of items at the front that headFor examines.
const maxHeadScan = 8

// headFor returns the item to run on the slot: the head if the slot can finish it in
// time, or else the earliest of the first few items for which it can, or else the
// head.
func (h *requestHeap) headFor(slot Slot, now time.Time) *item {
	head := h.head()
	if head == nil || head.meetsDeadline(slot, now) {
		return head
	}
	var earliest *item
	for _, it := range h.items[:min(maxHeadScan, len(h.items))] {
		if !it.removed && it.meetsDeadline(slot, now) && (earliest == nil || it.latestStart.Before(earliest.latestStart)) {
			earliest = it
		}
	}
	if earliest == nil {
		return head
	}
	return earliest
}

// meetsDeadline reports whether the request is expected to meet its deadline on the
// slot.
func (it *item) meetsDeadline(slot Slot, now time.Time) bool {
	extraTime := secondsToDuration(it.plannedSeconds * max(0, slot.Slowdown-1))
	return !now.Add(extraTime).After(it.latestStart)
}

// Parameters of the wait for a faster slot.
const (
	slowSlotThreshold      = 1.05 // run time relative to the mean from which a slot counts as slow
	fasterSlotWaitFraction = 1.0  // longest wait, as a fraction of the time that the slow slot would cost
)

// shouldWait reports whether the request should wait for a faster slot instead of
// using this one.
func (it *item) shouldWait(slot Slot, now time.Time) bool {
	if slot.Slowdown < slowSlotThreshold {
		return false
	}
	maxWait := secondsToDuration(it.meanSeconds * (slot.Slowdown - 1) * fasterSlotWaitFraction)
	return now.Sub(it.req.Arrived) < maxWait
}

// maxSeconds keeps very long times within the range of time.Duration.
const maxSeconds = 1e9

func secondsToDuration(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
