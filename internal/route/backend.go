package route

import (
	"container/list"
	"math"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// Parameters of the state kept about a backend server.
const (
	slowdownGain        = 0.1  // smoothing factor: weight of a new sample
	initialLogSlowdown  = -0.7 // a new backend server is assumed to take half the mean time (e^-0.7), so that it is tried soon
	maxLogDeviation     = 2.0  // largest difference of a sample from the present estimate, as natural logarithm
	maxConsecutiveFails = 3    // consecutive failures after which a backend server is suspended
	minSuspension       = time.Second
	maxSuspension       = 30 * time.Second
	initialInflight     = 1   // concurrent requests on a new backend server
	inflightGrowth      = 1   // additional concurrent requests after each success
	slowStartEnd        = 128 // concurrent requests at which slow start ends
)

// backend holds what an entry knows about one backend server.
type backend struct {
	name             string
	logSlowdown      float64  // natural logarithm of its run times relative to the mean of all
	anyCredits       []uint64 // ids of unused credits for any class
	shortCredits     []uint64 // ids of unused credits reserved for short requests
	inflight         int      // requests sent and not finished
	samples          int      // number of samples in logSlowdown
	maxInflight      int      // concurrent requests that slow start allows
	consecutiveFails int
	suspensions      int       // consecutive suspensions
	suspendedUntil   time.Time // end of the suspension; zero if not suspended
	draining         bool
	lruElement       *list.Element // element in the list of least recently used
	inTree           [2]bool       // whether it is in the tree of reserved credits and in that of credits for any class
}

// credits returns the ids of the unused credits of a class.
func (b *backend) credits(class admit.SlotClass) *[]uint64 {
	if class == admit.ShortSlot {
		return &b.shortCredits
	}
	return &b.anyCredits
}

// usable reports whether new requests may be sent.
func (b *backend) usable() bool {
	return !b.draining && b.suspendedUntil.IsZero() && b.inflight < b.maxInflight
}

// recordSuccess updates the state after a complete answer. The expected run time is
// itself an average of run times that were divided by the slowdown of their server,
// so the logarithms of all backend servers converge around zero.
func (b *backend) recordSuccess(r Result) {
	b.consecutiveFails, b.suspensions = 0, 0
	if b.maxInflight < slowStartEnd {
		b.maxInflight += inflightGrowth
	}
	if r.ExpectedRunTime <= 0 || r.RunTime <= 0 {
		return
	}
	ratio := math.Log(float64(r.RunTime) / float64(r.ExpectedRunTime))
	ratio = max(b.logSlowdown-maxLogDeviation, min(b.logSlowdown+maxLogDeviation, ratio))
	b.logSlowdown += max(slowdownGain, 1/float64(b.samples+1)) * (ratio - b.logSlowdown)
	b.samples++
}

func (b *backend) recordFailure() { b.consecutiveFails++ }

func (b *backend) suspend(now time.Time) {
	duration := min(maxSuspension, minSuspension<<min(b.suspensions, 5))
	b.suspendedUntil = now.Add(duration)
	b.suspensions++
	b.maxInflight = initialInflight
}
