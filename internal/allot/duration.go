package allot

import (
	"math"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// TaskDuration returns the expected duration of a task on a worker of usual speed. It combines the
// measurements of its step, the mean of its queue and the estimate of the caller, each weighted by
// its accuracy so far.
func (l *Learner) TaskDuration(step jobs.TaskID, queue string, estimate time.Duration) time.Duration {
	record, ok := l.steps[stepID(step)]
	if !ok {
		record = &stepRecord{queue: queue, estimate: estimate}
	}
	mean, variance := l.stepEstimate(record, nil)
	if variance >= unknownVariance {
		return defaultDuration
	}
	return time.Duration(math.Exp(mean) * float64(time.Second))
}

// priorEstimate returns what the mean of the queue and the estimate of the caller say about the logarithm of a
// task's seconds, and the variance of that.
func (l *Learner) priorEstimate(queue string, estimate time.Duration) (mean, variance float64) {
	weightSum, sum := 0.0, 0.0
	if queueMean, ok := l.queueLogSeconds[queue]; ok {
		weightSum = 1 / (queueStdDev * queueStdDev)
		sum = queueMean * weightSum
	}
	if estimate > 0 {
		errs := l.estimateErrorsOf(queue)
		weightSum += 1 / errs.variance
		sum += (math.Log(estimate.Seconds()) - errs.bias) / errs.variance
	}
	if weightSum == 0 {
		return 0, unknownVariance
	}
	return sum / weightSum, 1 / weightSum
}

// estimateErrors describes how far the estimates of callers are off, in logarithms.
type estimateErrors struct {
	bias     float64 // mean error
	variance float64 // variance of the errors
	count    float64 // number of estimates checked, including estimatePriorCount
}

const (
	// estimateStdDev is the standard deviation of callers' estimates before any has been checked:
	// the users' sheets give 0.2 to 0.9.
	estimateStdDev = 0.8
	// estimatePriorCount is how many checked estimates the initial variance counts for.
	estimatePriorCount = 3
)

// estimateErrorsOf returns the estimate errors of a queue, creating them if needed.
func (l *Learner) estimateErrorsOf(queue string) *estimateErrors {
	errs, ok := l.estimateErrors[queue]
	if !ok {
		errs = &estimateErrors{variance: estimateStdDev * estimateStdDev, count: estimatePriorCount}
		l.estimateErrors[queue] = errs
	}
	return errs
}

// add updates the bias and the variance with the error of one more estimate.
func (e *estimateErrors) add(deviation float64) {
	e.count++
	rate := max(1/e.count, learningRate)
	e.variance += rate * ((deviation-e.bias)*(deviation-e.bias) - e.variance)
	e.variance = max(e.variance, gangStdDev*gangStdDev)
	e.bias += rate * (deviation - e.bias)
}
