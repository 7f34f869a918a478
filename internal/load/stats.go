package load

import (
	"sort"
	"time"
)

// Latencies returns the sorted times from arrival to answer of the matching results
// that have an answer.
func Latencies(results []Result, match func(Result) bool) []time.Duration {
	var times []time.Duration
	for _, r := range results {
		if r.Answered && match(r) {
			times = append(times, r.Latency())
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times
}

// Quantile returns a quantile of sorted times; 0 if there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Mean returns the mean of times; 0 if there are none.
func Mean(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, t := range times {
		sum += t
	}
	return sum / time.Duration(len(times))
}

// Share returns the share of the matching results for which the property holds.
func Share(results []Result, match, property func(Result) bool) float64 {
	matching, holding := 0, 0
	for _, r := range results {
		if !match(r) {
			continue
		}
		matching++
		if property(r) {
			holding++
		}
	}
	if matching == 0 {
		return 0
	}
	return float64(holding) / float64(matching)
}

// IsShort reports whether a result is of a short job.
func IsShort(r Result) bool { return !r.Job.Long }

// ArrivedBetween returns a function that reports whether a job arrived between from
// (inclusive) and to (exclusive).
func ArrivedBetween(from, to time.Duration) func(Result) bool {
	return func(r Result) bool { return r.Job.Arrival >= from && r.Job.Arrival < to }
}
