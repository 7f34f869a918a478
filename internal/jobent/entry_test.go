package jobent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/seek"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// TestEntryWithoutLeaderRefusesInTime checks that an entry without a connection to
// the leader refuses a call early enough for the caller to reach another entry.
func TestEntryWithoutLeaderRefusesInTime(t *testing.T) {
	id := wire.NewIdentity(kern.Node{Cluster: "c", Name: "e"}, RoleName, kern.Keys{}, "e-1")
	e := &Entry{env: &kern.Env{BootClock: kern.BootClock{}}, finder: seek.New(id, nil, zap.NewNop(), nil)}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	timeToRefusal := func() time.Duration {
		start := time.Now()
		a, attempts, err := e.callLeader(ctx, &wire.JobCall{Kind: string(jobs.CallSubmit)})
		require.ErrorIs(t, err, seek.ErrNoLeader)
		require.Zero(t, attempts)
		require.Equal(t, jobs.Unavailable, a.Outcome, "nothing was sent, so it hasn't run")
		require.False(t, a.RetryAt.IsZero())
		return time.Since(start)
	}
	require.Less(t, timeToRefusal(), 2*giveUpAfter, "an election takes less time")
	require.Less(t, timeToRefusal(), giveUpAfter/2, "there has been no leader for giveUpAfter, so the call is refused at once")
}
