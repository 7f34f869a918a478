package admit

import "time"

// Expire removes and returns the queued requests that can't meet their deadline any
// more. They have not run.
func (q *Queue) Expire(now time.Time) []Request {
	for _, s := range q.services {
		for _, tq := range s.active {
			q.expireTeam(s, tq, now)
		}
	}
	expired := q.expired
	q.expired = nil
	return expired
}

func (q *Queue) expireTeam(s *serviceQueue, tq *teamQueue, now time.Time) {
	for level := range tq.heaps {
		for class := range tq.heaps[level] {
			heap := &tq.heaps[level][class]
			for it := heap.head(); it != nil && it.latestStart.Before(now); it = heap.head() {
				q.expireItem(s, tq, it, now)
			}
		}
	}
}

func (q *Queue) expireItem(s *serviceQueue, tq *teamQueue, it *item, now time.Time) {
	s.remove(tq, it, now)
	delete(q.queued, it.req.ID)
	q.expired = append(q.expired, it.req)
}

// expireService expires all requests of a service that is being removed.
func (q *Queue) expireService(s *serviceQueue) {
	for _, tq := range s.active {
		for level := range tq.heaps {
			for class := range tq.heaps[level] {
				for _, it := range tq.heaps[level][class].items {
					if !it.removed {
						delete(q.queued, it.req.ID)
						q.expired = append(q.expired, it.req)
					}
				}
			}
		}
	}
}
