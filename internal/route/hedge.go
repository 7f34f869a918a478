package route

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// Constants of hedging.
const (
	hedgeFactor = 4                     // expected run times after which a hedge is due
	hedgeLeast  = 50 * time.Millisecond // shortest wait for a hedge
	hedgeTokens = 20
)

// Hedger decides whether a second copy of a slow request may be sent to
// another backend server. Only idempotent short requests are hedged, and only
// within a budget that successes fill.
type Hedger struct {
	budget admit.Budget
}

// NewHedger returns a hedger with a full budget.
func NewHedger() *Hedger {
	return &Hedger{budget: admit.NewBudget(admit.HedgeTokensPerSuccess, hedgeTokens)}
}

// DueAt returns when a hedge of a request is due, and false if it must not or
// need not be hedged.
func (h *Hedger) DueAt(r admit.Request, sent time.Time, expected time.Duration) (time.Time, bool) {
	if !r.Idempotent || r.Class != admit.Short || expected <= 0 {
		return time.Time{}, false
	}
	at := sent.Add(max(hedgeLeast, hedgeFactor*expected))
	return at, at.Before(r.Deadline)
}

// Spend takes a hedge out of the budget. It reports false if there is none.
func (h *Hedger) Spend() bool {
	var ok bool
	h.budget, ok = h.budget.WithRetry()
	return ok
}

// RecordSuccess fills the budget after a whole answer.
func (h *Hedger) RecordSuccess() { h.budget = h.budget.WithSuccess() }
