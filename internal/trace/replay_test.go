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
func replay(t *testing.T, name string, start func(*load.World) load.Policy) *load.World {
	f, err := os.Open("testdata/" + name)
	require.NoError(t, err)
	defer f.Close()
	zip, err := gzip.NewReader(f)
	require.NoError(t, err)
	r, err := trace.NewReader(zip)
	require.NoError(t, err)
	s, err := load.FromTrace(r)
	require.NoError(t, err)
	require.Len(t, s.Jobs, len(generated[name].Jobs), "the trace has another number of requests than its generator")
	return load.Run(s, start)
}

// requireOneTruth checks that each request has one result and that it is true: an
// answered request ran once, any other didn't run.
func requireOneTruth(t *testing.T, w *load.World) {
	require.Len(t, w.Results, len(w.Scenario.Jobs), "each request has one result")
	for _, r := range w.Results {
		if r.Answered {
			require.Equal(t, 1, r.Runs, "request %s", r.Job.ID)
			continue
		}
		require.Zero(t, r.Runs, "request %s was reported as not run", r.Job.ID)
	}
}

// p99 returns the 99th percentile of the response time of matching requests.
func p99(w *load.World, match func(load.Result) bool) time.Duration {
	return load.Quantile(load.Times(w.Results, match), 0.99)
}

// A short overload, in which three times the capacity arrives, must not delay
// urgent requests, waste capacity or slow down short requests afterwards.
func TestReplayOfTheCrest(t *testing.T) {
	w := replay(t, "crest.jsonl.gz", load.Credits)
	requireOneTruth(t, w)
	during, before := load.Arrived(crestStart, crestEnd), load.Arrived(5*time.Second, crestStart)
	after := load.Arrived(crestEnd+5*time.Second, crestFinish)
	urgent := load.Share(w.Results, func(r load.Result) bool {
		return during(r) && r.Job.Urgency == model.Urgent
	}, load.Result.InTime)
	require.GreaterOrEqual(t, urgent, 0.99)
	late := load.Share(w.Results, func(r load.Result) bool { return r.Answered }, load.Result.InTime)
	require.GreaterOrEqual(t, late, 0.99, "accepted requests are answered in time")

	work := 0.0
	for _, r := range w.Results {
		if r.InTime() && r.At >= crestStart && r.At < crestEnd {
			work += r.Job.Size
		}
	}
	capacity := float64(w.Scenario.Servers*load.SlotsPerServer) * (crestEnd - crestStart).Seconds()
	require.GreaterOrEqual(t, work/capacity, 0.9)

	short := func(span func(load.Result) bool) time.Duration {
		return p99(w, func(r load.Result) bool { return span(r) && load.Short(r) })
	}
	require.LessOrEqual(t, float64(short(after)), 1.2*float64(short(before)), "short requests are as fast as before 5 s after the overload")
}

// Short requests between long ones must be much faster than with two random
// choices, and not much slower than without long requests.
func TestReplayOfTheMorning(t *testing.T) {
	w := replay(t, "gradinka.jsonl.gz", load.Credits)
	requireOneTruth(t, w)
	two := replay(t, "gradinka.jsonl.gz", load.TwoChoices)
	checks := p99(w, load.Short)
	require.LessOrEqual(t, 3*checks, p99(two, load.Short), "at most a third of the time with two random choices")
	alone := w.Scenario
	alone.Jobs = nil
	for _, j := range w.Scenario.Jobs {
		if !j.Long {
			alone.Jobs = append(alone.Jobs, j)
		}
	}
	without := p99(load.Run(alone, load.Credits), load.Short)
	require.LessOrEqual(t, float64(checks), 1.5*float64(without), "long requests don't delay short ones")
}
