package admit

import "time"

// retryWaitFactor lengthens the computed wait before a retry, because the measured
// drain rate is inexact.
const retryWaitFactor = 1.1

// checkCapacity returns a Refusal if the queue of the team is full or the request can't
// finish before its deadline.
func (q *Queue) checkCapacity(s *serviceQueue, tq *teamQueue, it *item, now time.Time) error {
	slack := it.latestStart.Sub(now)
	if slack < 0 {
		return refuse(ErrDeadlineTooSoon, "deadline", it.req.Deadline.Sub(now).String())
	}
	full := tq.queued >= q.opt.MaxQueued
	rate := s.expectedDrainRate(tq, it.req.Class)
	if rate <= 0 { // no backend server yet: the waiting time is unknown
		if full {
			return refuseWithRetry(ErrQueueFull, time.Time{})
		}
		return nil
	}
	allowedWait := time.Duration(float64(slack) * q.opt.MaxWaitFraction)
	excessWait := secondsToDuration(tq.workAhead(it.level, it.req.Class)/rate) - allowedWait
	switch {
	case full:
		return refuseWithRetry(ErrQueueFull, tq.nextRetryTime(it, rate, excessWait, now))
	case excessWait > 0:
		return refuseWithRetry(ErrQueueTooSlow, tq.nextRetryTime(it, rate, excessWait, now))
	}
	return nil
}

// nextRetryTime returns the time at which a refused request is expected to be accepted.
// Refused requests get successive times, so that their retries do not arrive
// together.
func (tq *teamQueue) nextRetryTime(it *item, rate float64, excessWait time.Duration, now time.Time) time.Time {
	retryWait := time.Duration(retryWaitFactor * float64(max(0, excessWait)))
	retryAt := now.Add(retryWait + secondsToDuration(it.meanSeconds))
	if tq.lastRetryAt.After(retryAt) {
		retryAt = tq.lastRetryAt
	}
	tq.lastRetryAt = retryAt.Add(secondsToDuration(it.meanSeconds / rate))
	return tq.lastRetryAt
}
