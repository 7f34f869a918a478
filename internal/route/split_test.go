package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// splitModel is a second account of what a split has granted and what runs,
// kept from its steps and answers alone. Entries hear of steps late, so they
// also use grants that have been revoked.
type splitModel struct {
	split    *Allocator
	now      time.Time
	slots    int
	reserve  int
	idle     map[uint64]Grant // granted and not revoked
	stale    []uint64         // revoked
	running  map[uint64]bool  // by grant: whether the request is long
	outlived int              // running ones that became long after the start
	joined   map[string]bool
	used     map[uint64]bool // ids that were ever granted
	drained  bool
}

func newSplitModel(t *rapid.T) *splitModel {
	m := &splitModel{
		now:     time.Unix(0, 0),
		slots:   rapid.IntRange(1, 8).Draw(t, "slots"),
		idle:    map[uint64]Grant{},
		running: map[uint64]bool{},
		joined:  map[string]bool{},
		used:    map[uint64]bool{},
	}
	m.reserve = rapid.IntRange(0, m.slots).Draw(t, "reserve")
	most := rapid.IntRange(m.reserve, m.slots).Draw(t, "reserve max")
	m.split = NewAllocator(AllocatorOptions{Slots: m.slots, Reserve: m.reserve, MaxReserve: most})
	return m
}

func (m *splitModel) apply(t *rapid.T, steps []GrantUpdate) {
	for _, s := range steps {
		id := s.Grant.ID
		switch s.Kind {
		case UpdateGrant:
			require.False(t, m.used[id], "grant id used again")
			require.True(t, m.joined[s.Grant.Entry], "grant to an unknown entry")
			require.False(t, m.drained, "grant while draining")
			m.used[id], m.idle[id] = true, s.Grant
		case UpdateRevoke:
			require.Contains(t, m.idle, id, "revoke of what isn't idle")
			delete(m.idle, id)
			m.stale = append(m.stale, id)
		}
	}
}

func (m *splitModel) long() int {
	n := 0
	for _, long := range m.running {
		if long {
			n++
		}
	}
	return n
}

func (m *splitModel) entry(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "entry")
}

func (m *splitModel) pick(t *rapid.T, ids []uint64) uint64 {
	if len(ids) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *splitModel) AddEntry(t *rapid.T) {
	e := m.entry(t)
	m.joined[e] = true
	m.apply(t, m.split.AddEntry(e, m.now))
}

func (m *splitModel) RemoveEntry(t *rapid.T) {
	e := m.entry(t)
	delete(m.joined, e)
	for id, g := range m.idle {
		if g.Entry == e {
			delete(m.idle, id)
			m.stale = append(m.stale, id)
		}
	}
	m.apply(t, m.split.RemoveEntry(e, m.now))
}

func (m *splitModel) SetDemand(t *rapid.T) {
	count := func(name string) admit.Count {
		return admit.Count{Short: rapid.IntRange(0, 6).Draw(t, name), Long: rapid.IntRange(0, 6).Draw(t, name)}
	}
	d := admit.Demand{Guaranteed: count("guaranteed"), Urgent: count("urgent"), Borrowed: count("borrowed")}
	m.apply(t, m.split.SetDemand(m.entry(t), d, m.now))
}

func (m *splitModel) Start(t *rapid.T) {
	id := m.pick(t, sortedKeys(m.idle))
	class := rapid.SampledFrom([]admit.Class{admit.Short, admit.Long}).Draw(t, "class")
	g := m.idle[id]
	delete(m.idle, id)
	steps, err := m.split.Start(id, class, m.now)
	if g.Class == admit.ShortSlot && class == admit.Long {
		require.ErrorIs(t, err, ErrReserved)
		m.stale = append(m.stale, id)
	} else {
		require.NoError(t, err)
		m.running[id] = class == admit.Long
		if class == admit.Long {
			require.LessOrEqual(t, m.long(), max(m.slots-m.reserve, 0)+m.outlived, "reserve taken by long work")
		}
	}
	m.apply(t, steps)
}

// StartRevoked uses a grant that was revoked: it must never run.
func (m *splitModel) StartRevoked(t *rapid.T) {
	steps, err := m.split.Start(m.pick(t, m.stale), admit.Short, m.now)
	require.ErrorIs(t, err, ErrRevoked)
	m.apply(t, steps)
}

// StartTwice sends a late copy of a request that runs: it must not run again.
func (m *splitModel) StartTwice(t *rapid.T) {
	_, err := m.split.Start(m.pick(t, sortedKeys(m.running)), admit.Short, m.now)
	require.ErrorIs(t, err, ErrRevoked)
}

func (m *splitModel) Finish(t *rapid.T) {
	id := m.pick(t, sortedKeys(m.running))
	delete(m.running, id)
	m.stale = append(m.stale, id)
	m.outlived = min(m.outlived, m.long())
	m.apply(t, m.split.Finish(id, m.now))
}

func (m *splitModel) MarkLong(t *rapid.T) {
	id := m.pick(t, sortedKeys(m.running))
	if !m.running[id] {
		m.outlived++
	}
	m.running[id] = true
	m.apply(t, m.split.MarkLong(id, m.now))
}

func (m *splitModel) Drain(t *rapid.T) {
	m.drained = rapid.Bool().Draw(t, "drain")
	if m.drained {
		m.apply(t, m.split.Drain(m.now))
		require.Empty(t, m.idle, "idle grants after a drain")
		return
	}
	m.apply(t, m.split.Resume(m.now))
}

func (m *splitModel) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * time.Millisecond)
}

func (m *splitModel) Check(t *rapid.T) {
	require.LessOrEqual(t, len(m.idle)+len(m.running), m.slots, "more grants than slots")
	anyGrants := 0
	for _, g := range m.idle {
		if g.Class == admit.AnySlot {
			anyGrants++
		}
	}
	if anyGrants > 0 {
		require.LessOrEqual(t, anyGrants+m.long(), m.slots-m.reserve, "long work could take the reserve")
	}
	if len(m.joined) > 0 && !m.drained {
		require.Equal(t, m.slots, len(m.idle)+len(m.running), "a slot is granted to nobody")
	}
	require.Equal(t, len(m.running), m.split.Running().Total())
}

func TestAllocatorNeverGrantsASlotTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSplitModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"Join": m.AddEntry, "Drop": m.RemoveEntry, "Demand": m.SetDemand, "Take": m.Start,
			"TakeRevoked": m.StartRevoked, "TakeTwice": m.StartTwice, "Free": m.Finish,
			"Outlive": m.MarkLong, "Drain": m.Drain, "Wait": m.Wait, "": m.Check,
		})
	})
}

// Idle grants go at once to the entry that has demand.
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
