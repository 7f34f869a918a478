package allot

import "time"

// AdmitReason tells why a job was accepted or refused.
type AdmitReason string

// The reasons. Only AdmitTooLate refuses.
const (
	AdmitUnbounded  AdmitReason = "unbounded"  // recurring and long-running jobs have no deadline of their own
	AdmitGuaranteed AdmitReason = "guaranteed" // it is within the guarantee of its team
	AdmitReturned   AdmitReason = "returned"   // it was told to come back now
	AdmitFree       AdmitReason = "free"       // room for it is free
	AdmitPossible   AdmitReason = "possible"   // it may be complete while that has a value
	AdmitTooLate    AdmitReason = "toolate"    // even in the best case completing it would have no value
)

// Admission is the decision on a job that has arrived and what it was based on.
type Admission struct {
	Reason   AdmitReason
	RetryAt  time.Time // when a refused job would be in time
	Best     Forecast  // in the best case
	Expected Forecast
}

// Refused reports whether the job is refused.
func (a Admission) Refused() bool { return a.Reason == AdmitTooLate }

// minRetryDelay is the least time after which a refused caller is told to come back.
const minRetryDelay = time.Second

// Admit decides whether a job is accepted, given its first step. A job is refused only if completing it can't have a
// value even in the best case: what is uncertain is accepted. promises are the jobs that were refused before and are
// expected back.
//
// It answers a load of several times the room that lasts for longer than callers' deadlines. Without it callers wait
// for answers that come too late, and their work keeps room from those who could still be in time.
func (in *Input) Admit(step PendingStep, promises []Promise) Admission {
	a := Admission{}
	switch {
	case step.LongRunning:
		a.Reason = AdmitUnbounded
		return a
	case step.Guaranteed:
		a.Reason = AdmitGuaranteed
		return a
	}
	for i := range promises {
		if p := &promises[i]; p.Step.Job == step.Job && !in.Now.Before(p.RetryAt) {
			a.Reason = AdmitReturned
			return a
		}
	}
	if in.fitsNow(&step) {
		a.Reason = AdmitFree
		return a
	}
	a.Best = in.BestCase(&step)
	if !a.Best.End.After(step.HardDeadline) || a.Best.Room <= 0 {
		a.Reason = AdmitPossible
		return a
	}
	a.Reason, a.Expected = AdmitTooLate, in.Expected(&step, promises)
	a.RetryAt = in.retryAt(&step, a.Expected)
	for i := range promises {
		if p := &promises[i]; p.Step.Job == step.Job && p.RetryAt.After(in.Now) {
			a.RetryAt = p.RetryAt // it keeps its place
		}
	}
	return a
}

// retryAt returns when a refused job has to come back so that it is expected to be complete in time. Jobs refused after
// it count it as ahead, so that callers don't come back all at once.
func (in *Input) retryAt(step *PendingStep, expected Forecast) time.Time {
	end := expected.Begin.Add(scale(step.TaskDuration, deadlineMargin) + step.RestDuration)
	at := end.Add(-step.Deadline.Sub(in.Now))
	if earliest := in.Now.Add(minRetryDelay); at.Before(earliest) {
		return earliest
	}
	return at
}
