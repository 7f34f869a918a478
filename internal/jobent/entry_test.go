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

// An entry that is cut off can't serve a call. Its caller is told early enough to
// reach another entry.
func TestCutOffEntryRefusesInTime(t *testing.T) {
	id := wire.NewIdentity(kern.Node{Cluster: "c", Name: "e"}, RoleName, kern.Keys{}, "e-1")
	e := &Entry{env: &kern.Env{BootClock: kern.BootClock{}}, finder: seek.New(id, nil, zap.NewNop(), nil)}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	refused := func() time.Duration {
		began := time.Now()
		a, tries, err := e.carry(ctx, &wire.JobCall{Kind: string(jobs.CallSubmit)})
		require.ErrorIs(t, err, seek.ErrNoLeader)
		require.Zero(t, tries)
		require.Equal(t, jobs.Unavailable, a.Outcome, "nothing was sent, so it hasn't run")
		require.False(t, a.RetryAt.IsZero())
		return time.Since(began)
	}
	require.Less(t, refused(), 2*giveUpAfter, "an election would be over by now")
	require.Less(t, refused(), giveUpAfter/2, "what is known to be impossible isn't tried")
}
