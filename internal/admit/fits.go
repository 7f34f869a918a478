package admit

import "time"

// retryMargin is what the measured rate may be off when a retry time is told.
const retryMargin = 1.1

// fits refuses a request that the queue can't finish before its deadline.
func (q *Queue) fits(s *service, l *ledger, it *item, now time.Time) error {
	slack := it.start.Sub(now)
	if slack < 0 {
		return refuse(ErrDeadlineTooSoon, "deadline", it.r.Deadline.Sub(now).String())
	}
	full := l.live >= q.opt.MaxQueued
	rate := s.rate(l, it.r.Class)
	if rate <= 0 { // no backend server yet: how long it takes isn't known
		if full {
			return refuseUntil(ErrQueueFull, time.Time{})
		}
		return nil
	}
	allowed := time.Duration(float64(slack) * q.opt.MaxWaitFraction)
	excess := seconds(l.ahead(it.level, it.r.Class)/rate) - allowed
	switch {
	case full:
		return refuseUntil(ErrQueueFull, l.promise(it, rate, excess, now))
	case excess > 0:
		return refuseUntil(ErrQueueTooSlow, l.promise(it, rate, excess, now))
	}
	return nil
}

// promise returns when a refused request would be accepted, after those that
// were refused before it.
func (l *ledger) promise(it *item, rate float64, excess time.Duration, now time.Time) time.Time {
	wait := time.Duration(retryMargin * float64(max(0, excess)))
	at := now.Add(wait + seconds(it.mean))
	if l.promised.After(at) {
		at = l.promised
	}
	l.promised = at.Add(seconds(it.mean / rate))
	return l.promised
}
