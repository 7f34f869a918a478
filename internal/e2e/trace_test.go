package e2e

import (
	"errors"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/trace"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// TestRecordedTrace compares the trace that an entry recorded under overload
// with the outcomes that the callers got.
func TestRecordedTrace(t *testing.T) {
	c := newReadyCluster(t, clusterSize{controls: 3, entries: 1, agents: 1, workers: 1})
	const requests = 60
	outcomes := make([]client.Outcome, requests)
	var g errgroup.Group
	for i := range requests {
		g.Go(func() error {
			outcomes[i] = c.call(0, requestSpec{id: fmt.Sprint("r", i), workMs: 50, body: "x", timeout: 400 * time.Millisecond}).outcome
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.Equal(t, 0, c.entries[0].stop(25*time.Second))
	lastEvents := readTrace(t, c.tracePath(0))
	for i, outcome := range outcomes {
		want := trace.Answer
		if outcome == client.OutcomeNotRun {
			want = trace.Refuse
		}
		require.Equal(t, want, lastEvents[fmt.Sprint("r", i)], "request %d had the outcome %s", i, outcome)
	}
}

// readTrace reads a trace and returns the last event of each request. It
// requires that every request was sent on a credit that the entry held.
func readTrace(t *testing.T, path string) map[string]trace.Kind {
	t.Helper()
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	r, err := trace.NewReader(f)
	require.NoError(t, err)
	lastEvents := map[string]trace.Kind{}
	credits := map[string]bool{}
	for {
		e, err := r.Read()
		if errors.Is(err, io.EOF) {
			return lastEvents
		}
		require.NoError(t, err)
		credit := fmt.Sprint(e.Server, " ", e.CreditID)
		switch e.Kind {
		case trace.Grant:
			credits[credit] = true
		case trace.Revoke:
			delete(credits, credit)
		case trace.Send:
			require.True(t, credits[credit], "a request was sent on a credit that was not held")
			delete(credits, credit)
		}
		if e.ID != "" {
			lastEvents[e.ID] = e.Kind
		}
	}
}
