package guard

import (
	"net/netip"
	"time"
)

// Phase is what a connection does.
type Phase string

// Values of Phase.
const (
	PhaseHead  Phase = "head"  // the head of a request is read
	PhaseBody  Phase = "body"  // a body is read
	PhaseServe Phase = "serve" // the request is served
	PhaseWrite Phase = "write" // an answer is written
	PhaseIdle  Phase = "idle"  // between two requests
)

// Holder is what one connection holds of a budget. Its fields are guarded by the budget.
type Holder struct {
	budget *Budget
	client netip.Addr
	cut    func()

	phase     Phase
	bytes     int64
	moved     int64 // bytes read or written in this phase
	startedAt time.Time
	movedAt   time.Time
}

// rate returns the bytes per second of the phase.
func (h *Holder) rate(now time.Time) float64 {
	return float64(h.moved) / max(now.Sub(h.startedAt).Seconds(), time.Millisecond.Seconds())
}

// Take takes n bytes before they are used. It returns ErrFull if there is no room now, and
// ErrTooLarge if there never is.
func (h *Holder) Take(n int64) error {
	h.budget.mu.Lock()
	cuts, err := h.budget.take(h, n)
	h.budget.mu.Unlock()
	run(cuts)
	return err
}

// Give gives n bytes back.
func (h *Holder) Give(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.budget.holders[h] {
		n = min(n, h.bytes-connBytes)
		h.bytes -= n
		h.budget.used -= n
	}
}

// Reset gives all back except what the connection itself costs.
func (h *Holder) Reset() { h.Give(1 << 62) }

// Enter begins a phase.
func (h *Holder) Enter(p Phase) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.phase, h.moved, h.startedAt = p, 0, h.budget.clock.Now()
	h.movedAt = h.startedAt
}

// during begins a phase and returns a function that returns to the one before.
func (h *Holder) during(p Phase) func() {
	h.budget.mu.Lock()
	phase, moved, startedAt := h.phase, h.moved, h.startedAt
	h.budget.mu.Unlock()
	h.Enter(p)
	return func() {
		h.budget.mu.Lock()
		defer h.budget.mu.Unlock()
		h.phase, h.moved, h.startedAt, h.movedAt = phase, moved, startedAt, h.budget.clock.Now()
	}
}

// Move notes n bytes read or written.
func (h *Holder) Move(n int) {
	if n <= 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.moved += int64(n)
	h.movedAt = h.budget.clock.Now()
}

// Release gives everything back. Further calls have no effect.
func (h *Holder) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.remove(h)
}
