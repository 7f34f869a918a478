package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

// newTestDispatcher returns a dispatcher with one service and one agent that has
// granted the given number of credits, with ids from 1.
func newTestDispatcher(t *testing.T, credits int) (*dispatcher, *agent, *testClock) {
	t.Helper()
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	d := newDispatcher(clock, admit.Options{}.Defaults(), nil)
	d.applyConfig(conf.Config{}.WithTeam(model.Team{Name: "linen", Slots: 4, Weight: 1}).WithService(model.Service{Name: "rota", LimitMs: 10_000}))
	a := &agent{name: "a1", demandChanged: make(chan struct{}, 1), otherUsage: map[string]int{}}
	d.addAgent(a)
	d.updateAgent(a, &wire.Announce{Service: "rota", Server: "b1", Slots: 8, State: stateReady, Entries: 1})
	var granted []*wire.Credit
	for i := range credits {
		granted = append(granted, &wire.Credit{Id: uint64(i + 1)})
	}
	d.grantCredits(a, granted)
	return d, a, clock
}

// newPendingRequest returns an idempotent request that isn't queued yet.
func newPendingRequest(id string) *pendingRequest {
	cr := &callRequest{Request: admit.Request{ID: id, Team: "linen", Service: "rota", Idempotent: true}}
	return &pendingRequest{req: cr, assigned: make(chan assignment, 1)}
}

// receiveAssignment returns what was sent to the request, if anything, without
// blocking.
func receiveAssignment(pr *pendingRequest) (assignment, bool) {
	select {
	case asg := <-pr.assigned:
		return asg, true
	default:
		return assignment{}, false
	}
}

// TestCreditIsUsedOnce checks that of two queued requests only one is assigned
// the only credit.
func TestCreditIsUsedOnce(t *testing.T) {
	d, a, _ := newTestDispatcher(t, 1)
	first, second := newPendingRequest("r1"), newPendingRequest("r2")
	require.NoError(t, d.push(first))
	require.NoError(t, d.push(second))
	asg, ok := receiveAssignment(first)
	require.True(t, ok)
	require.EqualValues(t, 1, asg.credit.ID)
	_, ok = receiveAssignment(second)
	require.False(t, ok)
	d.grantCredits(a, []*wire.Credit{{Id: 2}})
	d.complete(first, "a1", time.Millisecond, admit.OutcomeAnswer, true)
	_, ok = receiveAssignment(second)
	require.True(t, ok)
}

// TestAbandonedCreditGoesToNextRequest guards against the loss of a credit that was
// assigned to a request just as its caller disconnected.
func TestAbandonedCreditGoesToNextRequest(t *testing.T) {
	d, _, _ := newTestDispatcher(t, 1)
	first, second := newPendingRequest("r1"), newPendingRequest("r2")
	require.NoError(t, d.push(first))
	require.NoError(t, d.push(second))
	require.False(t, d.cancel(first), "the request was already assigned a credit")
	asg, _ := receiveAssignment(first)
	d.abandon(first, asg)
	asg, ok := receiveAssignment(second)
	require.True(t, ok)
	require.EqualValues(t, 1, asg.credit.ID)
}

// TestNotRunRequestIsRequeued checks that a request that an agent refused is
// queued again, and that it no longer counts for its team after the last attempt.
func TestNotRunRequestIsRequeued(t *testing.T) {
	d, a, _ := newTestDispatcher(t, 1)
	pr := newPendingRequest("r1")
	require.NoError(t, d.push(pr))
	_, _ = receiveAssignment(pr)
	require.True(t, d.requeueNotRun(pr, "a1", true))
	d.grantCredits(a, []*wire.Credit{{Id: 2}})
	asg, ok := receiveAssignment(pr)
	require.True(t, ok)
	require.EqualValues(t, 2, asg.credit.ID)
	require.False(t, d.requeueNotRun(pr, "a1", false))
	require.Zero(t, d.queue.Running("linen"))
	require.NoError(t, d.push(newPendingRequest("r1")), "the id can be used again")
}

// TestCreditsOfRemovedAgentAreNotUsed checks that no credit of an agent is used
// after the agent disconnected, started to drain or revoked it.
func TestCreditsOfRemovedAgentAreNotUsed(t *testing.T) {
	for _, remove := range []func(d *dispatcher, a *agent){
		func(d *dispatcher, a *agent) { d.removeAgent(a) },
		func(d *dispatcher, a *agent) {
			d.updateAgent(a, &wire.Announce{Service: "rota", Server: "b1", Slots: 8, State: "draining"})
		},
		func(d *dispatcher, a *agent) { d.revokeCredits(a, []*wire.Credit{{Id: 1}, {Id: 2}}) },
	} {
		d, a, _ := newTestDispatcher(t, 2)
		remove(d, a)
		pr := newPendingRequest("r1")
		require.NoError(t, d.push(pr))
		_, ok := receiveAssignment(pr)
		require.False(t, ok)
	}
}

// TestReconnectedAgentReplacesOldStream checks that the events of an agent's old
// stream are ignored once the agent has reconnected.
func TestReconnectedAgentReplacesOldStream(t *testing.T) {
	d, old, _ := newTestDispatcher(t, 0)
	d.setOtherUsage(old, "linen", 3)
	reconnected := &agent{name: "a1", demandChanged: make(chan struct{}, 1), otherUsage: map[string]int{}}
	d.addAgent(reconnected)
	require.Zero(t, d.otherUsage["linen"])
	d.grantCredits(old, []*wire.Credit{{Id: 7}})
	d.removeAgent(old)
	pr := newPendingRequest("r1")
	require.NoError(t, d.push(pr))
	_, ok := receiveAssignment(pr)
	require.False(t, ok)
	require.Same(t, reconnected, d.agents["a1"])
}

// TestExpiredRequestIsNotified checks that a queued request is notified when it
// can no longer meet its deadline.
func TestExpiredRequestIsNotified(t *testing.T) {
	d, _, clock := newTestDispatcher(t, 0)
	for i := range 100 {
		require.NoError(t, d.push(newPendingRequest(fmt.Sprint("r", i))))
	}
	pr := newPendingRequest("last")
	require.NoError(t, d.push(pr))
	clock.now = clock.now.Add(time.Minute)
	d.expire()
	asg, ok := receiveAssignment(pr)
	require.True(t, ok)
	require.True(t, asg.expired)
	require.Zero(t, d.queueDepth())
}
