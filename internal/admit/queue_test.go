package admit

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

var testTeams = []model.Team{
	{Name: "a", Slots: 2, Weight: 1},
	{Name: "b", Slots: 1, Weight: 3},
	{Name: "c", Slots: 0, Weight: 1},
}

var testService = model.Service{Name: "s", ShortMs: 100, LimitMs: 10_000}

func newTestQueue(opt Options) *Queue {
	q := New(opt)
	q.SetTeams(testTeams)
	q.SetServices([]model.Service{testService})
	q.SetCapacity("s", 4, 1)
	return q
}

type fate string

const (
	waits     fate = "waits"
	runs      fate = "runs"
	cancelled fate = "cancelled"
	expired   fate = "expired"
	done      fate = "done"
)

// queueModel is a second account of what became of each request.
type queueModel struct {
	q       *Queue
	now     time.Time
	all     map[string]Request
	fates   map[string]fate
	running map[string]int // by team
	last    int
}

func (m *queueModel) with(f fate) []string {
	var out []string
	for i := 1; i <= m.last; i++ {
		if id := strconv.Itoa(i); m.fates[id] == f {
			out = append(out, id)
		}
	}
	return out
}

func (m *queueModel) pick(t *rapid.T, f fate) string {
	ids := m.with(f)
	if len(ids) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *queueModel) Push(t *rapid.T) {
	m.last++
	r := Request{
		ID:         strconv.Itoa(m.last),
		Team:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Service:    "s",
		Urgency:    rapid.SampledFrom(urgencies[:]).Draw(t, "urgency"),
		Deadline:   m.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond),
		DeclaredClass:   rapid.SampledFrom([]Class{Short, Long}).Draw(t, "class"),
		Idempotent: true,
	}
	if err := m.q.Push(r, m.now); err != nil {
		var refusal *Refusal
		require.ErrorAs(t, err, &refusal)
		require.False(t, refusal.RetryAt.Before(m.now) && !refusal.RetryAt.IsZero())
		return
	}
	m.all[r.ID], m.fates[r.ID] = r, waits
}

func (m *queueModel) Pop(t *rapid.T) {
	class := rapid.SampledFrom([]SlotClass{ShortSlot, AnySlot}).Draw(t, "slot")
	r, ok := m.q.Pop("s", class, m.now)
	defer m.Expire(t) // a pop leaves late requests to the next Expire
	if !ok {
		return
	}
	require.Equal(t, waits, m.fates[r.ID], "popped but not waiting")
	require.True(t, m.now.Before(r.Deadline), "popped past its deadline")
	require.True(t, class.Accepts(r.Class), "class of the slot")
	m.fates[r.ID] = runs
	for _, id := range m.with(waits) {
		m.requireOrder(t, r, m.all[id])
	}
	m.running[r.Team]++
}

// requireOrder checks that nothing that the slot accepts should have gone
// before the popped request.
func (m *queueModel) requireOrder(t *rapid.T, popped, other Request) {
	if other.DeclaredClass != popped.DeclaredClass || m.now.Add(10*time.Second).After(other.Deadline) {
		return // another line, or too late by itself
	}
	if other.Team == popped.Team {
		require.False(t, level(other) < level(popped), "a more urgent request of the team was left")
		return
	}
	if m.within(other.Team) && !m.within(popped.Team) {
		t.Fatalf("%s of %s was borrowed before the guarantee of %s", popped.ID, popped.Team, other.Team)
	}
}

func level(r Request) int {
	l, _ := urgencyLevel(r.Urgency)
	return l
}

func (m *queueModel) within(team string) bool {
	for _, t := range testTeams {
		if t.Name == team {
			return m.running[team] < t.Slots
		}
	}
	return false
}

func (m *queueModel) Cancel(t *rapid.T) {
	id := m.pick(t, rapid.SampledFrom([]fate{waits, runs, cancelled}).Draw(t, "fate"))
	require.Equal(t, m.fates[id] == waits, m.q.Cancel(id, m.now))
	if m.fates[id] == waits {
		m.fates[id] = cancelled
	}
}

func (m *queueModel) Expire(t *rapid.T) {
	for _, r := range m.q.Expire(m.now) {
		require.Equal(t, waits, m.fates[r.ID], "told as not run though handed out, cancelled or expired")
		m.fates[r.ID] = expired
	}
}

func (m *queueModel) Done(t *rapid.T) {
	id := m.pick(t, runs)
	m.q.Done(m.all[id], 50*time.Millisecond, OutcomeUnknown, m.now)
	m.fates[id] = done
	m.running[m.all[id].Team]--
}

func (m *queueModel) Requeue(t *rapid.T) {
	id := m.pick(t, runs)
	require.True(t, m.q.Requeue(id, m.now))
	m.fates[id] = waits
	m.running[m.all[id].Team]--
}

func (m *queueModel) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *queueModel) Check(t *rapid.T) {
	for team, n := range m.running {
		require.Equal(t, n, m.q.Running(team), "running slots of %s", team)
	}
	sum := m.q.Demand("s").ByClass()
	require.Equal(t, m.q.Len(), sum.Total())
}

func TestQueueHandsOutEachRequestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{
			q: newTestQueue(Options{}), now: time.Unix(1000, 0),
			all: map[string]Request{}, fates: map[string]fate{}, running: map[string]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"Push": m.Push, "Pop": m.Pop, "Cancel": m.Cancel, "Expire": m.Expire,
			"Done": m.Done, "Requeue": m.Requeue, "Wait": m.Wait, "": m.Check,
		})
	})
}
