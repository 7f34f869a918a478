package admit

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func TestPushRefusesBadInput(t *testing.T) {
	now := time.Unix(1000, 0)
	good := Request{ID: "1", Team: "a", Service: "s", Key: "k", Deadline: now.Add(time.Minute)}
	for _, c := range []struct {
		name   string
		change func(*Request)
		reason error
		field  string
	}{
		{"no id", func(r *Request) { r.ID = "" }, ErrInvalidValue, "id"},
		{"deadline past", func(r *Request) { r.Deadline = now }, ErrDeadlinePassed, "deadline"},
		{"deadline too soon", func(r *Request) { r.Deadline = now.Add(time.Millisecond) }, ErrDeadlineTooSoon, "deadline"},
		{"key of 10 kB", func(r *Request) { r.Key = strings.Repeat("k", 10_000) }, ErrKeyTooLong, "key"},
		{"no key", func(r *Request) { r.Key = "" }, ErrKeyMissing, "key"},
		{"unknown team", func(r *Request) { r.Team = "z" }, ErrUnknownTeam, "team"},
		{"unknown service", func(r *Request) { r.Service = "z" }, ErrUnknownService, "service"},
		{"urgency", func(r *Request) { r.Urgency = "now" }, ErrInvalidValue, "urgency"},
		{"class", func(r *Request) { r.DeclaredClass = "huge" }, ErrInvalidValue, "class"},
		{"negative size", func(r *Request) { r.DeclaredMs = -1 }, ErrInvalidValue, "size"},
		{"size above the limit", func(r *Request) { r.DeclaredMs = maxDeclaredMs + 1 }, ErrInvalidValue, "size"},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, r := newTestQueue(Options{}), good
			c.change(&r)
			err := q.Push(r, now)
			require.ErrorIs(t, err, c.reason)
			var refusal *Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, c.field, refusal.Field)
			require.Less(t, len(err.Error()), 200)
			require.Zero(t, q.Len())
		})
	}
}

func TestPushRefusesAnIDThatIsQueuedOrRunning(t *testing.T) {
	q, now := newTestQueue(Options{}), time.Unix(1000, 0)
	r := Request{ID: "1", Team: "a", Service: "s", Idempotent: true}
	require.NoError(t, q.Push(r, now))
	require.ErrorIs(t, q.Push(r, now), ErrDuplicateID)
	_, ok := q.Pop("s", AnySlot, now)
	require.True(t, ok)
	require.ErrorIs(t, q.Push(r, now), ErrDuplicateID)
}

func TestPushRefusesATeamThatMayNotCallTheService(t *testing.T) {
	q, now := newTestQueue(Options{}), time.Unix(1000, 0)
	service := testService
	service.Teams = []string{"b"}
	q.SetServices([]model.Service{service})
	err := q.Push(Request{ID: "1", Team: "a", Service: "s", Idempotent: true}, now)
	require.ErrorIs(t, err, ErrNotAllowed)
}

// Queued requests of a removed team are still served; those of a removed service
// expire.
func TestRemovedTeamIsServedAndRemovedServiceExpires(t *testing.T) {
	q, now := newTestQueue(Options{}), time.Unix(1000, 0)
	for _, id := range []string{"1", "2"} {
		require.NoError(t, q.Push(Request{ID: id, Team: "a", Service: "s", Idempotent: true}, now))
	}
	q.SetTeams(testTeams[1:])
	_, ok := q.Pop("s", AnySlot, now)
	require.True(t, ok)
	q.SetServices(nil)
	require.Len(t, q.Expire(now), 1)
	require.Zero(t, q.Len())
}

// The measured run times replace a declared class and run time that are wrong.
func TestMeasuredRunTimeReplacesTheDeclaredClass(t *testing.T) {
	q, now := newTestQueue(Options{}), time.Unix(1000, 0)
	push := func(id int) Class {
		r := Request{ID: strconv.Itoa(id), Team: "a", Service: "s", Idempotent: true, DeclaredClass: Short, DeclaredMs: 10}
		require.NoError(t, q.Push(r, now))
		r, ok := q.Pop("s", AnySlot, now)
		require.True(t, ok)
		q.Done(r, 3*time.Second, OutcomeAnswer, now)
		return r.Class
	}
	require.Equal(t, Short, push(0))
	for i := 1; i < minSamples; i++ {
		push(i)
	}
	require.Equal(t, Long, push(minSamples))
}

// A slow slot goes to a team without a guarantee while the request of a team within
// its guarantee waits for a faster slot.
func TestSlowSlotGoesToATeamBeyondItsGuarantee(t *testing.T) {
	q, now := newTestQueue(Options{}), time.Unix(1000, 0)
	require.NoError(t, q.Push(Request{ID: "a", Team: "a", Service: "s", Idempotent: true}, now))
	require.NoError(t, q.Push(Request{ID: "c", Team: "c", Service: "s", Idempotent: true}, now))
	r, ok := q.PopSlot("s", Slot{Class: AnySlot, Slowdown: 2}, now)
	require.True(t, ok)
	require.Equal(t, "c", r.ID)
	r, ok = q.PopSlot("s", Slot{Class: AnySlot, Slowdown: 2}, now)
	require.True(t, ok)
	require.Equal(t, "a", r.ID)
}

func TestBudget(t *testing.T) {
	b, ok := NewBudget(RetryTokensPerSuccess, 1).WithRetry()
	require.True(t, ok)
	_, ok = b.WithRetry()
	require.False(t, ok)
	for range 11 {
		b = b.WithSuccess()
	}
	_, ok = b.WithRetry()
	require.True(t, ok)
}
