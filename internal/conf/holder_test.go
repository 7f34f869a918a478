package conf_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// at returns the configuration that the tests' history has at a revision:
// revision n sets team "t<n mod 4>" to weight n, and drops it if n is a
// multiple of 5.
func at(revision uint64) conf.Config {
	c := conf.Config{}
	for n := uint64(1); n <= revision; n++ {
		name := fmt.Sprintf("t%d", n%4)
		c = c.WithTeam(model.Team{Name: name, Weight: int(n)})
		if n%5 == 0 {
			c = c.WithoutTeam(name)
		}
	}
	return c.WithRevision(revision)
}

// between returns the delta of the tests' history.
func between(from, to uint64) conf.Delta {
	d := conf.Delta{Cluster: "c", From: from, Revision: to}
	for i := range uint64(4) {
		name := fmt.Sprintf("t%d", i)
		if t, ok := at(to).Team(name); ok {
			d.Teams = append(d.Teams, t)
			continue
		}
		d.DroppedTeams = append(d.DroppedTeams, name)
	}
	return d
}

func full(revision uint64) conf.Delta { return at(revision).FullDelta().WithCluster("c") }

func TestHolderRefusesLowerAndForeign(t *testing.T) {
	h := conf.NewHolder("c")
	require.ErrorIs(t, h.Apply(between(3, 4)), conf.ErrGap, "nothing is held yet")
	require.NoError(t, h.Apply(full(5)))
	require.ErrorIs(t, h.Apply(full(4)), conf.ErrStale)
	require.ErrorIs(t, h.Apply(between(2, 4)), conf.ErrStale)
	require.ErrorIs(t, h.Apply(between(6, 7)), conf.ErrGap)
	require.ErrorIs(t, h.Apply(at(9).FullDelta().WithCluster("other")), conf.ErrWrongCluster)
	require.EqualValues(t, 5, h.Revision())
	require.NoError(t, h.Apply(between(3, 7)), "a delta that overlaps is harmless")
	require.Equal(t, encode(t, at(7)), encode(t, h.Config()))
}

func TestHolderServesNothingBeforeItsFirstVouch(t *testing.T) {
	h := conf.NewHolder("c")
	require.False(t, h.Fresh(start))
	h.ExtendFreshness(start.Add(conf.MaxStaleness))
	require.False(t, h.Fresh(start), "there is nothing to vouch for")
	require.NoError(t, h.Apply(full(1)))
	require.False(t, h.Fresh(start))
	h.ExtendFreshness(start.Add(conf.MaxStaleness))
	require.True(t, h.Fresh(start))
	require.True(t, h.Fresh(start.Add(conf.MaxStaleness-1)))
	require.False(t, h.Fresh(start.Add(conf.MaxStaleness)))
}

func TestVouchNeverMovesBack(t *testing.T) {
	h := conf.NewHolder("c")
	require.NoError(t, h.Apply(full(1)))
	h.ExtendFreshness(start.Add(conf.MaxStaleness))
	h.ExtendFreshness(start.Add(time.Second))
	require.Equal(t, start.Add(conf.MaxStaleness), h.FreshUntil())
}

func TestVouchForAnOldRevisionDoesNotCount(t *testing.T) {
	h := conf.NewHolder("c")
	require.NoError(t, h.Apply(full(1)))
	h.ExtendFreshness(start.Add(conf.MaxStaleness))
	h.RecordRevision(2)
	require.True(t, h.Behind())
	h.ExtendFreshness(start.Add(2 * conf.MaxStaleness))
	require.Equal(t, start.Add(conf.MaxStaleness), h.FreshUntil(), "revision 2 exists, so 1 isn't current")
	require.NoError(t, h.Apply(between(1, 2)))
	require.False(t, h.Behind())
	h.ExtendFreshness(start.Add(2 * conf.MaxStaleness))
	require.True(t, h.Fresh(start.Add(conf.MaxStaleness)))
}

// TestRevisionNeverReverts sends deltas doubled, late and out of order, with
// restarts between, and checks that what is served never goes back.
func TestRevisionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := conf.NewHolder("c")
		now := start
		var current, held, served uint64 // of the log, of the holder, and acted upon
		current = 1
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(*rapid.T) { current++ },
			"deliver": func(t *rapid.T) {
				to := rapid.Uint64Range(1, current).Draw(t, "to")
				d := full(to)
				if rapid.Bool().Draw(t, "delta") {
					d = between(rapid.Uint64Range(0, to).Draw(t, "from"), to)
				}
				if h.Apply(d) == nil {
					held = max(held, to)
				}
			},
			"poll": func(t *rapid.T) {
				// The leader answers what is current as of the question; the
				// answer comes later, when more may have been committed.
				sent, asked := now, current
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
				h.ExtendFreshnessAt(asked, sent.Add(conf.MaxStaleness))
			},
			"wait":    func(*rapid.T) { now = now.Add(time.Second) },
			"restart": func(*rapid.T) { h, held = conf.NewHolder("c"), 0 },
			"": func(t *rapid.T) {
				require.Equal(t, held, h.Revision())
				if held > 0 {
					require.Equal(t, encode(t, at(held)), encode(t, h.Config()))
				}
				if h.Fresh(now) {
					require.GreaterOrEqual(t, h.Revision(), served, "what is served went back")
					served = h.Revision()
				}
			},
		})
	})
}

// TestRelayPassesChangesOn has a second process live off a holder alone.
func TestRelayPassesChangesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relay, down := conf.NewHolder("c"), conf.NewHolder("c")
		_, ok := relay.DeltaSince(0)
		require.False(t, ok)
		current := uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			from := relay.Revision()
			current = max(current, from) + rapid.Uint64Range(0, 3).Draw(t, "commits")
			d := between(from, current)
			if from == 0 || rapid.IntRange(0, 9).Draw(t, "full") == 0 {
				d = full(current)
			}
			require.NoError(t, relay.Apply(d))
			if rapid.Bool().Draw(t, "pass") {
				d, ok := relay.DeltaSince(down.Revision())
				require.True(t, ok)
				require.NoError(t, down.Apply(d))
				require.Equal(t, encode(t, at(current)), encode(t, down.Config()))
			}
		}
		ahead, _ := relay.DeltaSince(current + 1)
		require.True(t, ahead.Full)
	})
}

func TestRelayNamesOnlyWhatChanged(t *testing.T) {
	h := conf.NewHolder("c")
	require.NoError(t, h.Apply(full(3)))
	for n := uint64(4); n < 2000; n++ {
		c := conf.Config{}.WithTeam(model.Team{Name: fmt.Sprintf("n%d", n)}).WithRevision(n)
		require.NoError(t, h.Apply(c.DeltaSince(n-1, []string{fmt.Sprintf("n%d", n)}, nil).WithCluster("c")))
	}
	near, _ := h.DeltaSince(1990)
	require.False(t, near.Full)
	require.Len(t, near.Teams, 9)
	far, _ := h.DeltaSince(900)
	require.True(t, far.Full, "the trail is bounded")
	h.ExtendFreshness(start.Add(conf.MaxStaleness))
	require.Equal(t, time.Second, h.Remaining(start.Add(3*time.Second)))
	require.Zero(t, h.Remaining(start.Add(time.Minute)))
}

func encode(t require.TestingT, c conf.Config) string {
	b, err := json.Marshal(c)
	require.NoError(t, err)
	return string(b)
}

func TestConfigEncodesBothWays(t *testing.T) {
	c := at(7).WithService(model.Service{Name: "rota", LimitMs: 5})
	var got conf.Config
	require.NoError(t, json.Unmarshal([]byte(encode(t, c)), &got))
	require.Equal(t, encode(t, c), encode(t, got))
	s, ok := got.Service("rota")
	require.True(t, ok)
	require.Equal(t, 5, s.LimitMs)
	require.Empty(t, got.WithoutService("rota").Services())
	require.Error(t, json.Unmarshal([]byte(`{"teams":3}`), &got))
}

func ExampleHolder() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	h := conf.NewHolder("lniarnia")
	c := conf.Config{}.WithTeam(model.Team{Name: "linen"}).WithRevision(12)
	fmt.Println(h.Apply(c.FullDelta().WithCluster("lniarnia")), h.Fresh(now))
	h.ExtendFreshness(now.Add(conf.MaxStaleness))
	fmt.Println(h.Revision(), h.Fresh(now), h.Fresh(now.Add(conf.MaxStaleness)))
	// Output:
	// <nil> false
	// 12 true false
}
