package jobent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// An attempt without a reply may have been carried out, and so a refusal of a
// later attempt must not be reported to the caller.
func TestNothingIsToldAsNotRunAfterALostTry(t *testing.T) {
	for _, o := range []jobs.CallOutcome{jobs.UnknownKey, jobs.NoQueue, jobs.NoConfig, jobs.Refused, jobs.Invalid, jobs.Unavailable} {
		require.Equal(t, o, truthful(jobs.CallSubmit, Answer{Outcome: o}, false).Outcome)
		require.Equal(t, jobs.Uncertain, truthful(jobs.CallSubmit, Answer{Outcome: o}, true).Outcome)
		require.Equal(t, o, truthful(jobs.CallState, Answer{Outcome: o}, true).Outcome, "a query changes nothing")
	}
	require.Equal(t, jobs.Accepted, truthful(jobs.CallSubmit, Answer{Outcome: jobs.Accepted}, true).Outcome)
}
