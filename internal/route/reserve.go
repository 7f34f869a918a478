package route

import (
	"math"
	"time"
)

// Constants of a reserve.
const (
	reserveMemory = 10 * time.Second // time over which the mean is taken
	reserveSpread = 2.0              // deviations kept free above the mean
)

// reserve decides how many slots are kept free of long requests: enough for
// the short requests that have been running at once of late.
type reserve struct {
	low, high int
	mean      float64 // mean number of short requests running
	at        time.Time
}

// observe accounts that short requests have been running since the last call.
func (r *reserve) observe(running int, now time.Time) {
	if !r.at.IsZero() {
		gone := 1 - math.Exp(-now.Sub(r.at).Seconds()/reserveMemory.Seconds())
		r.mean += gone * (float64(running) - r.mean)
	}
	r.at = now
}

// slots returns the number of slots to keep free of long requests.
func (r *reserve) slots() int {
	want := int(math.Ceil(r.mean + reserveSpread*math.Sqrt(r.mean)))
	return max(r.low, min(r.high, want))
}
