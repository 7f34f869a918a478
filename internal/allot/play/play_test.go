package play_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/allot/play"
)

// grace is how long after the last arrival jobs may complete.
const grace = 40 * time.Second

// Under high load the planner must not keep stopping runs that have just started.
func TestPlannerDoesNotThrashUnderHighLoad(t *testing.T) {
	for seed := range uint64(12) {
		scenario := play.Generate(seed, play.SmallLinenRota(11, 40*time.Second, 1.6))
		r := play.Simulate(scenario, allot.MakePlan, grace)
		tasks := 0
		for _, j := range scenario.Jobs {
			tasks += j.Tasks
		}
		require.Less(t, r.Stops, tasks, "seed %d: more stops than tasks", seed)
		require.Less(t, r.LostWork, 0.25*(r.CompletedWork+r.LostWork), "seed %d: at least a quarter of all work lost", seed)
		if testing.Verbose() {
			fmt.Printf("seed %d: %d jobs %d tasks, share %.3f (render %.3f confirm %.3f batch %.3f), starts %d stops %d, wasted %.0f used %.0f of %.0f\n",
				seed, len(scenario.Jobs), tasks, r.ValueShare(""), r.ValueShare("render"), r.ValueShare("confirm"), r.ValueShare("batch"), r.Starts, r.Stops, r.LostWork, r.CompletedWork, r.Capacity)
		}
	}
}
