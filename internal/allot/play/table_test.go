package play_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/allot/play"
)

// total sums the results of several simulations.
type total struct {
	net, share, render, confirm, batch, wasted float64
	stops, days                                int
}

// sum simulates the given number of random scenarios and sums their results.
func sum(t *testing.T, decide play.Decide, seeds uint64, load play.Load) total {
	results := make([]play.Result, seeds)
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range seeds {
		g.Go(func() error {
			results[seed] = play.Play(play.Generate(seed, load), decide, grace)
			return nil
		})
	}
	require.NoError(t, g.Wait())
	var s total
	for _, r := range results {
		s.net += r.Net()
		s.share += r.Share("")
		s.render += r.Share("render")
		s.confirm += r.Share("confirm")
		s.batch += r.Share("batch")
		s.wasted += r.Wasted / (r.Used + r.Wasted)
		s.stops += r.Stops
		s.days++
	}
	return s
}

func (s total) String() string {
	n := float64(s.days)
	return fmt.Sprintf("net %.3f share %.3f (render %.3f confirm %.3f batch %.3f) wasted %.3f stops %.0f",
		s.net/n, s.share/n, s.render/n, s.confirm/n, s.batch/n, s.wasted/n, float64(s.stops)/n)
}

// TestTable prints the results of the planner and the baselines under each load, with -v.
func TestTable(t *testing.T) {
	if !testing.Verbose() {
		return
	}
	for _, load := range []float64{0.7, 1, 1.6, 2.2} {
		t.Logf("small %.1f: %v", load, sum(t, allot.Make, 16, play.Small(11, 40*time.Second, load)))
	}
	for _, load := range []float64{0.78, 1, 1.25} {
		t.Logf("birds %.2f: %v", load, sum(t, allot.Make, 12, play.Birds(load)))
		t.Logf("linens %.2f: %v", load, sum(t, allot.Make, 12, play.Linens(load)))
		slow := play.Birds(load)
		slow.Slow = true
		t.Logf("birds %.2f, slow spells: %v", load, sum(t, allot.Make, 12, slow))
	}
	for name, decide := range baselines {
		t.Logf("%s: small 1.0: %v", name, sum(t, decide, 16, play.Small(11, 40*time.Second, 1)))
		t.Logf("%s: birds 1.00: %v", name, sum(t, decide, 12, play.Birds(1)))
		t.Logf("%s: linens 1.00: %v", name, sum(t, decide, 12, play.Linens(1)))
	}
}

var baselines = map[string]play.Decide{"first come": play.FirstCome, "least work": play.LeastWork, "priority": play.ByPriority}

// Under the highest load of the scaled deployments the planner earns far more value than any baseline,
// and urgent jobs are rarely late.
func TestHeavyDaysAreServed(t *testing.T) {
	for name, load := range map[string]play.Load{"birds": play.Birds(1), "linens": play.Linens(1)} {
		load.Forgets = []time.Duration{10 * time.Second}
		got := sum(t, allot.Make, 4, load)
		t.Logf("%s: %v", name, got)
		n := float64(got.days)
		require.Greater(t, got.net/n, 0.7, name)
		require.Greater(t, got.confirm/n, 0.75, name)
		require.Less(t, got.wasted/n, 0.05, name)
		for base, decide := range baselines {
			other := sum(t, decide, 4, load)
			require.Greater(t, got.net, other.net+0.1*n, "%s: not clearly better than %s", name, base)
		}
	}
}
