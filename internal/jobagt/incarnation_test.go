package jobagt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/jobctl"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// restartedWorker is the incarnation after testWorker, under the same name.
var restartedWorker = jobs.Worker{Name: testWorker.Name, StartedMs: testWorker.StartedMs + 5}

// restart makes the next incarnation of the worker answer and announce itself.
func (a *Agent) restart(clockMs int64) {
	a.receiveListing(Listing{Worker: restartedWorker, ClockMs: clockMs})
	a.Announce(Announcement{Worker: restartedWorker, Service: "s", Seq: 1})
}

// A start that reached the next incarnation of its worker was forgotten by the agent, ran on, and was started a
// second time elsewhere.
func TestRunsOrderedToAnEarlierIncarnationAreStopped(t *testing.T) {
	for name, answer := range map[string]any{
		"unanswered start": errNoAnswer, "start answered by the next incarnation": ErrOtherIncarnation, "start answered without naming the incarnation": ResultStarted,
	} {
		t.Run(name, func(t *testing.T) {
			w := &fakeWorker{startAnswers: []any{answer}}
			a, _ := newTestAgent(t, w)
			a.receiveOrders(startOrder(true))
			require.Eventually(t, func() bool { return len(w.receivedOrders()) > 0 }, testTimeout, time.Millisecond)
			a.restart(30)
			require.Eventually(t, func() bool { c := w.receivedOrders(); return c[len(c)-1] == "stop" }, testTimeout, time.Millisecond)
			require.Equal(t, runKey{testTask, 1}, w.lastStop)
			require.Eventually(t, func() bool {
				a.receiveListing(Listing{Worker: restartedWorker, ClockMs: 40})
				return len(a.goneReasons()) == 1
			}, testTimeout, time.Millisecond)
		})
	}
}

// A worker of another name rejects orders for the earlier one.
func TestRunsOfWorkerWithAnotherNameAreNotStopped(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{ResultStarted}}
	a, _ := newTestAgent(t, w)
	a.receiveOrders(startOrder(true))
	require.Eventually(t, func() bool { return len(w.receivedOrders()) > 0 }, testTimeout, time.Millisecond)
	a.receiveListing(Listing{Worker: jobs.Worker{Name: "other", StartedMs: 6}, ClockMs: 30})
	a.mu.Lock()
	defer a.mu.Unlock()
	require.Empty(t, a.state.runs)
}

// A hold sent after an unanswered one reached the next incarnation of the worker with the lease of the earlier one,
// and made it forget ends by the numbers of the earlier one.
func TestHoldAfterAnUnansweredOneCarriesNothing(t *testing.T) {
	w := &fakeWorker{}
	a, _ := newTestAgent(t, w)
	a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Seen: 7})
	a.sendHold(t.Context(), testWorker)
	require.EqualValues(t, 7, w.lastHold.RecordedEnds)
	require.NotZero(t, w.lastHold.LeaseEnd)
	a.sendHold(t.Context(), testWorker)
	require.Zero(t, w.lastHold.RecordedEnds)
	require.Zero(t, w.lastHold.LeaseEnd)
}

// While a worker doesn't answer, its next incarnation may take a start.
func TestNoStartIsSentAfterAnUnansweredHold(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{ResultStarted}}
	a, _ := newTestAgent(t, w)
	a.renew()
	require.False(t, a.missHold())
	a.receiveOrders(startOrder(true))
	time.Sleep(3 * orderRetryInterval)
	require.Empty(t, w.receivedOrders())
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 1100})
	require.Eventually(t, func() bool { return len(w.receivedOrders()) == 1 }, testTimeout, time.Millisecond)
}

// A lease by an order for the earlier incarnation may be as long as a worker accepts.
func TestRestartedWorkerMayHaveALeaseOfTheEarlierIncarnation(t *testing.T) {
	a, clk := newTestAgent(t, &fakeWorker{})
	a.restart(30)
	require.Zero(t, a.renew())
	a.mu.Lock()
	defer a.mu.Unlock()
	ended, ok := a.leaseCertainlyEnded()
	require.True(t, ok)
	require.GreaterOrEqual(t, ended.Sub(clk.Now()), a.cfg.leaseTerms().CertainEnd(clk.Now(), 5*time.Second).Sub(clk.Now()))
}

// A late report of the exit of an earlier incarnation made the agent take the current one for gone as soon as nothing
// listened for a moment.
func TestReadyAnnouncementTakesBackALateExit(t *testing.T) {
	a, clk := newTestAgent(t, &fakeWorker{})
	a.restart(30)
	a.Leave(restartedWorker.Name)
	a.Announce(Announcement{Worker: restartedWorker, Service: "s", Seq: 2})
	a.mu.Lock()
	defer a.mu.Unlock()
	for range 3 {
		a.holdFailed(restartedWorker, ErrNoListener)
		clk.advance(2 * exitConfirmTime)
	}
	require.False(t, a.state.lost)
}

// A copy of a start that was left unanswered came seconds later, when its run had ended and been recorded, and the next
// incarnation ran the task once more.
func TestLateStartOfAnEndedRunIsStopped(t *testing.T) {
	for name, tt := range map[string]struct {
		after time.Duration
		stops bool
	}{
		"while it may come": {lateOrderTime - time.Second, true},
		"later":             {lateOrderTime + time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := &fakeWorker{startAnswers: []any{errNoAnswer, ResultStarted}}
			a, clk := newTestAgent(t, w)
			a.receiveOrders(startOrder(true))
			require.Eventually(t, func() bool { return len(w.receivedOrders()) == 2 }, testTimeout, time.Millisecond)
			a.receiveListing(Listing{Worker: testWorker, ClockMs: 1100, Ends: []jobs.RunEnd{{Number: 1, Task: testTask, Run: 1, Outcome: jobs.RunDone}}})
			a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Seen: 1})
			a.mu.Lock()
			require.Empty(t, a.state.runs)
			a.mu.Unlock()
			clk.advance(tt.after)
			a.receiveListing(Listing{Worker: testWorker, ClockMs: 1100 + tt.after.Milliseconds()})
			a.restart(30)
			if tt.stops {
				require.Eventually(t, func() bool { c := w.receivedOrders(); return c[len(c)-1] == "stop" }, testTimeout, time.Millisecond)
				return
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			require.Empty(t, a.state.runs)
		})
	}
}

// An order for an earlier incarnation that comes late has no effect on a worker that has seen the token of its own.
func TestOrdersCarryTheFenceOfTheIncarnation(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{ResultStarted}}
	a, _ := newTestAgent(t, w)
	a.sendHold(t.Context(), testWorker)
	require.Equal(t, jobctl.Fence(2, 0), w.lastHold.Fence, "a leader of an earlier release sends the term only")
	a.restart(30)
	orders := startOrder(true)
	orders.Born, orders.Lease, orders.Fence = restartedWorker.StartedMs, 9000, jobctl.Fence(2, 2)
	a.receiveOrders(orders)
	require.Eventually(t, func() bool { return len(w.receivedOrders()) > 0 }, testTimeout, time.Millisecond)
	require.Equal(t, jobctl.Fence(2, 2), w.lastStart.Fence)
	a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: restartedWorker.StartedMs, Fence: jobctl.Fence(2, 1)})
	a.sendHold(t.Context(), restartedWorker)
	require.Equal(t, jobctl.Fence(2, 2), w.lastHold.Fence, "it never falls")
	a.receiveOrders(&wire.HostOrders{Term: 3, Worker: "w", Born: restartedWorker.StartedMs})
	a.sendHold(t.Context(), restartedWorker)
	require.Equal(t, jobctl.Fence(3, 0), w.lastHold.Fence)
}
