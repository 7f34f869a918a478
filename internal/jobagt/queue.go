package jobagt

import (
	"context"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// maxOrderCalls is how many orders of one kind are sent to the worker at a time. The platform's workers take 64
// connections each. An order that isn't answered, or can't be sent yet, keeps its place: what it waits for, the worker
// or its lease, is what the orders behind it wait for too.
const maxOrderCalls = 30

// orderQueue holds orders of one kind that are executed in the order of their arrival.
type orderQueue struct {
	waiting []queuedOrder
	active  int // goroutines that execute orders
}

// queuedOrder is an order for one incarnation of the worker.
type queuedOrder struct {
	worker jobs.Worker
	key    runKey
	run    *pendingRun
}

// enqueue adds an order to the queue of its kind, unless it is there or is being executed. A start that has become a
// stop is added to the stops, so that it doesn't wait for other starts. The caller holds a.mu.
func (a *Agent) enqueue(k runKey, r *pendingRun) {
	q := &a.starts
	if r.stopWanted {
		q = &a.stops
	}
	if r.executing || r.queue == q {
		return
	}
	r.queue = q
	q.waiting = append(q.waiting, queuedOrder{a.state.worker, k, r})
	if q.active < maxOrderCalls {
		q.active++
		a.group.Go(func() error {
			a.executeQueue(a.ctx, q)
			return nil
		})
	}
}

// executeQueue executes the orders of a queue until none is left.
func (a *Agent) executeQueue(ctx context.Context, q *orderQueue) {
	for {
		o, ok := a.nextOrder(q)
		if !ok {
			return
		}
		a.execute(ctx, o.worker, o.key, o.run)
	}
}

// nextOrder takes the next order from a queue, false if there is none.
func (a *Agent) nextOrder(q *orderQueue) (queuedOrder, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(q.waiting) > 0 {
		o := q.waiting[0]
		q.waiting[0] = queuedOrder{}
		q.waiting = q.waiting[1:]
		if o.run.executing || o.run.queue != q {
			continue // it was in the other queue too
		}
		o.run.executing, o.run.queue = true, nil
		return o, true
	}
	q.waiting = nil
	q.active--
	return queuedOrder{}, false
}
