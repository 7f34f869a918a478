package load

import (
	"sort"
	"time"
)

// Latencies returns the sorted times to the answers of the results that match.
func Latencies(results []Result, match func(Result) bool) []time.Duration {
	var out []time.Duration
	for _, r := range results {
		if r.Answered && match(r) {
			out = append(out, r.Latency())
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
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

// Share returns the part of the matching results for which the property holds.
func Share(results []Result, match, property func(Result) bool) float64 {
	n, have := 0, 0
	for _, r := range results {
		if !match(r) {
			continue
		}
		n++
		if property(r) {
			have++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(have) / float64(n)
}

// IsShort selects the results of short jobs.
func IsShort(r Result) bool { return !r.Job.Long }

// ArrivedBetween returns a selector of the results of jobs that arrived in a span.
func ArrivedBetween(from, to time.Duration) func(Result) bool {
	return func(r Result) bool { return r.Job.Arrival >= from && r.Job.Arrival < to }
}
