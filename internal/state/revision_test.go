package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func mustJSON(t require.TestingT, c conf.Config) string {
	b, err := json.Marshal(c)
	require.NoError(t, err)
	return string(b)
}

// TestDeltasReachCurrentConfig checks that applying a delta to any revision gives
// the current configuration.
func TestDeltasReachCurrentConfig(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		configs := []conf.Config{h.state.View().Config()}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			op := rapid.SampledFrom([]model.Op{
				setTeam("a", int(h.index)+1), setTeam("b", int(h.index)+1), setService("s", 1),
				{Kind: model.OpDropTeam, Name: "a"},
				{Kind: model.OpDropService, Name: "s"},
			}).Draw(t, "op")
			p := h.plan("ann", fmt.Sprint(h.index), op)
			if p.Err == nil && h.confirm("ann", p.Plan.ID).Err == nil {
				configs = append(configs, h.state.View().Config())
			}
		}
		v := h.state.View()
		for _, c := range configs {
			d := v.Delta(c.Revision())
			require.Equal(t, c.Revision() == 0, d.Full)
			got, err := c.Apply(d)
			require.NoError(t, err)
			require.Equal(t, mustJSON(t, v.Config()), mustJSON(t, got))
		}
	})
}

func TestDeltaIsFullBeyondHistory(t *testing.T) {
	h := newHarness(t)
	for range 5 {
		h.mustConfirm(setTeam("a", int(h.index)))
	}
	h.state.data.history.drop(1)
	h.state.data.history.drop(2)
	h.state.cachedView = nil
	v := h.state.View()
	require.True(t, v.Delta(1).Full)
	require.False(t, v.Delta(2).Full)
	require.False(t, v.Delta(5).Full)
	require.Empty(t, v.Delta(5).Teams)
	require.True(t, v.Delta(99).Full, "a revision that doesn't exist")
	n := 0
	for rev := range v.History(4) {
		require.GreaterOrEqual(t, rev.Number, uint64(4))
		require.Equal(t, "setup", rev.Operator)
		require.Equal(t, []string{"a"}, rev.Teams)
		n++
	}
	require.Equal(t, 2, n)
}

func TestHistoryIsBounded(t *testing.T) {
	d := newData()
	for range maxRevisions + 3 {
		d.addRevision(Revision{Teams: []string{"a"}}, d.config)
	}
	require.Equal(t, maxRevisions, d.history.size())
	oldest, _, _ := d.history.first()
	require.EqualValues(t, 4, oldest)
}

func TestDiffBetweenRevisions(t *testing.T) {
	h := newReadyHarness(t)
	h.mustConfirm(setTeam("a", 1), model.Op{Kind: model.OpDrain, Scope: model.ProximityRack, Name: "r1"})
	h.mustConfirm(setTeam("a", 2), setTeam("b", 1))
	h.mustConfirm(model.Op{Kind: model.OpDropTeam, Name: "b"}, model.Op{Kind: model.OpUncordon, Scope: model.ProximityWorker, Name: "w04"})
	got, err := h.state.View().Diff(1, 4)
	require.NoError(t, err)
	var lines []string
	for _, c := range got {
		lines = append(lines, fmt.Sprintf("%s: %.9s > %.9s", c.Subject, c.Before, c.After))
	}
	require.Equal(t, []string{`team a:  > {"name":"`, "rack r1: 3 ready > 3 drainin", "worker w04: 1 drainin > 1 ready"}, lines)
	for _, bad := range [][2]uint64{{2, 1}, {0, 5}} {
		_, err = h.state.View().Diff(bad[0], bad[1])
		require.ErrorIs(t, err, ErrNotFound)
	}
}
