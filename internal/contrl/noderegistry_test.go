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

func (c *testClock) advance(d time.Duration) { c.now = c.now.Add(d) }

const testWorker = "w1"

func answerAgent(n *nodeRegistry) {
	n.recordAnswer(wire.Peer{Role: "agent", Name: "a1"}, &wire.SyncRequest{Worker: testWorker})
}

func newTestRegistry(peers ...string) (*nodeRegistry, *testClock) {
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	n := newNodeRegistry(clock)
	n.beginTerm(peers)
	return n, clock
}

// TestLeasesExpired checks when the leader may assume that a worker's leases have
// expired.
func TestLeasesExpired(t *testing.T) {
	t.Run("silent agent", func(t *testing.T) {
		n, clock := newTestRegistry()
		answerAgent(n)
		clock.advance(poll.LeaseTerm)
		require.False(t, n.leasesExpired(testWorker))
		clock.advance(leaseMargin + time.Millisecond)
		require.True(t, n.leasesExpired(testWorker))
		answerAgent(n)
		require.False(t, n.leasesExpired(testWorker))
	})
	t.Run("new leader counts from the start of its term", func(t *testing.T) {
		n, clock := newTestRegistry()
		clock.advance(poll.LeaseTerm)
		require.False(t, n.leasesExpired(testWorker))
	})
	t.Run("another control process may have answered", func(t *testing.T) {
		n, clock := newTestRegistry("c2")
		answerAgent(n)
		clock.advance(5 * time.Second)
		n.recordReport("c2", 1, nil)
		clock.advance(poll.LeaseTerm - time.Second)
		require.False(t, n.leasesExpired(testWorker), "c2 is unreachable and may have renewed the lease at the time of its last report")
		clock.advance(leaseMargin + time.Second + time.Millisecond)
		require.True(t, n.leasesExpired(testWorker))
	})
	t.Run("another control process reports that it no longer serves the agent", func(t *testing.T) {
		n, clock := newTestRegistry("c2")
		answerAgent(n)
		clock.advance(poll.LeaseTerm + leaseMargin + time.Millisecond)
		n.recordReport("c2", 1, nil)
		require.True(t, n.leasesExpired(testWorker))
	})
	t.Run("another control process serves the agent", func(t *testing.T) {
		n, clock := newTestRegistry("c2")
		clock.advance(time.Hour)
		n.recordReport("c2", 1, []*wire.Node{{Role: "agent", Name: "a1", Worker: testWorker, Agoms: 400}})
		require.False(t, n.leasesExpired(testWorker))
	})
}

// TestLeaseMarginCoversReportAge checks the inequalities that keep a lease from
// being counted as expired if it was renewed after the last report.
func TestLeaseMarginCoversReportAge(t *testing.T) {
	require.GreaterOrEqual(t, leaseMargin, maxReportAge)
	require.Greater(t, maxReportAge, 2*reportInterval)
}

// TestAllowRoles checks that calls of roles that aren't listed are refused.
func TestAllowRoles(t *testing.T) {
	f := allowRoles(func(context.Context, wire.Peer, *wire.ApiRequest) (*wire.ApiReply, error) {
		return &wire.ApiReply{}, nil
	}, "entry")
	for role, ok := range map[string]bool{"entry": true, "control": true, "agent": false, "": false} {
		_, err := f(context.Background(), wire.Peer{Role: role}, nil)
		require.Equal(t, ok, err == nil, role)
	}
}
