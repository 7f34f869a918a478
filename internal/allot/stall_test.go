package allot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/allot"
)

// A run counts as stalled once it has made no progress for the least stall time, and not right after
// progress.
func TestStalledRunIsDetected(t *testing.T) {
	at := func(s float64) time.Time { return baseTime.Add(time.Duration(s * float64(time.Second))) }
	p := allot.NewStallDetector(baseTime, 2*time.Second)
	for i := range 5 {
		p = p.WithProgress(10*(i+1), at(0.2*float64(i+1)))
		require.False(t, p.Stalled(at(0.2*float64(i+1)+0.1)))
	}
	p = p.WithProgress(50, at(2.4))
	require.False(t, p.Stalled(at(2.4)))
	require.True(t, p.Stalled(at(2.6)))
	p = p.WithProgress(51, at(2.7))
	require.False(t, p.Stalled(at(3)), "stalled right after progress")
}

// A run of a minute advances by a percent in 0.6 s, and on a slow worker far from its data in six
// seconds.
func TestSlowRunIsNotStalled(t *testing.T) {
	p := allot.NewStallDetector(baseTime, 60*time.Second)
	for i := range 20 {
		now := baseTime.Add(time.Duration(i) * 6 * time.Second)
		require.False(t, p.Stalled(now), "at %d percent", i)
		p = p.WithProgress(i, now)
	}
	require.False(t, allot.NewStallDetector(baseTime, time.Second).WithProgress(100, baseTime).Stalled(baseTime.Add(time.Hour)), "a completed run counts as stalled")
}
