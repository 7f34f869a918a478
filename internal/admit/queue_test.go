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

type requestState string

const (
	stateQueued    requestState = "waits"
	stateRunning   requestState = "runs"
	stateCancelled requestState = "cancelled"
	stateExpired   requestState = "expired"
	stateDone      requestState = "done"
)

// queueModel is the reference model of a Queue: it tracks the state of each request
// independently.
type queueModel struct {
	q        *Queue
	now      time.Time
	requests map[string]Request
	states   map[string]requestState
	running  map[string]int // by team
	lastID   int
}

func (m *queueModel) idsInState(f requestState) []string {
	var out []string
	for i := 1; i <= m.lastID; i++ {
		if id := strconv.Itoa(i); m.states[id] == f {
			out = append(out, id)
		}
	}
	return out
}

func (m *queueModel) drawID(t *rapid.T, f requestState) string {
	ids := m.idsInState(f)
	if len(ids) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *queueModel) Push(t *rapid.T) {
	m.lastID++
	r := Request{
		ID:            strconv.Itoa(m.lastID),
		Team:          rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Service:       "s",
		Urgency:       rapid.SampledFrom(urgencies[:]).Draw(t, "urgency"),
		Deadline:      m.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond),
		DeclaredClass: rapid.SampledFrom([]Class{Short, Long}).Draw(t, "class"),
		Idempotent:    true,
	}
	if err := m.q.Push(r, m.now); err != nil {
		var refusal *Refusal
		require.ErrorAs(t, err, &refusal)
		require.False(t, refusal.RetryAt.Before(m.now) && !refusal.RetryAt.IsZero())
		return
	}
	m.requests[r.ID], m.states[r.ID] = r, stateQueued
}

func (m *queueModel) Pop(t *rapid.T) {
	class := rapid.SampledFrom([]SlotClass{ShortSlot, AnySlot}).Draw(t, "slot")
	r, ok := m.q.Pop("s", class, m.now)
	defer m.Expire(t) // requests that Pop skipped as too late must be returned by Expire
	if !ok {
		return
	}
	require.Equal(t, stateQueued, m.states[r.ID], "popped though not queued")
	require.True(t, m.now.Before(r.Deadline), "popped after its deadline")
	require.True(t, class.Accepts(r.Class), "the slot does not accept the class")
	m.states[r.ID] = stateRunning
	for _, id := range m.idsInState(stateQueued) {
		m.requireOrder(t, r, m.requests[id])
	}
	m.running[r.Team]++
}

// requireOrder checks that other, which stayed queued, should not have been popped
// before popped.
func (m *queueModel) requireOrder(t *rapid.T, popped, other Request) {
	if other.DeclaredClass != popped.DeclaredClass || m.now.Add(10*time.Second).After(other.Deadline) {
		return // they may be of another class, or other may be too late anyway
	}
	if other.Team == popped.Team {
		require.False(t, urgencyLevelOf(other) < urgencyLevelOf(popped), "a more urgent request of the same team stayed queued")
		return
	}
	if m.withinGuarantee(other.Team) && !m.withinGuarantee(popped.Team) {
		t.Fatalf("request %s of team %s got a borrowed slot before the guaranteed one of team %s", popped.ID, popped.Team, other.Team)
	}
}

func urgencyLevelOf(r Request) int {
	l, _ := urgencyLevel(r.Urgency)
	return l
}

func (m *queueModel) withinGuarantee(team string) bool {
	for _, t := range testTeams {
		if t.Name == team {
			return m.running[team] < t.Slots
		}
	}
	return false
}

func (m *queueModel) Cancel(t *rapid.T) {
	id := m.drawID(t, rapid.SampledFrom([]requestState{stateQueued, stateRunning, stateCancelled}).Draw(t, "state"))
	require.Equal(t, m.states[id] == stateQueued, m.q.Cancel(id, m.now))
	if m.states[id] == stateQueued {
		m.states[id] = stateCancelled
	}
}

func (m *queueModel) Expire(t *rapid.T) {
	for _, r := range m.q.Expire(m.now) {
		require.Equal(t, stateQueued, m.states[r.ID], "expired though popped, cancelled or expired before")
		m.states[r.ID] = stateExpired
	}
}

func (m *queueModel) Done(t *rapid.T) {
	id := m.drawID(t, stateRunning)
	m.q.Done(m.requests[id], 50*time.Millisecond, OutcomeUnknown, m.now)
	m.states[id] = stateDone
	m.running[m.requests[id].Team]--
}

func (m *queueModel) Requeue(t *rapid.T) {
	id := m.drawID(t, stateRunning)
	require.True(t, m.q.Requeue(id, m.now))
	m.states[id] = stateQueued
	m.running[m.requests[id].Team]--
}

func (m *queueModel) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *queueModel) Check(t *rapid.T) {
	for team, n := range m.running {
		require.Equal(t, n, m.q.Running(team), "running slots of team %s", team)
	}
	sum := m.q.Demand("s").ByClass()
	require.Equal(t, m.q.Len(), sum.Total())
}

func TestQueueHandsOutEachRequestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{
			q: newTestQueue(Options{}), now: time.Unix(1000, 0),
			requests: map[string]Request{}, states: map[string]requestState{}, running: map[string]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"Push": m.Push, "Pop": m.Pop, "Cancel": m.Cancel, "Expire": m.Expire,
			"Done": m.Done, "Requeue": m.Requeue, "Wait": m.Wait, "": m.Check,
		})
	})
}
