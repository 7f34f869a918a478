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

func replay(t *testing.T, name string, start func(*load.Simulation) load.Policy) *load.Simulation {
	f, err := os.Open("testdata/" + name)
	require.NoError(t, err)
	defer f.Close()
	zip, err := gzip.NewReader(f)
	require.NoError(t, err)
	r, err := trace.NewReader(zip)
	require.NoError(t, err)
	s, err := load.FromTrace(r)
	require.NoError(t, err)
	require.Len(t, s.Jobs, len(generated[name].Jobs), "the trace isn't the generator's")
	return load.Run(s, start)
}

func requireOneTruth(t *testing.T, w *load.Simulation) {
	require.Len(t, w.Results, len(w.Scenario.Jobs), "each request has one result")
	for _, r := range w.Results {
		if r.Answered {
			require.Equal(t, 1, r.Starts, "request %s", r.Job.ID)
			continue
		}
		require.Zero(t, r.Starts, "request %s was told as not run", r.Job.ID)
	}
}

func p99(w *load.Simulation, match func(load.Result) bool) time.Duration {
	return load.Quantile(load.Latencies(w.Results, match), 0.99)
}

// The hour before early Mass: three times the capacity arrives for a while.
func TestReplayOfTheCrest(t *testing.T) {
	w := replay(t, "crest.jsonl.gz", load.Credits)
	requireOneTruth(t, w)
	during, before := load.ArrivedBetween(crestStart, crestEnd), load.ArrivedBetween(5*time.Second, crestStart)
	after := load.ArrivedBetween(crestEnd+5*time.Second, crestFinish)
	urgent := load.Share(w.Results, func(r load.Result) bool {
		return during(r) && r.Job.Urgency == model.Urgent
	}, load.Result.InTime)
	require.GreaterOrEqual(t, urgent, 0.99)
	late := load.Share(w.Results, func(r load.Result) bool { return r.Answered }, load.Result.InTime)
	require.GreaterOrEqual(t, late, 0.99, "an accepted request is answered in time")

	work := 0.0
	for _, r := range w.Results {
		if r.InTime() && r.EndedAt >= crestStart && r.EndedAt < crestEnd {
			work += r.Job.Size
		}
	}
	capacity := float64(w.Scenario.ServerCount*load.SlotsPerServer) * (crestEnd - crestStart).Seconds()
	require.GreaterOrEqual(t, work/capacity, 0.9)

	short := func(span func(load.Result) bool) time.Duration {
		return p99(w, func(r load.Result) bool { return span(r) && load.IsShort(r) })
	}
	require.LessOrEqual(t, float64(short(after)), 1.2*float64(short(before)), "calm again 5 s after the crest")
}

// A morning of phone orders: checks between renders.
func TestReplayOfTheMorning(t *testing.T) {
	w := replay(t, "gradinka.jsonl.gz", load.Credits)
	requireOneTruth(t, w)
	two := replay(t, "gradinka.jsonl.gz", load.TwoChoices)
	checks := p99(w, load.IsShort)
	require.LessOrEqual(t, 3*checks, p99(two, load.IsShort), "a third of two random choices'")
	alone := w.Scenario
	alone.Jobs = nil
	for _, j := range w.Scenario.Jobs {
		if !j.Long {
			alone.Jobs = append(alone.Jobs, j)
		}
	}
	without := p99(load.Run(alone, load.Credits), load.IsShort)
	require.LessOrEqual(t, float64(checks), 1.5*float64(without), "renders don't hold up checks")
}
