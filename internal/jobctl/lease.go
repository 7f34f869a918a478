package jobctl

import "time"

// LeaseTerms are the platform's terms for leases, and the durations that follow from them.
//
// A worker continues its runs for a limited time after each renewal. The agent beside it renews
// the lease in short steps, until the end of what the leader has granted. A grant outlasts a short
// partition between the agent and the leader, while a worker that stops answering its agent is
// known to have ended its runs after one step.
type LeaseTerms struct {
	RenewalTimeout time.Duration // most that a worker continues runs without a renewal
	ExpiryDelay    time.Duration // most that a worker takes to notice the end of its lease
}

const (
	// minGrant is the least duration of a grant. It outlasts a partition of six seconds and the
	// time to find the leader again. With drift and margins it ends before a task that lasts has
	// to run again, nine seconds after its last run.
	minGrant = 8 * time.Second
	// maxClockDrift is the maximum rate error of a worker's clock, as specified by the platform.
	maxClockDrift = 0.02
	// leaseMargin covers the timer delays on both sides, for which no limit is specified.
	leaseMargin = 200 * time.Millisecond
)

// Renewal returns how far ahead of a worker's clock an agent renews the lease. The rest of the
// time for which a worker continues runs allows for the age of its last clock reading.
func (t LeaseTerms) Renewal() time.Duration { return t.RenewalTimeout * 4 / 5 }

// Grant returns how far ahead of a worker's clock the leader lets the agent renew the lease. The host of a
// draining worker may be gone soon together with its agent. Nobody reports the end of the worker then, so the
// agent gives up the rest of the last grant when the worker begins to drain, and gets shorter ones.
func (t LeaseTerms) Grant(draining bool) time.Duration {
	if draining {
		return t.Renewal()
	}
	return max(t.Renewal(), minGrant)
}

// CertainEnd returns when a lease that ends the given time after a reading of a worker's clock has
// ended for certain, even if that clock is slow. at is when the reading arrived.
func (t LeaseTerms) CertainEnd(at time.Time, lease time.Duration) time.Time {
	return at.Add(time.Duration(float64(lease)/(1-maxClockDrift)) + t.ExpiryDelay + leaseMargin)
}
