package jobagt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// renew returns the lease that an order to the worker carries now.
func (a *Agent) renew() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.renewLease()
}

// missHold handles a hold without an answer and reports whether the worker counts as lost.
func (a *Agent) missHold() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holdFailed(testWorker, errNoAnswer)
	return a.state.lost
}

// A worker's runs went on for 4 s of a partition of its host, and were lost after that although the
// worker and its agent were well.
func TestLeaseIsRenewedWithoutTheLeaderUntilTheGrantEnds(t *testing.T) {
	a, clk := newTestAgent(t, &fakeWorker{}) // the clock says 1 s, the grant ends at 9 s
	require.EqualValues(t, 5000, a.renew(), "four fifths of the renewal timeout ahead")
	for _, tt := range []struct{ clockMs, lease int64 }{{2000, 6000}, {4000, 8000}, {5000, 9000}, {7000, 9000}} {
		clk.advance(time.Second)
		a.receiveListing(Listing{Worker: testWorker, ClockMs: tt.clockMs})
		require.Equal(t, tt.lease, a.renew(), tt.clockMs)
	}
}

// A grant that arrives while the worker doesn't answer must not prolong its lease: when it ends has
// to be known.
func TestLeaseOfUnansweringWorkerIsNotRenewed(t *testing.T) {
	a, clk := newTestAgent(t, &fakeWorker{})
	require.EqualValues(t, 5000, a.renew())
	require.False(t, a.missHold())
	clk.advance(2 * time.Second)
	a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Lease: 20000})
	require.EqualValues(t, 5000, a.renew())
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 3000})
	require.EqualValues(t, 7000, a.renew())
}

func TestWorkerIsLostWhenItsLeaseHasCertainlyEnded(t *testing.T) {
	a, clk := newTestAgent(t, &fakeWorker{})
	require.EqualValues(t, 5000, a.renew())
	// 4 s on a clock that is 2% slow, the delay until the worker notices, and the margin.
	clk.advance(4081*time.Millisecond + 500*time.Millisecond)
	require.False(t, a.missHold())
	require.False(t, a.buildReport().Lost)
	clk.advance(2 * time.Millisecond)
	require.True(t, a.missHold())
	require.True(t, a.buildReport().Lost)
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 8000})
	require.False(t, a.buildReport().Lost, "the worker answers again")
}

// An agent that has just started doesn't know which leases the process before it sent.
func TestRestartedAgentWaitsForEarlierLeases(t *testing.T) {
	a, clk := newTestAgent(t, &fakeWorker{})
	a.startedAt = clk.Now()
	a.renew()
	clk.advance(8600 * time.Millisecond)
	require.False(t, a.missHold())
	clk.advance(100 * time.Millisecond)
	require.True(t, a.missHold())
}

// The leader may have started a run elsewhere after the lease of its worker ended. An order to
// start it that the worker hasn't answered must not be sent again under a later grant.
func TestUnansweredStartIsNotSentUnderLaterGrant(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{errNoAnswer, errNoAnswer, ResultStarted}}
	a, clk := newTestAgent(t, w)
	a.receiveOrders(startOrder(true))
	require.Eventually(t, func() bool { return len(w.receivedOrders()) > 0 }, testTimeout, time.Millisecond)
	clk.advance(20 * time.Second)
	require.True(t, a.missHold())
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 21000})
	a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Lease: 30000})
	require.Eventually(t, func() bool { c := w.receivedOrders(); return c[len(c)-1] == "stop" }, testTimeout, time.Millisecond)
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 21100})
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 21200})
	require.Len(t, a.goneReasons(), 1)
}

// The same if the agent was out of touch with the leader, not with its worker.
func TestStartCarriesTheGrantOfItsOrder(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{errNoAnswer}}
	a, clk := newTestAgent(t, w)
	a.receiveOrders(startOrder(true))
	require.Eventually(t, func() bool { return len(w.receivedOrders()) > 0 }, testTimeout, time.Millisecond)
	clk.advance(20 * time.Second)
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 21000})
	a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Lease: 30000})
	require.EqualValues(t, 25000, a.renew())
	require.Eventually(t, func() bool { c := w.receivedOrders(); return c[len(c)-1] == "stop" }, testTimeout, time.Millisecond,
		"the lease of the start has ended, so the run is stopped")
	w.mu.Lock()
	defer w.mu.Unlock()
	require.LessOrEqual(t, w.lastStart.LeaseEnd, int64(9000))
}

// A start whose lease had ended on the clock of its worker was sent all the same. The next incarnation of the
// worker, whose clock begins anew, would have executed it.
func TestStartIsNotSentWithLittleLeaseLeft(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{ResultStarted}}
	a, clk := newTestAgent(t, w)
	clk.advance(7500 * time.Millisecond)
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 8500}) // the grant ends at 9 s
	a.receiveOrders(startOrder(true))
	time.Sleep(3 * orderRetryInterval)
	require.Empty(t, w.receivedOrders())
	clk.advance(time.Second)
	require.Eventually(t, func() bool { return len(a.goneReasons()) == 1 }, testTimeout, time.Millisecond)
	require.Equal(t, []string{"late"}, a.goneReasons())
	require.Empty(t, w.receivedOrders())
}

// The hosts of draining workers are taken away at short notice, agent and all. The rest of a long
// grant kept their runs from starting elsewhere.
func TestDrainingWorkerGivesUpTheRestOfItsGrant(t *testing.T) {
	a, clk := newTestAgent(t, &fakeWorker{})
	require.EqualValues(t, 5000, a.renew())
	a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 2, Draining: true, RemainMs: 2000})
	clk.advance(time.Second)
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 2000})
	require.EqualValues(t, 5000, a.renew(), "the rest of the grant is given up")
	require.EqualValues(t, 2000, a.buildReport().Clock)
	a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Lease: 10500})
	require.EqualValues(t, 5000, a.renew(), "an answer to an earlier report")
	a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Lease: 6000})
	require.EqualValues(t, 6000, a.renew())
}

// An order that the leader had sent before it heard that the worker's lease had ended was carried out when the worker
// answered again, while the task had its next run on another worker.
func TestOrderFromBeforeTheLossStartsNothing(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{ResultStarted}}
	a, clk := newTestAgent(t, w)
	a.renew()
	clk.advance(5 * time.Second)
	require.True(t, a.missHold())
	a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Lease: 9000}) // the answer to a report from before
	a.receiveOrders(startOrder(true))
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 6100})
	require.Eventually(t, func() bool { return len(a.goneReasons()) == 1 }, testTimeout, time.Millisecond)
	require.Equal(t, []string{"late"}, a.goneReasons())
	require.Empty(t, w.receivedOrders())

	a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Lease: 14_100, Starts: []*wire.RunStart{{Task: testTask, Run: 2, Fresh: true}}})
	require.Eventually(t, func() bool { return len(w.receivedOrders()) == 1 }, testTimeout, time.Millisecond)
	require.Equal(t, 2, w.lastStart.Run)
}
