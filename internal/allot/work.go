package allot

import (
	"math"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Work returns the expected duration of a task on a worker of usual speed. It combines the
// measurements of its step, the mean of its queue and the estimate of the caller, each weighted by its
// accuracy so far.
func (l *Learner) Work(step jobs.TaskID, queue string, estimate time.Duration) time.Duration {
	w, ok := l.steps[stepOf(step)]
	if !ok {
		w = &stepWork{queue: queue, estimate: estimate}
	}
	mean, variance := l.usual(w, nil)
	if variance >= unknownSpread {
		return defaultWork
	}
	return time.Duration(math.Exp(mean) * float64(time.Second))
}

// guess returns what the mean of the queue and the estimate of the caller say about the logarithm of a
// task's seconds, and the variance of that.
func (l *Learner) guess(queue string, estimate time.Duration) (mean, variance float64) {
	weights, sum := 0.0, 0.0
	if known, ok := l.work[queue]; ok {
		weights = 1 / (workSpread * workSpread)
		sum = known * weights
	}
	if estimate > 0 {
		e := l.estimates(queue)
		weights += 1 / e.square
		sum += (math.Log(estimate.Seconds()) - e.bias) / e.square
	}
	if weights == 0 {
		return 0, unknownSpread
	}
	return sum / weights, 1 / weights
}

// estimateError describes how far the estimates of callers are off, in logarithms.
type estimateError struct {
	bias   float64 // mean error
	square float64 // variance
	n      float64 // estimates checked, including estimateTrust
}

const (
	// estimateSpread is the standard deviation of callers' estimates before any has been checked:
	// the users' sheets give 0.2 to 0.9.
	estimateSpread = 0.8
	// estimateTrust is how many checked estimates that initial value counts for.
	estimateTrust = 3
)

func (l *Learner) estimates(queue string) *estimateError {
	// estimates returns the estimate errors of a queue, creating them if needed.
	e, ok := l.errors[queue]
	if !ok {
		e = &estimateError{square: estimateSpread * estimateSpread, n: estimateTrust}
		l.errors[queue] = e
	}
	return e
}

// check updates the error with how far an estimate was off.
func (e *estimateError) check(off float64) {
	e.n++
	rate := max(1/e.n, learnRate)
	e.square += rate * ((off-e.bias)*(off-e.bias) - e.square)
	e.square = max(e.square, gangSpread*gangSpread)
	e.bias += rate * (off - e.bias)
}
