package jobctl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/allot"
)

// A worker that refused starts as unavailable was given the same start again at once, hundreds of times a second, while
// other workers were idle.
func TestWorkerThatRefusedAStartIsLeftAlone(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	l := newTestLeader(t, at, oneStepSpec(1, 8, false))
	l.refuse(t, l.assign(t))
	worker := func() allot.Worker { return l.planInput().Workers[0] }
	require.True(t, worker().Unschedulable)
	plan := allot.MakePlan(l.planInput())
	require.Len(t, plan.Starts, 1)
	require.NotEqual(t, l.hosts["h00"].worker, plan.Starts[0].Placements[0].Worker)
	l.setNow(at.Add(refusalPause))
	require.False(t, worker().Unschedulable, "it may be the only one with room")
	require.True(t, worker().Suspect)
	for _, h := range l.hosts {
		h.reportedAt = at.Add(refusalSuspicion)
	}
	l.setNow(at.Add(refusalSuspicion))
	require.False(t, worker().Suspect)
}
