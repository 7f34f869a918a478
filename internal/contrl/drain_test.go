package contrl

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/replog"
)

const patience = 20 * time.Second // for what takes a second on a free machine

type wall struct{}

func (wall) Now() time.Time { return time.Now() }

func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// startControls runs control processes that form one cluster, until the test ends.
func startControls(t *testing.T, names ...string) []*Control {
	t.Helper()
	peers := map[string]string{}
	for _, name := range names {
		peers[name] = freeAddr(t)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	var all []*Control
	for _, name := range names {
		env := &kern.Env{
			Node: kern.Node{Cluster: "test", Name: name, Domain: "d", Region: "r"},
			Log:  zap.NewNop(), Metrics: tally.NoopScope, Clock: wall{}, Boot: kern.BootClock{},
			Keys: kern.Keys{Self: kern.DeriveKey(nil, name), Role: map[string][]byte{RoleName: nil}},
		}
		c, err := New(env, &Settings{Listen: peers[name], Data: t.TempDir(), Peers: peers, Voters: names})
		require.NoError(t, err)
		g.Go(func() error { return c.Run(ctx) })
		all = append(all, c)
	}
	return all
}

// awaitLead returns the process that leads.
func awaitLead(t *testing.T, all []*Control) *Control {
	t.Helper()
	var found *Control
	require.Eventually(t, func() bool {
		for _, c := range all {
			if c.leading() != nil && c.node.Status().Role == replog.Leader {
				found = c
			}
		}
		return found != nil
	}, patience, 10*time.Millisecond)
	return found
}

// TestDrainHandsTheLeadOver guards against a planned stop that leaves the
// others without a leader until they notice the silence.
func TestDrainHandsTheLeadOver(t *testing.T) {
	all := startControls(t, "c1", "c2", "c3")
	old := awaitLead(t, all)
	term := old.node.Status().Term
	began := time.Now()
	require.NoError(t, old.Drain(t.Context()))
	t.Logf("drained within %s", time.Since(began))
	st := old.node.Status()
	require.NotEqual(t, replog.Leader, st.Role)
	require.Greater(t, st.Term, term)
	require.NotEmpty(t, st.Leader, "drained before another one leads")
}
