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
	secondsIn := func(s float64) time.Time { return baseTime.Add(time.Duration(s * float64(time.Second))) }
	detector := allot.NewStallDetector(baseTime, 2*time.Second)
	for i := range 5 {
		detector = detector.WithProgress(10*(i+1), secondsIn(0.2*float64(i+1)))
		require.False(t, detector.Stalled(secondsIn(0.2*float64(i+1)+0.1)))
	}
	detector = detector.WithProgress(50, secondsIn(2.4))
	require.False(t, detector.Stalled(secondsIn(2.4)))
	require.True(t, detector.Stalled(secondsIn(2.6)))
	detector = detector.WithProgress(51, secondsIn(2.7))
	require.False(t, detector.Stalled(secondsIn(3)), "stalled right after progress")
}

// A run of a minute advances by a percent in 0.6 s, and on a slow worker far from its data in six
// seconds.
func TestSlowRunIsNotStalled(t *testing.T) {
	detector := allot.NewStallDetector(baseTime, 60*time.Second)
	for i := range 20 {
		now := baseTime.Add(time.Duration(i) * 6 * time.Second)
		require.False(t, detector.Stalled(now), "at %d percent", i)
		detector = detector.WithProgress(i, now)
	}
	require.False(t, allot.NewStallDetector(baseTime, time.Second).WithProgress(100, baseTime).Stalled(baseTime.Add(time.Hour)), "a completed run counts as stalled")
}
