package route

import (
	"math"
	"time"
)

// Parameters of a reserve.
const (
	reserveMemory = 10 * time.Second // time constant of the moving average
	reserveSpread = 1.5              // standard deviations kept free above the mean
)

// reserve computes how many slots are kept free of long requests: enough for the
// short requests that have been running concurrently in the recent past.
type reserve struct {
	low, high int       // bounds of the number of slots
	mean      float64   // moving average of the number of running short requests
	at        time.Time // time of the last observation
}

// observe updates the average: the given number of short requests has been running
// since the last call.
func (r *reserve) observe(running int, now time.Time) {
	if !r.at.IsZero() {
		gone := 1 - math.Exp(-now.Sub(r.at).Seconds()/reserveMemory.Seconds())
		r.mean += gone * (float64(running) - r.mean)
	}
	r.at = now
}

// slots returns the number of slots to keep free of long requests. The number of
// running short requests is taken as Poisson distributed: its variance is its mean.
func (r *reserve) slots() int {
	want := int(math.Round(r.mean + reserveSpread*math.Sqrt(r.mean)))
	return max(r.low, min(r.high, want))
}
