package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// allocatorModel is the reference model of an Allocator: it tracks grants and running
// requests by the returned messages alone. Entries receive messages late, so the
// test also uses grants that have been revoked.
type allocatorModel struct {
	allocator  *Allocator
	now        time.Time
	slots      int
	reserve    int
	idle       map[uint64]Grant // granted and not revoked
	invalid    []uint64         // ids of grants that are revoked or used up
	running    map[uint64]bool  // by grant id: whether the request is long
	becameLong int              // running requests that became long after their start
	entries    map[string]bool
	granted    map[uint64]bool // all grant ids so far
	draining   bool
}

func newAllocatorModel(t *rapid.T) *allocatorModel {
	m := &allocatorModel{
		now:     time.Unix(0, 0),
		slots:   rapid.IntRange(1, 8).Draw(t, "slots"),
		idle:    map[uint64]Grant{},
		running: map[uint64]bool{},
		entries: map[string]bool{},
		granted: map[uint64]bool{},
	}
	m.reserve = rapid.IntRange(0, m.slots).Draw(t, "reserve")
	maxReserve := rapid.IntRange(m.reserve, m.slots).Draw(t, "reserve max")
	m.allocator = NewAllocator(AllocatorOptions{Slots: m.slots, Reserve: m.reserve, MaxReserve: maxReserve})
	return m
}

func (m *allocatorModel) apply(t *rapid.T, updates []GrantUpdate) {
	for _, u := range updates {
		id := u.Grant.ID
		switch u.Kind {
		case UpdateGrant:
			require.False(t, m.granted[id], "grant id used again")
			require.True(t, m.entries[u.Grant.Entry], "grant to an unknown entry")
			require.False(t, m.draining, "grant while draining")
			m.granted[id], m.idle[id] = true, u.Grant
		case UpdateRevoke:
			require.Contains(t, m.idle, id, "revoked a grant that isn't idle")
			delete(m.idle, id)
			m.invalid = append(m.invalid, id)
		}
	}
}

func (m *allocatorModel) runningLong() int {
	n := 0
	for _, long := range m.running {
		if long {
			n++
		}
	}
	return n
}

func (m *allocatorModel) drawEntry(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "entry")
}

func (m *allocatorModel) drawID(t *rapid.T, ids []uint64) uint64 {
	if len(ids) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *allocatorModel) AddEntry(t *rapid.T) {
	e := m.drawEntry(t)
	m.entries[e] = true
	m.apply(t, m.allocator.AddEntry(e, m.now))
}

func (m *allocatorModel) RemoveEntry(t *rapid.T) {
	e := m.drawEntry(t)
	delete(m.entries, e)
	for id, g := range m.idle {
		if g.Entry == e {
			delete(m.idle, id)
			m.invalid = append(m.invalid, id)
		}
	}
	m.apply(t, m.allocator.RemoveEntry(e, m.now))
}

func (m *allocatorModel) SetDemand(t *rapid.T) {
	count := func(name string) admit.Count {
		return admit.Count{Short: rapid.IntRange(0, 6).Draw(t, name), Long: rapid.IntRange(0, 6).Draw(t, name)}
	}
	d := admit.Demand{Guaranteed: count("guaranteed"), Urgent: count("urgent"), Borrowed: count("borrowed")}
	m.apply(t, m.allocator.SetDemand(m.drawEntry(t), d, m.now))
}

func (m *allocatorModel) Start(t *rapid.T) {
	id := m.drawID(t, sortedKeys(m.idle))
	class := rapid.SampledFrom([]admit.Class{admit.Short, admit.Long}).Draw(t, "class")
	g := m.idle[id]
	delete(m.idle, id)
	updates, err := m.allocator.Start(id, class, m.now)
	if g.Class == admit.ShortSlot && class == admit.Long {
		require.ErrorIs(t, err, ErrReserved)
		m.invalid = append(m.invalid, id)
	} else {
		require.NoError(t, err)
		m.running[id] = class == admit.Long
		if class == admit.Long {
			require.LessOrEqual(t, m.runningLong(), max(m.slots-m.reserve, 0)+m.becameLong, "long requests run on reserved slots")
		}
	}
	m.apply(t, updates)
}

// StartRevoked uses a grant that was revoked or used up: the request must not run.
func (m *allocatorModel) StartRevoked(t *rapid.T) {
	updates, err := m.allocator.Start(m.drawID(t, m.invalid), admit.Short, m.now)
	require.ErrorIs(t, err, ErrRevoked)
	m.apply(t, updates)
}

// StartTwice sends a running request a second time: it must not run again.
func (m *allocatorModel) StartTwice(t *rapid.T) {
	_, err := m.allocator.Start(m.drawID(t, sortedKeys(m.running)), admit.Short, m.now)
	require.ErrorIs(t, err, ErrRevoked)
}

func (m *allocatorModel) Finish(t *rapid.T) {
	id := m.drawID(t, sortedKeys(m.running))
	delete(m.running, id)
	m.invalid = append(m.invalid, id)
	m.becameLong = min(m.becameLong, m.runningLong())
	m.apply(t, m.allocator.Finish(id, m.now))
}

func (m *allocatorModel) MarkLong(t *rapid.T) {
	id := m.drawID(t, sortedKeys(m.running))
	if !m.running[id] {
		m.becameLong++
	}
	m.running[id] = true
	m.apply(t, m.allocator.MarkLong(id, m.now))
}

func (m *allocatorModel) Drain(t *rapid.T) {
	m.draining = rapid.Bool().Draw(t, "drain")
	if m.draining {
		m.apply(t, m.allocator.Drain(m.now))
		require.Empty(t, m.idle, "idle grants after a drain")
		return
	}
	m.apply(t, m.allocator.Resume(m.now))
}

func (m *allocatorModel) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * time.Millisecond)
}

func (m *allocatorModel) Check(t *rapid.T) {
	require.LessOrEqual(t, len(m.idle)+len(m.running), m.slots, "more grants than slots")
	anyGrants := 0
	for _, g := range m.idle {
		if g.Class == admit.AnySlot {
			anyGrants++
		}
	}
	if anyGrants > 0 {
		require.LessOrEqual(t, anyGrants+m.runningLong(), m.slots-m.reserve, "grants would let long requests use reserved slots")
	}
	if len(m.entries) > 0 && !m.draining {
		require.Equal(t, m.slots, len(m.idle)+len(m.running), "a free slot isn't granted")
	}
	require.Equal(t, len(m.running), m.allocator.Running().Total())
}

func TestAllocatorNeverGrantsASlotTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAllocatorModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"AddEntry": m.AddEntry, "RemoveEntry": m.RemoveEntry, "SetDemand": m.SetDemand, "Start": m.Start,
			"StartRevoked": m.StartRevoked, "StartTwice": m.StartTwice, "Finish": m.Finish,
			"MarkLong": m.MarkLong, "Drain": m.Drain, "Wait": m.Wait, "": m.Check,
		})
	})
}

// Idle grants move at once to an entry that has demand.
func TestAllocatorMovesIdleGrantsToDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		s := NewAllocator(AllocatorOptions{Slots: slots})
		s.AddEntry("a", now)
		s.AddEntry("b", now)
		want := rapid.IntRange(0, 10).Draw(t, "want")
		s.SetDemand("b", admit.Demand{Borrowed: admit.Count{Long: want}}, now)
		require.GreaterOrEqual(t, s.IdleGrants("b"), min(want, slots))
	})
}
