package route

import (
	"math"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// Constants of what is learned about a backend server.
const (
	slowGain     = 0.1 // weight of a new sample
	slowClip     = 2.0 // largest natural logarithm of a sample's ratio
	failLimit    = 3   // failures in a row that suspend a backend server
	suspendLeast = time.Second
	suspendMost  = 30 * time.Second
	startCredit  = 1   // requests at once on a newcomer
	startGrowth  = 1   // added for each success
	startEnd     = 128 // requests at once at which slow start ends
)

// backend is what an entry knows about one backend server.
type backend struct {
	name     string
	slow     float64 // natural logarithm of its time relative to the mean
	any      []uint64
	short    []uint64
	inflight int
	limit    int // requests at once that slow start allows
	fails    int // failures in a row
	suspends int // suspensions in a row
	until    time.Time
	draining bool
	listed   [2]bool // whether it is in the tree of reserved and of other credits
}

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

// succeed learns from a whole answer and returns its run time at the speed
// that is taken as the mean, given the mean logarithm of all backend servers.
func (b *backend) succeed(r Result, mean float64) {
	b.fails, b.suspends = 0, 0
	if b.limit < startEnd {
		b.limit += startGrowth
	}
	if r.Expected <= 0 || r.Took <= 0 {
		return
	}
	ratio := math.Log(float64(r.Took)/float64(r.Expected)) + mean
	ratio = max(b.slow-slowClip, min(b.slow+slowClip, ratio))
	b.slow += slowGain * (ratio - b.slow)
}

func (b *backend) fail() { b.fails++ }

func (b *backend) suspend(now time.Time) {
	length := min(suspendMost, suspendLeast<<min(b.suspends, 5))
	b.until = now.Add(length)
	b.suspends++
	b.limit = startCredit
}
