package admit

// Budget is a token bucket that limits retries or hedges to a fraction of the
// successes: each success adds a fraction of a token and each retry takes a whole
// one.
type Budget struct {
	tokensPerSuccess float64
	maxTokens        float64
	tokens           float64
}

// Tokens that a success adds, for budgets of retries and of hedges.
const (
	RetryTokensPerSuccess = 0.1
	HedgeTokensPerSuccess = 0.05
)

// NewBudget returns a full budget that gains tokensPerSuccess tokens per success and
// holds at most maxTokens.
func NewBudget(tokensPerSuccess, maxTokens float64) Budget {
	return Budget{tokensPerSuccess: tokensPerSuccess, maxTokens: maxTokens, tokens: maxTokens}
}

// WithSuccess returns the budget after a success.
func (b Budget) WithSuccess() Budget {
	b.tokens = min(b.maxTokens, b.tokens+b.tokensPerSuccess)
	return b
}

// WithRetry returns the budget after a retry, or false if it allows none.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
