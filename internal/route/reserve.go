package route

import (
	"math"
	"time"
)

// Parameters of a reserve.
const (
	reserveTimeConstant = 10 * time.Second // time constant of the moving average
	reserveDeviations   = 1.5              // standard deviations kept free above the mean
)

// reserve computes how many slots are kept free of long requests: enough for the
// short requests that have been running concurrently in the recent past.
type reserve struct {
	minSlots, maxSlots int       // bounds of the number of slots
	meanRunning        float64   // moving average of the number of running short requests
	lastObserved       time.Time // time of the last observation
}

// observe updates the average: the given number of short requests has been running
// since the last call.
func (r *reserve) observe(running int, now time.Time) {
	if !r.lastObserved.IsZero() {
		weight := 1 - math.Exp(-now.Sub(r.lastObserved).Seconds()/reserveTimeConstant.Seconds())
		r.meanRunning += weight * (float64(running) - r.meanRunning)
	}
	r.lastObserved = now
}

// slots returns the number of slots to keep free of long requests. The number of
// running short requests is taken as Poisson distributed: its variance is its mean.
func (r *reserve) slots() int {
	want := int(math.Round(r.meanRunning + reserveDeviations*math.Sqrt(r.meanRunning)))
	return max(r.minSlots, min(r.maxSlots, want))
}
