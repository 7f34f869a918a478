package conf

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxStaleness is how long one answer that a revision is current may be relied upon,
// counted from the moment at which the question was sent. It leaves a second
// for the answer's way, so that a change is in force everywhere, or the
// process has stopped taking work, within five seconds.
const MaxStaleness = 4 * time.Second

// Holder keeps the highest configuration revision that a process has seen and
// the deadline until which that revision is known to be current. A new Holder
// is not fresh: a process serves nothing before its first vouch. It is safe
// for concurrent use.
type Holder struct {
	cluster string

	mu       sync.RWMutex
	cfg      Config
	trail    trail
	loaded   bool
	heard    uint64 // highest revision known to exist
	deadline time.Time
}

// NewHolder returns an empty holder for one cluster.
func NewHolder(cluster string) *Holder {
	return &Holder{cluster: cluster}
}

// Apply takes a delta in. It refuses one of another cluster (ErrCluster), one
// that ends below the revision held (ErrStale) and one that begins above it
// (ErrGap); a refused delta changes nothing.
func (h *Holder) Apply(d Delta) error {
	if d.Cluster != h.cluster {
		return errors.Wrapf(ErrWrongCluster, "delta of cluster %q, held %q", d.Cluster, h.cluster)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded && !d.Full && d.From > 0 {
		return errors.Wrapf(ErrGap, "delta from revision %d, nothing held", d.From)
	}
	cfg, err := h.cfg.Apply(d)
	if err != nil {
		return err
	}
	h.cfg = cfg
	h.trail = h.trail.with(d)
	h.loaded = true
	h.heard = max(h.heard, d.Revision)
	return nil
}

// RecordRevision notes that a revision exists, as heartbeats tell.
func (h *Holder) RecordRevision(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard = max(h.heard, revision)
}

// ExtendFreshness says that the revision held is known to be current until a deadline:
// the time at which the question was sent plus Bound, less the age of what a
// relay knew. It has no effect while a higher revision is known to exist or
// nothing is held, and never moves the deadline back. Callers that were told
// which revision is current use VouchAt.
func (h *Holder) ExtendFreshness(deadline time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded || h.heard > h.cfg.Revision() {
		return
	}
	if deadline.After(h.deadline) {
		h.deadline = deadline
	}
}

// ExtendFreshnessAt takes in the answer that a revision is current: it notes that the
// revision exists, and vouches if that is the one held.
func (h *Holder) ExtendFreshnessAt(revision uint64, deadline time.Time) {
	h.RecordRevision(revision)
	h.ExtendFreshness(deadline)
}

// Fresh reports whether the revision held may be acted upon.
func (h *Holder) Fresh(now time.Time) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.loaded && now.Before(h.deadline)
}

// FreshUntil returns until when the revision held may be acted upon, so that a
// relay can pass on what is left of it.
func (h *Holder) FreshUntil() time.Time {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.deadline
}

// Behind reports whether a higher revision than the one held is known to exist.
func (h *Holder) Behind() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.heard > h.cfg.Revision()
}

// DeltaSince returns what a process further down needs to get from a revision to the
// one held: the changes, or a full copy when it is too far behind. It returns
// false while nothing is held.
func (h *Holder) DeltaSince(from uint64) (Delta, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.loaded {
		return Delta{}, false
	}
	return h.trail.since(from, h.cfg).WithCluster(h.cluster), true
}

// Remaining returns for how long the revision held may still be acted upon. A relay
// passes this on, since clocks of two hosts can't be compared: the process
// further down vouches until the time at which it asked plus what was left.
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
