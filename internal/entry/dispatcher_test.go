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

// newTestDispatcher has one service and one agent with credits 1 to n.
func newTestDispatcher(t *testing.T, credits int) (*dispatcher, *agent, *testClock) {
	t.Helper()
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	d := newDispatcher(clock, admit.Options{}.Defaults(), nil)
	d.configure(conf.Config{}.WithTeam(model.Team{Name: "linen", Slots: 4, Weight: 1}).WithService(model.Service{Name: "rota", LimitMs: 10_000}))
	a := &agent{name: "a1", wake: make(chan struct{}, 1), teams: map[string]int{}}
	d.join(a)
	d.announced(a, &wire.Announce{Service: "rota", Server: "b1", Slots: 8, State: stateReady, Entries: 1})
	var cs []*wire.Credit
	for i := range credits {
		cs = append(cs, &wire.Credit{Id: uint64(i + 1)})
	}
	d.granted(a, cs)
	return d, a, clock
}

func newPending(id string) *pending {
	r := &callRequest{Request: admit.Request{ID: id, Team: "linen", Service: "rota", Idempotent: true}}
	return &pending{req: r, start: make(chan start, 1)}
}

// started returns the credit that a pending request was given, if any.
func started(f *pending) (start, bool) {
	select {
	case s := <-f.start:
		return s, true
	default:
		return start{}, false
	}
}

// TestCreditIsUsedOnce queues more requests than there are credits.
func TestCreditIsUsedOnce(t *testing.T) {
	d, a, _ := newTestDispatcher(t, 1)
	first, second := newPending("r1"), newPending("r2")
	require.NoError(t, d.push(first))
	require.NoError(t, d.push(second))
	s, ok := started(first)
	require.True(t, ok)
	require.EqualValues(t, 1, s.credit.ID)
	_, ok = started(second)
	require.False(t, ok)
	d.granted(a, []*wire.Credit{{Id: 2}})
	d.done(first, "a1", time.Millisecond, admit.OutcomeAnswer, true)
	_, ok = started(second)
	require.True(t, ok)
}

// TestAbandonedCreditServesTheNext gives back the credit of a request whose
// caller went away at the moment that it was given.
func TestAbandonedCreditServesTheNext(t *testing.T) {
	d, _, _ := newTestDispatcher(t, 1)
	first, second := newPending("r1"), newPending("r2")
	require.NoError(t, d.push(first))
	require.NoError(t, d.push(second))
	require.False(t, d.cancel(first), "it has a credit already")
	s, _ := started(first)
	d.abandon(first, s)
	s, ok := started(second)
	require.True(t, ok)
	require.EqualValues(t, 1, s.credit.ID)
}

// TestReturnedRequest queues a request again that an agent refused, and at the
// last try frees its place for the team.
func TestReturnedRequest(t *testing.T) {
	d, a, _ := newTestDispatcher(t, 1)
	f := newPending("r1")
	require.NoError(t, d.push(f))
	_, _ = started(f)
	require.True(t, d.returned(f, "a1", true))
	d.granted(a, []*wire.Credit{{Id: 2}})
	s, ok := started(f)
	require.True(t, ok)
	require.EqualValues(t, 2, s.credit.ID)
	require.False(t, d.returned(f, "a1", false))
	require.Zero(t, d.queue.Running("linen"))
	require.NoError(t, d.push(newPending("r1")), "the id is free again")
}

// TestAgentThatLeavesTakesItsCredits drops an agent, and one that drains.
func TestAgentThatLeavesTakesItsCredits(t *testing.T) {
	for _, leave := range []func(d *dispatcher, a *agent){
		func(d *dispatcher, a *agent) { d.leave(a) },
		func(d *dispatcher, a *agent) {
			d.announced(a, &wire.Announce{Service: "rota", Server: "b1", Slots: 8, State: "draining"})
		},
		func(d *dispatcher, a *agent) { d.revoked(a, []*wire.Credit{{Id: 1}, {Id: 2}}) },
	} {
		d, a, _ := newTestDispatcher(t, 2)
		leave(d, a)
		f := newPending("r1")
		require.NoError(t, d.push(f))
		_, ok := started(f)
		require.False(t, ok)
	}
}

// TestAgentThatReturnsReplacesItself ignores what the old stream still says.
func TestAgentThatReturnsReplacesItself(t *testing.T) {
	d, old, _ := newTestDispatcher(t, 0)
	d.elsewhere(old, "linen", 3)
	again := &agent{name: "a1", wake: make(chan struct{}, 1), teams: map[string]int{}}
	d.join(again)
	require.Zero(t, d.teams["linen"])
	d.granted(old, []*wire.Credit{{Id: 7}})
	d.leave(old)
	f := newPending("r1")
	require.NoError(t, d.push(f))
	_, ok := started(f)
	require.False(t, ok)
	require.Same(t, again, d.agents["a1"])
}

// TestExpiredIsTold ends what can't meet its deadline any more.
func TestExpiredIsTold(t *testing.T) {
	d, _, clock := newTestDispatcher(t, 0)
	for i := range 100 {
		require.NoError(t, d.push(newPending(fmt.Sprint("r", i))))
	}
	f := newPending("last")
	require.NoError(t, d.push(f))
	clock.now = clock.now.Add(time.Minute)
	d.expire()
	s, ok := started(f)
	require.True(t, ok)
	require.True(t, s.expired)
	require.Zero(t, d.depth())
}
