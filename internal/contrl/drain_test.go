package contrl

import (
	"context"
	"net"
	"sync"
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

// group is control processes that form one cluster.
type group struct {
	t     *testing.T
	names []string
	peers map[string]string
	data  map[string]string
	all   map[string]*Control
	stops map[string]func()
}

// startControls runs control processes until the test ends.
func startControls(t *testing.T, names ...string) *group {
	t.Helper()
	g := &group{t: t, names: names, peers: map[string]string{}, data: map[string]string{}, all: map[string]*Control{}, stops: map[string]func(){}}
	for _, name := range names {
		g.peers[name], g.data[name] = freeAddr(t), t.TempDir()
	}
	for _, name := range names {
		g.start(name)
	}
	return g
}

func (g *group) start(name string) {
	g.t.Helper()
	env := &kern.Env{
		Node: kern.Node{Cluster: "test", Name: name, Domain: "d", Region: "r"},
		Log:  zap.NewNop(), Metrics: tally.NoopScope, Clock: wall{}, BootClock: kern.BootClock{},
		Keys: kern.Keys{Self: kern.DeriveKey(nil, name), Role: map[string][]byte{RoleName: nil}},
	}
	c, err := New(env, &Settings{Listen: g.peers[name], Data: g.data[name], Peers: g.peers, Voters: g.names})
	require.NoError(g.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var run errgroup.Group
	run.Go(func() error { return c.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		require.NoError(g.t, run.Wait())
	})
	g.all[name], g.stops[name] = c, stop
	g.t.Cleanup(stop)
}

// awaitLead returns the process that leads.
func (g *group) awaitLead() *Control {
	g.t.Helper()
	var found *Control
	require.Eventually(g.t, func() bool {
		for _, c := range g.all {
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
	old := startControls(t, "c1", "c2", "c3").awaitLead()
	term := old.node.Status().Term
	began := time.Now()
	require.NoError(t, old.Drain(t.Context()))
	t.Logf("drained within %s", time.Since(began))
	st := old.node.Status()
	require.NotEqual(t, replog.Leader, st.Role)
	require.Greater(t, st.Term, term)
	require.NotEmpty(t, st.Leader, "drained before another one leads")
}

// TestDrainWaitsForTheRestartedOne guards against a rolling restart that takes
// two of three control processes away at once.
func TestDrainWaitsForTheRestartedOne(t *testing.T) {
	g := startControls(t, "c1", "c2", "c3")
	out := g.awaitLead().name
	c := g.all["c1"]
	if out == "c1" {
		c = g.all["c2"]
	}
	g.stops[out]()
	require.Eventually(t, c.needed, patience, 10*time.Millisecond)
	short, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	require.NoError(t, c.Drain(short))
	require.ErrorIs(t, short.Err(), context.DeadlineExceeded, "drained while another one was out")
	g.start(out)
	require.NoError(t, c.Drain(t.Context()))
	require.False(t, c.needed())
}
