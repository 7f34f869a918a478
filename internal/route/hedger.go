package route

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// Parameters of hedging.
const (
	hedgeFactor    = 4                     // multiple of the expected run time after which a hedge is due
	minHedgeDelay  = 50 * time.Millisecond // shortest time from a request to its hedge
	maxHedgeTokens = 20                    // largest burst of hedges
)

// Hedger decides whether a second copy of a slow request may be sent to
// another backend server. Only idempotent short requests are hedged, and only
// within a budget that grows with each success.
type Hedger struct {
	budget admit.Budget
}

// NewHedger returns a hedger with a full budget.
func NewHedger() *Hedger {
	return &Hedger{budget: admit.NewBudget(admit.HedgeTokensPerSuccess, maxHedgeTokens)}
}

// DueAt returns when a hedge of a request is due, and false if it must not or
// need not be hedged.
func (h *Hedger) DueAt(r admit.Request, sent time.Time, expected time.Duration) (time.Time, bool) {
	if !r.Idempotent || r.Class != admit.Short || expected <= 0 {
		return time.Time{}, false
	}
	at := sent.Add(max(minHedgeDelay, hedgeFactor*expected))
	return at, at.Before(r.Deadline)
}

// Spend takes one hedge from the budget. It reports false if none is left.
func (h *Hedger) Spend() bool {
	var ok bool
	h.budget, ok = h.budget.WithRetry()
	return ok
}

// RecordSuccess adds to the budget after a complete answer.
func (h *Hedger) RecordSuccess() { h.budget = h.budget.WithSuccess() }
