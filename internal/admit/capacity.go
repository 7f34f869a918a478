package admit

import "time"

// retryMargin lengthens the computed wait before a retry, because the measured
// drain rate is inexact.
const retryMargin = 1.1

// fits returns a Refusal if the queue of the team is full or the request can't
// finish before its deadline.
func (q *Queue) fits(s *service, l *ledger, it *item, now time.Time) error {
	slack := it.start.Sub(now)
	if slack < 0 {
		return refuse(ErrDeadlineTooSoon, "deadline", it.r.Deadline.Sub(now).String())
	}
	full := l.live >= q.opt.MaxQueued
	rate := s.rate(l, it.r.Class)
	if rate <= 0 { // no backend server yet: the waiting time is unknown
		if full {
			return refuseUntil(ErrQueueFull, time.Time{})
		}
		return nil
	}
	allowed := time.Duration(float64(slack) * q.opt.WaitShare)
	excess := seconds(l.ahead(it.level, it.r.Class)/rate) - allowed
	switch {
	case full:
		return refuseUntil(ErrQueueFull, l.promise(it, rate, excess, now))
	case excess > 0:
		return refuseUntil(ErrTooLate, l.promise(it, rate, excess, now))
	}
	return nil
}

// promise returns the time at which a refused request is expected to be accepted.
// Refused requests get successive times, so that their retries do not arrive
// together.
func (l *ledger) promise(it *item, rate float64, excess time.Duration, now time.Time) time.Time {
	wait := time.Duration(retryMargin * float64(max(0, excess)))
	at := now.Add(wait + seconds(it.mean))
	if l.promised.After(at) {
		at = l.promised
	}
	l.promised = at.Add(seconds(it.mean / rate))
	return l.promised
}
