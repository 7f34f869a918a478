package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// pickerModel is the reference model of a Picker: it tracks the unused credits
// independently.
type pickerModel struct {
	p        *Picker
	now      time.Time
	lastID   uint64
	held     map[uint64]Credit
	known    map[string]bool
	draining map[string]bool
	inflight map[string]int
}

func (m *pickerModel) drawServer(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server")
}

func (m *pickerModel) Add(t *rapid.T) {
	s := m.drawServer(t)
	m.p.Add(s)
	m.known[s] = true
	delete(m.draining, s)
}

func (m *pickerModel) Drain(t *rapid.T) {
	s := m.drawServer(t)
	m.p.Drain(s)
	m.draining[s] = m.known[s]
}

func (m *pickerModel) Remove(t *rapid.T) {
	s := m.drawServer(t)
	m.p.Remove(s)
	delete(m.known, s)
	delete(m.draining, s)
	delete(m.inflight, s)
	for id, c := range m.held {
		if c.Server == s {
			delete(m.held, id)
		}
	}
}

func (m *pickerModel) AddCredit(t *rapid.T) {
	m.lastID++
	c := Credit{Server: m.drawServer(t), ID: m.lastID, Class: rapid.SampledFrom([]admit.SlotClass{admit.AnySlot, admit.ShortSlot}).Draw(t, "class")}
	require.Equal(t, m.known[c.Server], m.p.AddCredit(c))
	if m.known[c.Server] {
		m.held[c.ID] = c
	}
}

func (m *pickerModel) RevokeCredit(t *rapid.T) {
	id := rapid.Uint64Range(1, m.lastID+1).Draw(t, "id")
	c, ok := m.held[id]
	require.Equal(t, ok, m.p.RevokeCredit(c))
	delete(m.held, id)
}

func (m *pickerModel) Pick(t *rapid.T) {
	class := rapid.SampledFrom([]admit.Class{admit.Short, admit.Long}).Draw(t, "class")
	bestSlot := m.p.BestSlot(m.now)
	c, ok := m.p.Pick(class, m.now)
	require.Equal(t, bestSlot.Class.Accepts(class), ok, "Pick disagrees with the offered slot")
	m.checkPick(t, c, class, ok)
}

func (m *pickerModel) PickOther(t *rapid.T) {
	s := m.drawServer(t)
	c, ok := m.p.PickOther(admit.Short, s, m.now)
	require.False(t, ok && c.Server == s)
	m.checkPick(t, c, admit.Short, ok)
}

func (m *pickerModel) checkPick(t *rapid.T, c Credit, class admit.Class, ok bool) {
	if !ok {
		return
	}
	require.Equal(t, m.held[c.ID], c, "picked a credit that isn't held")
	require.True(t, c.Class.Accepts(class))
	require.False(t, m.draining[c.Server], "picked a draining server")
	delete(m.held, c.ID)
	m.inflight[c.Server]++
}

func (m *pickerModel) Done(t *rapid.T) {
	s := m.drawServer(t)
	if m.inflight[s] == 0 {
		t.Skip("none")
	}
	m.inflight[s]--
	runTime := time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
	m.p.Done(s, Result{ExpectedRunTime: 50 * time.Millisecond, RunTime: runTime, OK: rapid.Bool().Draw(t, "ok")}, m.now)
}

func (m *pickerModel) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * time.Millisecond)
}

func TestPickerUsesOnlyCreditsItHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &pickerModel{
			p: NewPicker(), now: time.Unix(0, 0), held: map[uint64]Credit{},
			known: map[string]bool{}, draining: map[string]bool{}, inflight: map[string]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"Add": m.Add, "Drain": m.Drain, "Remove": m.Remove, "AddCredit": m.AddCredit, "RevokeCredit": m.RevokeCredit,
			"Pick": m.Pick, "PickOther": m.PickOther, "Done": m.Done, "Wait": m.Wait,
		})
	})
}

// pickMany calls Pick n times while there is always one credit of each server, and
// returns how often each server was picked.
func pickMany(p *Picker, names []string, n int, result func(string) Result) map[string]int {
	now, picks := time.Unix(0, 0), map[string]int{}
	for i, name := range names {
		p.Add(name)
		p.AddCredit(Credit{Server: name, ID: uint64(i), Class: admit.AnySlot})
	}
	for range n {
		now = now.Add(10 * time.Millisecond)
		c, ok := p.Pick(admit.Short, now)
		if !ok {
			continue
		}
		picks[c.Server]++
		p.Done(c.Server, result(c.Server), now)
		p.AddCredit(c)
	}
	return picks
}

// A server that fails all requests at once looks fast. It must get only an
// occasional request.
func TestPickerSuspendsAServerThatFailsAllRequests(t *testing.T) {
	names := []string{"bad", "good", "well"}
	picks := pickMany(NewPicker(), names, 10_000, func(name string) Result {
		if name == "bad" {
			return Result{ExpectedRunTime: 50 * time.Millisecond, RunTime: time.Millisecond}
		}
		return Result{ExpectedRunTime: 50 * time.Millisecond, RunTime: 50 * time.Millisecond, OK: true}
	})
	require.Less(t, picks["bad"], 20)
	require.Greater(t, picks["bad"], maxConsecutiveFails, "not tried again after a suspension")
}

// If all requests fail on all servers, requests are still sent.
func TestPickerSuspendsAtMostHalfOfTheServers(t *testing.T) {
	picks := pickMany(NewPicker(), []string{"a", "b", "c", "d"}, 1000, func(string) Result {
		return Result{ExpectedRunTime: 50 * time.Millisecond, RunTime: time.Millisecond}
	})
	require.Greater(t, len(picks), 1)
	require.Equal(t, 1000, picks["a"]+picks["b"]+picks["c"]+picks["d"])
}

// A new server gets one request at first and one more concurrent one for each
// success.
func TestPickerSlowStart(t *testing.T) {
	p, now := NewPicker(), time.Unix(0, 0)
	p.Add("new")
	for id := range uint64(8) {
		p.AddCredit(Credit{Server: "new", ID: id, Class: admit.AnySlot})
	}
	burst := func() int {
		n := 0
		for _, ok := p.Pick(admit.Short, now); ok; _, ok = p.Pick(admit.Short, now) {
			n++
		}
		return n
	}
	require.Equal(t, 1, burst())
	p.Done("new", Result{ExpectedRunTime: time.Second, RunTime: time.Second, OK: true}, now)
	require.Equal(t, 2, burst())
}

// Most requests go to the fastest server, whichever name it has.
func TestPickerFindsTheFastest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fast := rapid.IntRange(0, 9).Draw(t, "fast")
		var names []string
		for i := range 10 {
			names = append(names, fmt.Sprint("s", i))
		}
		picks := pickMany(NewPicker(), names, 2000, func(name string) Result {
			runTime := 80 * time.Millisecond
			if name == names[fast] {
				runTime = 40 * time.Millisecond
			}
			return Result{ExpectedRunTime: 60 * time.Millisecond, RunTime: runTime, OK: true}
		})
		require.Greater(t, picks[names[fast]], 1800)
	})
}

func TestHedgerAllowsOnlyIdempotentRequestsWithinBudget(t *testing.T) {
	now := time.Unix(0, 0)
	h := NewHedger()
	r := admit.Request{Class: admit.Short, Idempotent: true, Deadline: now.Add(time.Second)}
	at, ok := h.DueAt(r, now, 20*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, now.Add(80*time.Millisecond), at)
	r.Idempotent = false
	_, ok = h.DueAt(r, now, 20*time.Millisecond)
	require.False(t, ok)
	spent := 0
	for h.Spend() {
		spent++
	}
	require.Equal(t, maxHedgeTokens, spent)
	for range 20 {
		h.RecordSuccess()
	}
	require.True(t, h.Spend())
	require.False(t, h.Spend())
}
