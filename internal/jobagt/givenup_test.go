package jobagt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// A leader repeats an order that it has no word on. When the order came just after the agent had given the run up, the
// run began beside the next one of its task, on another worker.
func TestRepeatedOrderForGivenUpRunStartsNothing(t *testing.T) {
	noChange := func(*Agent, *fakeClock) {}
	for name, tt := range map[string]struct {
		answer any
		before func(a *Agent, clk *fakeClock)
		after  func(a *Agent, clk *fakeClock)
		reason string
	}{
		"unavailable": {ResultUnavailable, noChange, noChange, "unwell"},
		"full":        {ResultFull, noChange, noChange, "full"},
		"malformed":   {ResultMalformed, noChange, noChange, "unfit"},
		"lease ended": {
			ResultStarted,
			func(_ *Agent, clk *fakeClock) { clk.advance(9 * time.Second) },
			func(a *Agent, _ *fakeClock) {
				a.receiveListing(Listing{Worker: testWorker, ClockMs: 10_000})
				a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Lease: 18_000})
			},
			"late",
		},
		"draining": {
			ResultStarted,
			func(a *Agent, _ *fakeClock) {
				a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 2, Draining: true})
			},
			func(a *Agent, _ *fakeClock) { a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 3}) },
			"worker drains",
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := &fakeWorker{startAnswers: []any{tt.answer, ResultStarted}}
			a, clk := newTestAgent(t, w)
			tt.before(a, clk)
			a.receiveOrders(startOrder(true))
			require.Eventually(t, func() bool { return len(a.goneReasons()) == 1 }, testTimeout, time.Millisecond)
			a.mu.Lock()
			a.buildReport()
			a.mu.Unlock()
			tt.after(a, clk)
			received := w.receivedOrders()
			a.receiveOrders(startOrder(false))
			time.Sleep(3 * orderRetryInterval)
			require.Equal(t, received, w.receivedOrders())
			require.Equal(t, []string{tt.reason}, a.goneReasons(), "the leader is told once more")
		})
	}
}

// The report that a run was given up may be lost with its stream, to the same leader or to the one before.
func TestGivenUpRunIsReportedUntilItsEndIsRecorded(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{ResultUnavailable}}
	a, _ := newTestAgent(t, w)
	a.receiveOrders(startOrder(true))
	require.Eventually(t, func() bool { return len(a.goneReasons()) == 1 }, testTimeout, time.Millisecond)
	newStream := func() []*wire.RunGone {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.state.reportGivenUpAgain()
		return a.buildReport().Gone
	}
	for range 2 {
		require.Len(t, newStream(), 1)
	}
	a.receiveOrders(&wire.HostOrders{Term: 3, Worker: "w", Born: 1, Gone: []*wire.RunID{{Task: testTask, Run: 1}}})
	require.Empty(t, newStream())
	require.Empty(t, a.state.givenUp)
}
