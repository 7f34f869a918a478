package guard

import "time"

const (
	// stallTime is how long a connection may stand still before it gives way to others.
	stallTime = time.Second
	// slowRate in bytes per second is below what a request gives way to others, after stallTime.
	slowRate = 4 << 10
)

// victim returns the connection to close for another one's sake, or nil: a request that stands still, the longest
// first; else the slowest request; else the connection that has been idle longest. Connections whose request is being
// served are never chosen.
func (b *Budget) victim(asker *Holder, now time.Time) *Holder {
	var stalled, slow, idle *Holder
	for h := range b.holders {
		switch {
		case h == asker || h.phase == PhaseServe:
		case h.phase == PhaseIdle:
			if idle == nil || h.movedAt.Before(idle.movedAt) {
				idle = h
			}
		case now.Sub(h.movedAt) >= stallTime:
			if stalled == nil || h.movedAt.Before(stalled.movedAt) {
				stalled = h
			}
		case now.Sub(h.startedAt) >= stallTime && h.rate(now) < slowRate:
			if slow == nil || h.rate(now) < slow.rate(now) {
				slow = h
			}
		}
	}
	switch {
	case stalled != nil:
		return stalled
	case slow != nil:
		return slow
	}
	return idle
}
