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

func asJSON(t require.TestingT, c conf.Config) string {
	b, err := json.Marshal(c)
	require.NoError(t, err)
	return string(b)
}

// TestDeltasLeadToTheSameConfig checks that applying a delta to any revision gives
// the current configuration.
func TestDeltasLeadToTheSameConfig(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(t)
		past := []conf.Config{r.s.View().Config()}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			op := rapid.SampledFrom([]model.Op{
				setTeam("a", int(r.index)+1), setTeam("b", int(r.index)+1), setService("s", 1),
				{Kind: model.OpDropTeam, Name: "a"},
				{Kind: model.OpDropService, Name: "s"},
			}).Draw(t, "op")
			p := r.plan("ann", fmt.Sprint(r.index), op)
			if p.Err == nil && r.confirm("ann", p.Plan.ID).Err == nil {
				past = append(past, r.s.View().Config())
			}
		}
		v := r.s.View()
		for _, c := range past {
			d := v.Delta(c.Revision())
			require.Equal(t, c.Revision() == 0, d.Full)
			got, err := c.Apply(d)
			require.NoError(t, err)
			require.Equal(t, asJSON(t, v.Config()), asJSON(t, got))
		}
	})
}

func TestDeltaIsFullBeyondTheHistory(t *testing.T) {
	r := newRig(t)
	for range 5 {
		r.carry(setTeam("a", int(r.index)))
	}
	r.s.data.history.drop(1)
	r.s.data.history.drop(2)
	r.s.cachedView = nil
	v := r.s.View()
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
	r := ready(t)
	r.carry(setTeam("a", 1), model.Op{Kind: model.OpDrain, Scope: model.NearRack, Name: "r1"})
	r.carry(setTeam("a", 2), setTeam("b", 1))
	r.carry(model.Op{Kind: model.OpDropTeam, Name: "b"}, model.Op{Kind: model.OpUncordon, Scope: model.NearWorker, Name: "w04"})
	got, err := r.s.View().Diff(1, 4)
	require.NoError(t, err)
	var lines []string
	for _, c := range got {
		lines = append(lines, fmt.Sprintf("%s: %.9s > %.9s", c.What, c.Before, c.After))
	}
	require.Equal(t, []string{`team a:  > {"name":"`, "rack r1: 3 ready > 3 drainin", "worker w04: 1 drainin > 1 ready"}, lines)
	for _, bad := range [][2]uint64{{2, 1}, {0, 5}} {
		_, err = r.s.View().Diff(bad[0], bad[1])
		require.ErrorIs(t, err, ErrNotFound)
	}
}
