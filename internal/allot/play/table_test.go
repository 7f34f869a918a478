package play_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/allot/play"
)

// totals sums the results of several simulations. share is the share of the possible value that was earned,
// render, confirm and batch are the same for one queue, net is share minus the cost of lost work, and wasted is
// the share of work that was lost.
type totals struct {
	net, share, render, confirm, batch, wasted float64
	stops, count                               int // count is the number of simulations
}

// parallelDays is how many days are simulated at once. Under the race detector, six on six processors take
// several times as long as two.
const parallelDays = 2

// runAll simulates the given number of random scenarios and sums their results.
func runAll(t *testing.T, policy play.Policy, seeds uint64, cfg play.LoadConfig) totals {
	results := make([]play.Result, seeds)
	var g errgroup.Group
	g.SetLimit(parallelDays)
	for seed := range seeds {
		g.Go(func() error {
			results[seed] = play.Simulate(play.Generate(seed, cfg), policy, grace)
			return nil
		})
	}
	require.NoError(t, g.Wait())
	var sum totals
	for _, r := range results {
		sum.net += r.NetValueShare()
		sum.share += r.ValueShare("")
		sum.render += r.ValueShare("render")
		sum.confirm += r.ValueShare("confirm")
		sum.batch += r.ValueShare("batch")
		sum.wasted += r.LostWork / (r.CompletedWork + r.LostWork)
		sum.stops += r.Stops
		sum.count++
	}
	return sum
}

func (s totals) String() string {
	n := float64(s.count)
	return fmt.Sprintf("net %.3f share %.3f (render %.3f confirm %.3f batch %.3f) wasted %.3f stops %.0f",
		s.net/n, s.share/n, s.render/n, s.confirm/n, s.batch/n, s.wasted/n, float64(s.stops)/n)
}

var printTable = flag.Bool("table", false, "simulate all loads and log the results, which takes minutes")

// TestTable logs the results of the planner and the baselines under each load, with -v -table.
func TestTable(t *testing.T) {
	if !*printTable {
		return
	}
	for _, load := range []float64{0.7, 1, 1.6, 2.2} {
		t.Logf("small %.1f: %v", load, runAll(t, allot.MakePlan, 16, play.SmallLinenRota(11, 40*time.Second, load)))
	}
	for _, load := range []float64{0.78, 1, 1.25} {
		t.Logf("birds %.2f: %v", load, runAll(t, allot.MakePlan, 12, play.BirdTable(load)))
		t.Logf("linens %.2f: %v", load, runAll(t, allot.MakePlan, 12, play.LinenRota(load)))
		slow := play.BirdTable(load)
		slow.SlowPeriods = true
		t.Logf("birds %.2f, slow periods: %v", load, runAll(t, allot.MakePlan, 12, slow))
	}
	for name, policy := range baselines {
		t.Logf("%s: small 1.0: %v", name, runAll(t, policy, 16, play.SmallLinenRota(11, 40*time.Second, 1)))
		t.Logf("%s: birds 1.00: %v", name, runAll(t, policy, 12, play.BirdTable(1)))
		t.Logf("%s: linens 1.00: %v", name, runAll(t, policy, 12, play.LinenRota(1)))
	}
}

var baselines = map[string]play.Policy{"first come": play.FirstComeFirstServed, "least work": play.LeastWorkFirst, "priority": play.HighestPriorityFirst}

// Under the highest load of the scaled deployments the planner earns far more value than any baseline,
// and urgent jobs are rarely late.
func TestPlannerBeatsBaselinesUnderHighLoad(t *testing.T) {
	for name, cfg := range map[string]play.LoadConfig{"birds": play.BirdTable(1), "linens": play.LinenRota(1)} {
		cfg.LeaderChanges = []time.Duration{10 * time.Second}
		got := runAll(t, allot.MakePlan, 4, cfg)
		t.Logf("%s: %v", name, got)
		n := float64(got.count)
		require.Greater(t, got.net/n, 0.7, name)
		require.Greater(t, got.confirm/n, 0.75, name)
		require.Less(t, got.wasted/n, 0.05, name)
		for baseline, policy := range baselines {
			other := runAll(t, policy, 4, cfg)
			require.Greater(t, got.net, other.net+0.1*n, "%s: not clearly better than %s", name, baseline)
		}
	}
}
