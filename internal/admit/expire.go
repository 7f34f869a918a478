package admit

import "time"

// Expire removes and returns the queued requests that can't meet their deadline any
// more. They have not run.
func (q *Queue) Expire(now time.Time) []Request {
	for _, s := range q.services {
		for _, l := range s.active {
			q.expireLedger(s, l, now)
		}
	}
	out := q.expired
	q.expired = nil
	return out
}

func (q *Queue) expireLedger(s *service, l *ledger, now time.Time) {
	for level := range l.lines {
		for class := range l.lines[level] {
			line := &l.lines[level][class]
			for it := line.head(); it != nil && it.start.Before(now); it = line.head() {
				q.expire(s, l, it, now)
			}
		}
	}
}

func (q *Queue) expire(s *service, l *ledger, it *item, now time.Time) {
	s.remove(l, it, now)
	delete(q.queued, it.r.ID)
	q.expired = append(q.expired, it.r)
}

// expireAll expires all requests of a service that is being removed.
func (q *Queue) expireAll(s *service) {
	for _, l := range s.active {
		for level := range l.lines {
			for class := range l.lines[level] {
				for _, it := range l.lines[level][class].items {
					if !it.gone {
						delete(q.queued, it.r.ID)
						q.expired = append(q.expired, it.r)
					}
				}
			}
		}
	}
}
