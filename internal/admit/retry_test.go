package admit

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// retryModel drains a queue with slots of its own that each take one request
// of a constant size at a time.
type retryModel struct {
	q    *Queue
	now  time.Time
	size time.Duration
	ends []time.Time // when each slot is free
	run  []Request
}

// drain runs the slots until a time.
func (m *retryModel) drain(until time.Time) {
	for {
		first := 0
		for i := range m.ends {
			if m.ends[i].Before(m.ends[first]) {
				first = i
			}
		}
		if m.ends[first].After(until) {
			m.now = until
			return
		}
		m.now = m.ends[first]
		if m.run[first].ID != "" {
			m.q.Done(m.run[first], m.size, OutcomeAnswer, m.now)
		}
		m.run[first], _ = m.q.Pop("s", AnySlot, m.now)
		m.ends[first] = m.now.Add(m.size)
	}
}

// A caller that comes back at the time that it was told is accepted, with as
// much time before its deadline as the first time, if the slots keep their
// pace and only callers that were told so come back.
func TestRequestIsAcceptedAtItsRetryTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		m := &retryModel{q: newTestQueue(Options{}), now: time.Unix(1000, 0)}
		m.q.SetCapacity("s", slots, 1)
		m.size = time.Duration(rapid.IntRange(10, 90).Draw(t, "ms")) * time.Millisecond
		budget := time.Duration(rapid.IntRange(500, 3000).Draw(t, "budget")) * time.Millisecond
		m.ends, m.run = make([]time.Time, slots), make([]Request, slots)
		for i := range m.ends {
			m.ends[i] = m.now.Add(m.size * time.Duration(i+1) / time.Duration(slots))
		}
		push := func(n int, budget time.Duration) error {
			return m.q.Push(Request{
				ID: strconv.Itoa(n), Team: "a", Service: "s", Idempotent: true,
				DeclaredMs: m.size.Milliseconds(), Deadline: m.now.Add(budget),
			}, m.now)
		}
		n := 0
		for push(n, budget) == nil { // fill the queue
			n++
		}
		hurry := time.Duration(rapid.IntRange(300, int(budget.Milliseconds())).Draw(t, "hurry")) * time.Millisecond
		var told []time.Time
		for range rapid.IntRange(1, 5).Draw(t, "refused") {
			n++
			err := push(n, hurry)
			require.ErrorIs(t, err, ErrQueueTooSlow)
			var refusal *Refusal
			require.ErrorAs(t, err, &refusal)
			require.True(t, refusal.RetryAt.After(m.now))
			told = append(told, refusal.RetryAt)
		}
		for _, at := range told {
			m.drain(at)
			n++
			require.NoError(t, push(n, hurry), "told to come back at %v", at)
		}
	})
}

// The queue of a team beyond its limit tells a retry time as well.
func TestRefusalByFullQueueHasARetryTime(t *testing.T) {
	q, now := newTestQueue(Options{MaxQueued: 1}), time.Unix(1000, 0)
	require.NoError(t, q.Push(Request{ID: "1", Team: "a", Service: "s", Idempotent: true}, now))
	err := q.Push(Request{ID: "2", Team: "a", Service: "s", Idempotent: true}, now)
	require.ErrorIs(t, err, ErrQueueFull)
	var refusal *Refusal
	require.ErrorAs(t, err, &refusal)
	require.True(t, refusal.RetryAt.After(now))
}

// Without any backend server requests wait, and no retry time is made up.
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
	require.True(t, refusal.RetryAt.IsZero(), "nobody knows when: %v", refusal.RetryAt)
	q.SetCapacity("s", 4, 2)
	require.ErrorAs(t, push("3"), &refusal)
	require.True(t, refusal.RetryAt.After(now))
}
