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

// configAt returns the configuration of the tests at a revision. Each revision n sets
// the weight of team "t<n mod 4>" to n, or drops the team if n is a multiple of 5.
func configAt(revision uint64) conf.Config {
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

// deltaBetween returns the delta between two revisions of the tests' configuration.
func deltaBetween(from, to uint64) conf.Delta {
	d := conf.Delta{Cluster: "c", From: from, Revision: to}
	for i := range uint64(4) {
		name := fmt.Sprintf("t%d", i)
		if t, ok := configAt(to).Team(name); ok {
			d.Teams = append(d.Teams, t)
			continue
		}
		d.DroppedTeams = append(d.DroppedTeams, name)
	}
	return d
}

func fullDelta(revision uint64) conf.Delta { return configAt(revision).FullDelta().WithCluster("c") }

func TestHolderRefusesLowerRevisionAndOtherCluster(t *testing.T) {
	h := conf.NewHolder("c")
	require.ErrorIs(t, h.Apply(deltaBetween(3, 4)), conf.ErrGap, "nothing is held yet")
	require.NoError(t, h.Apply(fullDelta(5)))
	require.ErrorIs(t, h.Apply(fullDelta(4)), conf.ErrStale)
	require.ErrorIs(t, h.Apply(deltaBetween(2, 4)), conf.ErrStale)
	require.ErrorIs(t, h.Apply(deltaBetween(6, 7)), conf.ErrGap)
	require.ErrorIs(t, h.Apply(configAt(9).FullDelta().WithCluster("other")), conf.ErrWrongCluster)
	require.EqualValues(t, 5, h.Revision())
	require.NoError(t, h.Apply(deltaBetween(3, 7)), "a delta may begin below the revision held")
	require.Equal(t, encode(t, configAt(7)), encode(t, h.Config()))
}

func TestHolderIsNotFreshBeforeFirstConfirmation(t *testing.T) {
	h := conf.NewHolder("c")
	require.False(t, h.Fresh(start))
	h.ExtendFreshness(start.Add(conf.MaxStaleness))
	require.False(t, h.Fresh(start), "no configuration is held")
	require.NoError(t, h.Apply(fullDelta(1)))
	require.False(t, h.Fresh(start))
	h.ExtendFreshness(start.Add(conf.MaxStaleness))
	require.True(t, h.Fresh(start))
	require.True(t, h.Fresh(start.Add(conf.MaxStaleness-1)))
	require.False(t, h.Fresh(start.Add(conf.MaxStaleness)))
}

func TestDeadlineNeverMovesBack(t *testing.T) {
	h := conf.NewHolder("c")
	require.NoError(t, h.Apply(fullDelta(1)))
	h.ExtendFreshness(start.Add(conf.MaxStaleness))
	h.ExtendFreshness(start.Add(time.Second))
	require.Equal(t, start.Add(conf.MaxStaleness), h.FreshUntil())
}

func TestOldRevisionIsNotConfirmed(t *testing.T) {
	h := conf.NewHolder("c")
	require.NoError(t, h.Apply(fullDelta(1)))
	h.ExtendFreshness(start.Add(conf.MaxStaleness))
	h.RecordRevision(2)
	require.True(t, h.Behind())
	h.ExtendFreshness(start.Add(2 * conf.MaxStaleness))
	require.Equal(t, start.Add(conf.MaxStaleness), h.FreshUntil(), "revision 2 exists, so 1 isn't current")
	require.NoError(t, h.Apply(deltaBetween(1, 2)))
	require.False(t, h.Behind())
	h.ExtendFreshness(start.Add(2 * conf.MaxStaleness))
	require.True(t, h.Fresh(start.Add(conf.MaxStaleness)))
}

// TestRevisionNeverDecreases delivers deltas repeatedly, late and out of order, with
// restarts in between, and checks that the revision in use never decreases.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := conf.NewHolder("c")
		now := start
		var current, held, served uint64 // revision of the log, of the holder, and last in use
		current = 1
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(*rapid.T) { current++ },
			"deliver": func(t *rapid.T) {
				to := rapid.Uint64Range(1, current).Draw(t, "to")
				d := fullDelta(to)
				if rapid.Bool().Draw(t, "delta") {
					d = deltaBetween(rapid.Uint64Range(0, to).Draw(t, "from"), to)
				}
				if h.Apply(d) == nil {
					held = max(held, to)
				}
			},
			"poll": func(t *rapid.T) {
				// The leader answers with the revision that is current when the
				// request is sent. More revisions may be committed until the
				// answer arrives.
				sentAt, confirmed := now, current
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
				h.ExtendFreshnessAt(confirmed, sentAt.Add(conf.MaxStaleness))
			},
			"wait":    func(*rapid.T) { now = now.Add(time.Second) },
			"restart": func(*rapid.T) { h, held = conf.NewHolder("c"), 0 },
			"": func(t *rapid.T) {
				require.Equal(t, held, h.Revision())
				if held > 0 {
					require.Equal(t, encode(t, configAt(held)), encode(t, h.Config()))
				}
				if h.Fresh(now) {
					require.GreaterOrEqual(t, h.Revision(), served, "the revision in use decreased")
					served = h.Revision()
				}
			},
		})
	})
}

// TestRelaySendsChanges checks that a process that gets its deltas from another
// process's holder has the same configuration.
func TestRelaySendsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relay, downstream := conf.NewHolder("c"), conf.NewHolder("c")
		_, ok := relay.DeltaSince(0)
		require.False(t, ok)
		current := uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			from := relay.Revision()
			current = max(current, from) + rapid.Uint64Range(0, 3).Draw(t, "commits")
			d := deltaBetween(from, current)
			if from == 0 || rapid.IntRange(0, 9).Draw(t, "full") == 0 {
				d = fullDelta(current)
			}
			require.NoError(t, relay.Apply(d))
			if rapid.Bool().Draw(t, "pass") {
				d, ok := relay.DeltaSince(downstream.Revision())
				require.True(t, ok)
				require.NoError(t, downstream.Apply(d))
				require.Equal(t, encode(t, configAt(current)), encode(t, downstream.Config()))
			}
		}
		tooHigh, _ := relay.DeltaSince(current + 1)
		require.True(t, tooHigh.Full)
	})
}

func TestRelayDeltaHoldsOnlyChanges(t *testing.T) {
	h := conf.NewHolder("c")
	require.NoError(t, h.Apply(fullDelta(3)))
	for n := uint64(4); n < 2000; n++ {
		c := conf.Config{}.WithTeam(model.Team{Name: fmt.Sprintf("n%d", n)}).WithRevision(n)
		require.NoError(t, h.Apply(c.DeltaSince(n-1, []string{fmt.Sprintf("n%d", n)}, nil).WithCluster("c")))
	}
	recent, _ := h.DeltaSince(1990)
	require.False(t, recent.Full)
	require.Len(t, recent.Teams, 9)
	old, _ := h.DeltaSince(900)
	require.True(t, old.Full, "the history is bounded")
	h.ExtendFreshness(start.Add(conf.MaxStaleness))
	require.Equal(t, time.Second, h.Remaining(start.Add(3*time.Second)))
	require.Zero(t, h.Remaining(start.Add(time.Minute)))
}

func encode(t require.TestingT, c conf.Config) string {
	b, err := json.Marshal(c)
	require.NoError(t, err)
	return string(b)
}

func TestConfigJSONRoundTrip(t *testing.T) {
	c := configAt(7).WithService(model.Service{Name: "rota", LimitMs: 5})
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
