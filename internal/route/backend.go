package route

import (
	"container/list"
	"math"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// Constants of what is learned about a backend server.
const (
	slowGain     = 0.1  // weight of a new sample
	firstSlow    = -0.7 // logarithm taken for a newcomer: hopeful, so that it is tried
	slowClip     = 2.0  // largest natural logarithm of a sample's ratio
	failLimit    = 3    // failures in a row that suspend a backend server
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
	samples  int
	limit    int // requests at once that slow start allows
	fails    int // failures in a row
	suspends int // suspensions in a row
	until    time.Time
	draining bool
	used     *list.Element // in the order of last use
	listed   [2]bool       // whether it is in the tree of reserved and of other credits
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

// succeed learns from a whole answer. What is expected is itself learned from
// run times brought to the mean speed, so the logarithms of all backend servers
// settle around zero.
func (b *backend) succeed(r Result) {
	b.fails, b.suspends = 0, 0
	if b.limit < startEnd {
		b.limit += startGrowth
	}
	if r.ExpectedRunTime <= 0 || r.RunTime <= 0 {
		return
	}
	ratio := math.Log(float64(r.RunTime) / float64(r.ExpectedRunTime))
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
