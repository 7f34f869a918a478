package contrl

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func (c *testClock) pass(d time.Duration) { c.now = c.now.Add(d) }

const worker = "w1"

func answered(n *nodes) {
	n.answered(wire.Peer{Role: "agent", Name: "a1"}, &wire.SyncRequest{Worker: worker})
}

func newTestNodes(peers ...string) (*nodes, *testClock) {
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	n := newNodes(clock)
	n.lead(peers)
	return n, clock
}

// TestLapsed checks when the leader may assume that a worker's leases have expired.
func TestLapsed(t *testing.T) {
	t.Run("silent agent", func(t *testing.T) {
		n, clock := newTestNodes()
		answered(n)
		clock.pass(poll.LeaseTerm)
		require.False(t, n.lapsed(worker))
		clock.pass(leaseMargin + time.Millisecond)
		require.True(t, n.lapsed(worker))
		answered(n)
		require.False(t, n.lapsed(worker))
	})
	t.Run("new leader counts from the start of its term", func(t *testing.T) {
		n, clock := newTestNodes()
		clock.pass(poll.LeaseTerm)
		require.False(t, n.lapsed(worker))
	})
	t.Run("another control process may have answered", func(t *testing.T) {
		n, clock := newTestNodes("c2")
		answered(n)
		clock.pass(5 * time.Second)
		n.heardFrom("c2", 1, nil)
		clock.pass(poll.LeaseTerm - time.Second)
		require.False(t, n.lapsed(worker), "c2 is unreachable and may have renewed the lease at the time of its last report")
		clock.pass(leaseMargin + time.Second + time.Millisecond)
		require.True(t, n.lapsed(worker))
	})
	t.Run("another control process reports that it no longer serves the agent", func(t *testing.T) {
		n, clock := newTestNodes("c2")
		answered(n)
		clock.pass(poll.LeaseTerm + leaseMargin + time.Millisecond)
		n.heardFrom("c2", 1, nil)
		require.True(t, n.lapsed(worker))
	})
	t.Run("another control process serves the agent", func(t *testing.T) {
		n, clock := newTestNodes("c2")
		clock.pass(time.Hour)
		n.heardFrom("c2", 1, []*wire.Node{{Role: "agent", Name: "a1", Worker: worker, Agoms: 400}})
		require.False(t, n.lapsed(worker))
	})
}

// TestMarginCoversReports checks the inequalities that keep a lease from being
// counted as expired if it was renewed after the last report.
func TestMarginCoversReports(t *testing.T) {
	require.GreaterOrEqual(t, leaseMargin, reportFresh)
	require.Greater(t, reportFresh, 2*reportInterval)
}

// TestAllow checks that calls of roles that aren't listed are refused.
func TestAllow(t *testing.T) {
	f := allow(func(context.Context, wire.Peer, *wire.ApiRequest) (*wire.ApiReply, error) {
		return &wire.ApiReply{}, nil
	}, "entry")
	for role, ok := range map[string]bool{"entry": true, "control": true, "agent": false, "": false} {
		_, err := f(context.Background(), wire.Peer{Role: role}, nil)
		require.Equal(t, ok, err == nil, role)
	}
}
