package route

import (
	"container/list"
	"math"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// Parameters of the state kept about a backend server.
const (
	slowGain     = 0.1  // smoothing factor: weight of a new sample
	firstSlow    = -0.7 // a new backend server is assumed to take half the mean time (e^-0.7), so that it is tried soon
	slowClip     = 2.0  // largest difference of a sample from the present estimate, as natural logarithm
	failLimit    = 3    // consecutive failures after which a backend server is suspended
	suspendLeast = time.Second
	suspendMost  = 30 * time.Second
	startCredit  = 1   // concurrent requests on a new backend server
	startGrowth  = 1   // additional concurrent requests after each success
	startEnd     = 128 // concurrent requests at which slow start ends
)

// backend holds what an entry knows about one backend server.
type backend struct {
	name     string
	slow     float64   // natural logarithm of its run times relative to the mean of all
	any      []uint64  // ids of unused credits for any class
	short    []uint64  // ids of unused credits reserved for short requests
	inflight int       // requests sent and not finished
	samples  int       // number of samples of slow
	limit    int       // concurrent requests that slow start allows
	fails    int       // consecutive failures
	suspends int       // consecutive suspensions
	until    time.Time // end of the suspension; zero if not suspended
	draining bool
	used     *list.Element // element in the list of least recently used
	listed   [2]bool       // whether it is in the tree of reserved credits and in that of credits for any class
}

// list returns the ids of the unused credits of a class.
func (b *backend) list(class admit.SlotClass) *[]uint64 {
	if class == admit.ShortSlot {
		return &b.short
	}
	return &b.any
}

// usable reports whether new requests may be sent.
func (b *backend) usable() bool {
	return !b.draining && b.until.IsZero() && b.inflight < b.limit
}

// succeed updates the state after a complete answer. The expected run time is
// itself an average of run times that were divided by the slowdown of their server,
// so the logarithms of all backend servers converge around zero.
func (b *backend) succeed(r Result) {
	b.fails, b.suspends = 0, 0
	if b.limit < startEnd {
		b.limit += startGrowth
	}
	if r.Expected <= 0 || r.Took <= 0 {
		return
	}
	ratio := math.Log(float64(r.Took) / float64(r.Expected))
	ratio = max(b.slow-slowClip, min(b.slow+slowClip, ratio))
	b.slow += max(slowGain, 1/float64(b.samples+1)) * (ratio - b.slow)
	b.samples++
}

func (b *backend) fail() { b.fails++ }

func (b *backend) suspend(now time.Time) {
	length := min(suspendMost, suspendLeast<<min(b.suspends, 5))
	b.until = now.Add(length)
	b.suspends++
	b.limit = startCredit
}
