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

const eventTimeout = 20 * time.Second // what is awaited takes about 1 s on an idle machine

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// testCluster is a cluster of control processes.
type testCluster struct {
	t         *testing.T
	names     []string
	addrs     map[string]string
	dataDirs  map[string]string
	processes map[string]*Control
	stops     map[string]func()
}

// startCluster starts control processes that run until the test ends.
func startCluster(t *testing.T, names ...string) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, names: names, addrs: map[string]string{}, dataDirs: map[string]string{}, processes: map[string]*Control{}, stops: map[string]func(){}}
	for _, name := range names {
		tc.addrs[name], tc.dataDirs[name] = freeAddr(t), t.TempDir()
	}
	for _, name := range names {
		tc.start(name)
	}
	return tc
}

func (tc *testCluster) start(name string) {
	tc.t.Helper()
	env := &kern.Env{
		Node: kern.Node{Cluster: "test", Name: name, Domain: "d", Region: "r"},
		Log:  zap.NewNop(), Metrics: tally.NoopScope, Clock: wallClock{}, BootClock: kern.BootClock{},
		Keys: kern.Keys{Self: kern.DeriveKey(nil, name), Role: map[string][]byte{RoleName: nil}},
	}
	c, err := New(env, &Settings{Listen: tc.addrs[name], Data: tc.dataDirs[name], Peers: tc.addrs, Voters: tc.names})
	require.NoError(tc.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var run errgroup.Group
	run.Go(func() error { return c.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		require.NoError(tc.t, run.Wait())
	})
	tc.processes[name], tc.stops[name] = c, stop
	tc.t.Cleanup(stop)
}

// awaitLeader waits for a leader and returns it.
func (tc *testCluster) awaitLeader() *Control {
	tc.t.Helper()
	var leader *Control
	require.Eventually(tc.t, func() bool {
		for _, c := range tc.processes {
			if c.activeLeader() != nil && c.node.Status().Role == replog.Leader {
				leader = c
			}
		}
		return leader != nil
	}, eventTimeout, 10*time.Millisecond)
	return leader
}

// TestDrainHandsOverLeadership guards against a planned stop of the leader after
// which the others have no leader until their election timeout.
func TestDrainHandsOverLeadership(t *testing.T) {
	former := startCluster(t, "c1", "c2", "c3").awaitLeader()
	term := former.node.Status().Term
	start := time.Now()
	require.NoError(t, former.Drain(t.Context()))
	t.Logf("drained within %s", time.Since(start))
	st := former.node.Status()
	require.NotEqual(t, replog.Leader, st.Role)
	require.Greater(t, st.Term, term)
	require.NotEmpty(t, st.Leader, "drained before another process was the leader")
}

// TestDrainWaitsForRestartedProcess guards against a rolling restart in which two
// of three control processes are stopped at the same time.
func TestDrainWaitsForRestartedProcess(t *testing.T) {
	tc := startCluster(t, "c1", "c2", "c3")
	stopped := tc.awaitLeader().name
	c := tc.processes["c1"]
	if stopped == "c1" {
		c = tc.processes["c2"]
	}
	tc.stops[stopped]()
	require.Eventually(t, c.neededForQuorum, eventTimeout, 10*time.Millisecond)
	shortCtx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	require.NoError(t, c.Drain(shortCtx))
	require.ErrorIs(t, shortCtx.Err(), context.DeadlineExceeded, "drained while another process was stopped")
	tc.start(stopped)
	require.NoError(t, c.Drain(t.Context()))
	require.False(t, c.neededForQuorum())
}
