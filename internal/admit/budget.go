package admit

// Budget limits retries or hedges to a share of the successes: each success
// earns a part of a token and each retry spends a whole one.
type Budget struct {
	share  float64
	limit  float64
	tokens float64
}

// The usual shares of a Budget.
const (
	RetryTokensPerSuccess = 0.1
	HedgeTokensPerSuccess = 0.05
)

// NewBudget returns a full budget that earns share tokens per success and
// holds at most limit tokens.
func NewBudget(share, limit float64) Budget {
	return Budget{share: share, limit: limit, tokens: limit}
}

// WithSuccess returns the budget after one success.
func (b Budget) WithSuccess() Budget {
	b.tokens = min(b.limit, b.tokens+b.share)
	return b
}

// WithRetry returns the budget after one retry, and whether it allowed the retry.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
