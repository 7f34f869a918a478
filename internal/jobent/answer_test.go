package jobent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// TestUnansweredAttemptMakesRefusalUncertain guards against a call that is
// reported as refused although an earlier attempt without a reply was carried out.
func TestUnansweredAttemptMakesRefusalUncertain(t *testing.T) {
	for _, outcome := range []jobs.CallOutcome{jobs.UnknownKey, jobs.NoQueue, jobs.NoConfig, jobs.Refused, jobs.Invalid, jobs.Unavailable} {
		require.Equal(t, outcome, finalAnswer(jobs.CallSubmit, Answer{Outcome: outcome}, false).Outcome)
		require.Equal(t, jobs.Uncertain, finalAnswer(jobs.CallSubmit, Answer{Outcome: outcome}, true).Outcome)
		require.Equal(t, outcome, finalAnswer(jobs.CallState, Answer{Outcome: outcome}, true).Outcome, "a query changes nothing")
	}
	require.Equal(t, jobs.Accepted, finalAnswer(jobs.CallSubmit, Answer{Outcome: jobs.Accepted}, true).Outcome)
}
