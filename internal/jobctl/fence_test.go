package jobctl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// The token rises with each incarnation and each term, and otherwise stays.
func TestFenceRisesWithEachIncarnation(t *testing.T) {
	first, second := jobs.Worker{Name: "w", StartedMs: 9}, jobs.Worker{Name: "w", StartedMs: 2}
	f := &fences{}
	last := uint64(0)
	for _, step := range []struct {
		term  uint64
		w     jobs.Worker
		rises bool
	}{
		{3, jobs.Worker{}, true},
		{3, first, true},
		{3, first, false},
		{3, jobs.Worker{}, false}, // an agent that doesn't know its worker yet
		{3, first, false},
		{3, second, true},
		{4, second, true},
		{4, first, true},
	} {
		got := f.of(step.term, "h", step.w)
		if step.rises {
			require.Greater(t, got, last)
		} else {
			require.Equal(t, last, got)
		}
		last = got
	}
	require.Less(t, f.of(4, "other", second), last, "hosts are counted by themselves")
	require.Less(t, Fence(4, 1<<40), Fence(5, 0))
}
