package admit

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// retryModel simulates slots that run the requests of a queue, one at a time and
// each for the same time.
type retryModel struct {
	q       *Queue
	now     time.Time
	runTime time.Duration
	freeAt  []time.Time // when each slot becomes free
	running []Request
}

// runUntil simulates the slots until the given time.
func (m *retryModel) runUntil(until time.Time) {
	for {
		next := 0
		for i := range m.freeAt {
			if m.freeAt[i].Before(m.freeAt[next]) {
				next = i
			}
		}
		if m.freeAt[next].After(until) {
			m.now = until
			return
		}
		m.now = m.freeAt[next]
		if m.running[next].ID != "" {
			m.q.Done(m.running[next], m.runTime, OutcomeAnswer, m.now)
		}
		m.running[next], _ = m.q.Pop("s", AnySlot, m.now)
		m.freeAt[next] = m.now.Add(m.runTime)
	}
}

// A refused request that is repeated at its retry time, with as much time to its
// deadline as before, is accepted, provided that the drain rate stays the same and
// no other requests arrive.
func TestRequestIsAcceptedAtItsRetryTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		m := &retryModel{q: newTestQueue(Options{}), now: time.Unix(1000, 0)}
		m.q.SetCapacity("s", slots, 1)
		m.runTime = time.Duration(rapid.IntRange(10, 90).Draw(t, "ms")) * time.Millisecond
		budget := time.Duration(rapid.IntRange(500, 3000).Draw(t, "budget")) * time.Millisecond
		m.freeAt, m.running = make([]time.Time, slots), make([]Request, slots)
		for i := range m.freeAt {
			m.freeAt[i] = m.now.Add(m.runTime * time.Duration(i+1) / time.Duration(slots))
		}
		push := func(n int, budget time.Duration) error {
			return m.q.Push(Request{
				ID: strconv.Itoa(n), Team: "a", Service: "s", Idempotent: true,
				DeclaredMs: m.runTime.Milliseconds(), Deadline: m.now.Add(budget),
			}, m.now)
		}
		n := 0
		for push(n, budget) == nil { // fill the queue
			n++
		}
		retryBudget := time.Duration(rapid.IntRange(300, int(budget.Milliseconds())).Draw(t, "retry budget")) * time.Millisecond
		var retryTimes []time.Time
		for range rapid.IntRange(1, 5).Draw(t, "refused") {
			n++
			err := push(n, retryBudget)
			require.ErrorIs(t, err, ErrQueueTooSlow)
			var refusal *Refusal
			require.ErrorAs(t, err, &refusal)
			require.True(t, refusal.RetryAt.After(m.now))
			retryTimes = append(retryTimes, refusal.RetryAt)
		}
		for _, at := range retryTimes {
			m.runUntil(at)
			n++
			require.NoError(t, push(n, retryBudget), "refused again at its retry time %v", at)
		}
	})
}

// A refusal because the queue of the team is full has a retry time, too.
func TestRefusalByFullQueueHasARetryTime(t *testing.T) {
	q, now := newTestQueue(Options{MaxQueued: 1}), time.Unix(1000, 0)
	require.NoError(t, q.Push(Request{ID: "1", Team: "a", Service: "s", Idempotent: true}, now))
	err := q.Push(Request{ID: "2", Team: "a", Service: "s", Idempotent: true}, now)
	require.ErrorIs(t, err, ErrQueueFull)
	var refusal *Refusal
	require.ErrorAs(t, err, &refusal)
	require.True(t, refusal.RetryAt.After(now))
}

// Without any backend server requests are queued, and a refusal has no retry time
// because none can be estimated.
func TestQueueWithoutBackendServers(t *testing.T) {
	q, now := newTestQueue(Options{MaxQueued: 2}), time.Unix(1000, 0)
	push := func(id string) error {
		return q.Push(Request{ID: id, Team: "a", Service: "s", Idempotent: true}, now)
	}
	q.SetCapacity("s", 0, 1)
	require.NoError(t, push("1"))
	require.NoError(t, push("2"))
	err := push("3")
	require.ErrorIs(t, err, ErrQueueFull)
	var refusal *Refusal
	require.ErrorAs(t, err, &refusal)
	require.True(t, refusal.RetryAt.IsZero(), "retry time %v though no backend server is known", refusal.RetryAt)
	q.SetCapacity("s", 4, 2)
	require.ErrorAs(t, push("3"), &refusal)
	require.True(t, refusal.RetryAt.After(now))
}
