package seek

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// If each process needed more than the timeout, for example all on slow hosts, no leader was ever found.
func TestLongSearchGivesCandidatesMoreTime(t *testing.T) {
	for search, timeout := range map[time.Duration]time.Duration{
		0: tryTimeout, 4 * time.Second: tryTimeout, 6 * time.Second: 2 * tryTimeout, time.Minute: 4 * tryTimeout,
	} {
		f := New(wire.Identity{}, nil, zap.NewNop(), nil)
		f.lostAt = time.Now().Add(-search)
		require.Equal(t, timeout, f.answerTimeout("c"), search)
		f.markSuspect("c")
		require.Equal(t, suspectTimeout, f.answerTimeout("c"), search)
	}
}

// A try that began while a process was suspected and failed when the suspicion had just ended began it
// again. With luck that repeated for ever, and a slow leader was never given the time that it needed.
func TestMissOfASuspectDoesNotBeginTheSuspicionAgain(t *testing.T) {
	f := New(wire.Identity{}, nil, zap.NewNop(), nil)
	f.recordFailure("c", tryTimeout, nil)
	require.Equal(t, suspectTimeout, f.answerTimeout("c"))
	f.suspectUntil["c"] = time.Now().Add(-time.Millisecond)
	f.recordFailure("c", suspectTimeout, nil)
	require.Equal(t, tryTimeout, f.answerTimeout("c"))
	f.recordFailure("c", tryTimeout, nil)
	require.Equal(t, suspectTimeout, f.answerTimeout("c"))
}
