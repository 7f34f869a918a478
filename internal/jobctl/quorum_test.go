package jobctl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/replog"
)

type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

func TestQuorumMonitorLogsSilentVoters(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	clock := &manualClock{start}
	core, logs := observer.New(zapcore.InfoLevel)
	q := newQuorumMonitor(&kern.Env{BootClock: clock, Log: zap.New(core)}, newMetrics(tally.NoopScope))
	leaderless := replog.Status{
		Incarnation: "a-1", Members: []replog.Member{{Name: "a", Incarnation: "a-1", Role: replog.Voter}},
		Voters: []replog.VoterContact{{Name: "a", Incarnation: "a-1", LastHeard: start.Add(time.Hour)}, {Name: "b", Incarnation: "b-1"}, {Name: "c", Incarnation: "c-1"}},
	}
	for elapsed := time.Duration(0); elapsed <= 8*time.Second; elapsed += quorumInterval {
		clock.now = start.Add(elapsed)
		q.observe(leaderless, false)
	}
	lines := logs.FilterMessage("no leader").All()
	require.Len(t, lines, 2, "one warning after 2 s and one 5 s later")
	require.Equal(t, []any{"b/b-1", "c/c-1"}, lines[0].ContextMap()["silent"])
	require.EqualValues(t, 1, lines[0].ContextMap()["reached"])
	require.EqualValues(t, 2, lines[0].ContextMap()["quorum"])
	withLeader := leaderless
	withLeader.Leader = "b"
	q.observe(withLeader, false)
	require.Len(t, logs.FilterMessage("leader known again").All(), 1)
}

func TestNonMemberWithLeaderLogsNoWarning(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	clock := &manualClock{start}
	core, logs := observer.New(zapcore.InfoLevel)
	q := newQuorumMonitor(&kern.Env{BootClock: clock, Log: zap.New(core)}, newMetrics(tally.NoopScope))
	for elapsed := time.Duration(0); elapsed <= 20*time.Second; elapsed += quorumInterval {
		clock.now = start.Add(elapsed)
		q.observe(replog.Status{Incarnation: "s-1", Role: replog.Waiting}, true)
	}
	require.Zero(t, logs.Len())
}
