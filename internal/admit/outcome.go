package admit

// Outcome is what is known about a request that was sent.
type Outcome string

// The outcomes of a request. "not-run" is used only where it is certain that the
// request has not run and can no longer start; in doubt the outcome is "unknown".
const (
	OutcomeAnswer  Outcome = "answer"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)
