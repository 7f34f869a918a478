package trace_test

import (
	"compress/gzip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/load"
	"github.com/knapweedlug/knapweedlug/internal/trace"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// replay runs the named trace with the given policy.
func replay(t *testing.T, name string, newPolicy func(*load.Simulation) load.Policy) *load.Simulation {
	f, err := os.Open("testdata/" + name)
	require.NoError(t, err)
	defer f.Close()
	gz, err := gzip.NewReader(f)
	require.NoError(t, err)
	r, err := trace.NewReader(gz)
	require.NoError(t, err)
	scenario, err := load.FromTrace(r)
	require.NoError(t, err)
	require.Len(t, scenario.Jobs, len(generatedTraces[name].Jobs), "the trace has another number of requests than its generator")
	return load.Run(scenario, newPolicy)
}

// requireTrueResults checks that each request has one result and that it is true: an
// answered request ran once, any other didn't run.
func requireTrueResults(t *testing.T, w *load.Simulation) {
	require.Len(t, w.Results, len(w.Scenario.Jobs), "each request has one result")
	for _, r := range w.Results {
		if r.Answered {
			require.Equal(t, 1, r.Starts, "request %s", r.Job.ID)
			continue
		}
		require.Zero(t, r.Starts, "request %s was reported as not run", r.Job.ID)
	}
}

// p99 returns the 99th percentile of the response time of matching requests.
func p99(w *load.Simulation, match func(load.Result) bool) time.Duration {
	return load.Quantile(load.Latencies(w.Results, match), 0.99)
}

// TestReplayOverload checks that an overload of three times the capacity doesn't
// delay urgent requests, waste capacity or slow down short requests afterwards.
func TestReplayOverload(t *testing.T) {
	w := replay(t, "crest.jsonl.gz", load.Credits)
	requireTrueResults(t, w)
	during, before := load.ArrivedBetween(overloadStart, overloadEnd), load.ArrivedBetween(5*time.Second, overloadStart)
	after := load.ArrivedBetween(overloadEnd+5*time.Second, overloadTraceEnd)
	urgent := load.Share(w.Results, func(r load.Result) bool {
		return during(r) && r.Job.Urgency == model.Urgent
	}, load.Result.InTime)
	require.GreaterOrEqual(t, urgent, 0.99)
	inTime := load.Share(w.Results, func(r load.Result) bool { return r.Answered }, load.Result.InTime)
	require.GreaterOrEqual(t, inTime, 0.99, "accepted requests are answered in time")

	completedWork := 0.0
	for _, r := range w.Results {
		if r.InTime() && r.EndedAt >= overloadStart && r.EndedAt < overloadEnd {
			completedWork += r.Job.Size
		}
	}
	capacity := float64(w.Scenario.ServerCount*load.SlotsPerServer) * (overloadEnd - overloadStart).Seconds()
	require.GreaterOrEqual(t, completedWork/capacity, 0.9)

	shortP99 := func(span func(load.Result) bool) time.Duration {
		return p99(w, func(r load.Result) bool { return span(r) && load.IsShort(r) })
	}
	require.LessOrEqual(t, float64(shortP99(after)), 1.2*float64(shortP99(before)), "short requests are as fast as before 5 s after the overload")
}

// TestReplayShortAndLongRequests checks that short requests among long ones are
// much faster than with the policy of two random choices, and not much slower than
// without long requests.
func TestReplayShortAndLongRequests(t *testing.T) {
	w := replay(t, "gradinka.jsonl.gz", load.Credits)
	requireTrueResults(t, w)
	twoChoices := replay(t, "gradinka.jsonl.gz", load.TwoChoices)
	shortP99 := p99(w, load.IsShort)
	require.LessOrEqual(t, 3*shortP99, p99(twoChoices, load.IsShort), "at most a third of the time with two random choices")
	shortOnly := w.Scenario
	shortOnly.Jobs = nil
	for _, j := range w.Scenario.Jobs {
		if !j.Long {
			shortOnly.Jobs = append(shortOnly.Jobs, j)
		}
	}
	shortOnlyP99 := p99(load.Run(shortOnly, load.Credits), load.IsShort)
	require.LessOrEqual(t, float64(shortP99), 1.5*float64(shortOnlyP99), "long requests don't delay short ones")
}
