package conf

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxStaleness is how long a process may use a revision after it was confirmed to be
// current, counted from when the request for the confirmation was sent. It leaves
// one second for the answer to arrive, so that within five seconds a change is in
// force in every process, or the process has stopped accepting work.
const MaxStaleness = 4 * time.Second

// Holder keeps the highest configuration revision that a process has received and
// the deadline until which the process may use it. The holder is fresh until that
// deadline. A new Holder is not fresh: a process serves nothing until its revision
// is first confirmed to be current. A Holder is safe for concurrent use.
type Holder struct {
	cluster string

	mu           sync.RWMutex
	cfg          Config
	history      deltaHistory
	hasConfig    bool
	highestKnown uint64 // highest revision known to exist
	freshUntil   time.Time
}

// NewHolder returns an empty holder for one cluster.
func NewHolder(cluster string) *Holder {
	return &Holder{cluster: cluster}
}

// Apply applies a delta. It refuses a delta of another cluster (ErrWrongCluster), one
// that ends below the revision held (ErrStale) and one that begins above it
// (ErrGap). A refused delta changes nothing.
func (h *Holder) Apply(d Delta) error {
	if d.Cluster != h.cluster {
		return errors.Wrapf(ErrWrongCluster, "delta of cluster %q, held %q", d.Cluster, h.cluster)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasConfig && !d.Full && d.From > 0 {
		return errors.Wrapf(ErrGap, "delta from revision %d, nothing held", d.From)
	}
	cfg, err := h.cfg.Apply(d)
	if err != nil {
		return err
	}
	h.cfg = cfg
	h.history = h.history.add(d)
	h.hasConfig = true
	h.highestKnown = max(h.highestKnown, d.Revision)
	return nil
}

// RecordRevision records that a revision exists, as reported by a heartbeat's answer.
func (h *Holder) RecordRevision(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.highestKnown = max(h.highestKnown, revision)
}

// ExtendFreshness extends the time until which the revision held may be used. freshUntil
// is the time at which the request for the confirmation was sent plus MaxStaleness,
// less the age of the information if a relay answered. ExtendFreshness has no effect
// while nothing is held or a higher revision is known to exist, and it never makes
// that time earlier. Callers that were told which revision is current use
// ExtendFreshnessAt.
func (h *Holder) ExtendFreshness(freshUntil time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasConfig || h.highestKnown > h.cfg.Revision() {
		return
	}
	if freshUntil.After(h.freshUntil) {
		h.freshUntil = freshUntil
	}
}

// ExtendFreshnessAt records that a revision exists. Unless a revision higher than
// the one held is known, it then extends the time until which the one held may be
// used.
func (h *Holder) ExtendFreshnessAt(revision uint64, freshUntil time.Time) {
	h.RecordRevision(revision)
	h.ExtendFreshness(freshUntil)
}

// Fresh reports whether the revision held may be used.
func (h *Holder) Fresh(now time.Time) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.hasConfig && now.Before(h.freshUntil)
}

// FreshUntil returns the time until which the revision held may be used.
func (h *Holder) FreshUntil() time.Time {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.freshUntil
}

// Behind reports whether a higher revision than the one held is known to exist.
func (h *Holder) Behind() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.highestKnown > h.cfg.Revision()
}

// DeltaSince returns the delta that takes a downstream process from a revision to the
// one held: the changes, or a full copy if the history doesn't reach back that
// far. It returns false while nothing is held.
func (h *Holder) DeltaSince(from uint64) (Delta, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.hasConfig {
		return Delta{}, false
	}
	return h.history.since(from, h.cfg).WithCluster(h.cluster), true
}

// Remaining returns for how long the revision held may still be used. A relay passes
// on this duration rather than the deadline, since the clocks of two hosts can't be
// compared. The downstream process adds it to the time at which it sent its
// request.
func (h *Holder) Remaining(now time.Time) time.Duration {
	return max(0, h.FreshUntil().Sub(now))
}

// Config returns the configuration held.
func (h *Holder) Config() Config {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.cfg
}

// Revision returns the revision held.
func (h *Holder) Revision() uint64 { return h.Config().Revision() }
