package seek_test

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/seek"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

func testIdentity(role, name string) wire.Identity {
	return wire.NewIdentity(kern.Node{Cluster: "c", Name: name}, role, kern.Keys{
		Self: kern.DeriveKey(nil, name), Role: map[string][]byte{"control": nil, "entry": nil},
	}, name+"-1")
}

// startControl starts a control process that answers with the result of answer, and returns
// its address.
func startControl(t *testing.T, answer func() *wire.LeaderReply) string {
	t.Helper()
	return startControlUntil(context.Background(), t, answer)
}

// startControlUntil does the same, but the process ends when ctx is done.
func startControlUntil(ctx context.Context, t *testing.T, answer func() *wire.LeaderReply) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := wire.NewMux(zap.NewNop())
	wire.HandleCall(mux, wire.MethodLeader, func(context.Context, wire.Peer, *wire.LeaderRequest) (*wire.LeaderReply, error) {
		return answer(), nil
	})
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error {
		return wire.NewServer(testIdentity("control", "c"), mux, zap.NewNop(), nil).Serve(ctx, ln)
	})
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return ln.Addr().String()
}

// startFrozen starts a listener that never answers a connection.
func startFrozen(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func runFinder(t *testing.T, f *seek.Finder) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
}

func TestLeaderIsFoundThroughOthers(t *testing.T) {
	leader := startControl(t, func() *wire.LeaderReply { return &wire.LeaderReply{Leading: true} })
	other := startControl(t, func() *wire.LeaderReply { return &wire.LeaderReply{Leader: leader, Members: []string{leader}} })
	f := seek.New(testIdentity("entry", "e"), []string{"127.0.0.1:1", other}, zap.NewNop(), nil)
	runFinder(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := f.Session(ctx)
	require.NoError(t, err)
	require.Contains(t, f.KnownAddrs(), leader)
}

// A frozen leader still takes connections but doesn't answer. The search for its
// successor must not wait for it.
func TestFrozenControlProcessDoesNotDelayTheSearch(t *testing.T) {
	dead := startFrozen(t)
	leader := startControl(t, func() *wire.LeaderReply { return &wire.LeaderReply{Leading: true} })
	// Others still name the frozen one as the leader.
	other := startControl(t, func() *wire.LeaderReply { return &wire.LeaderReply{Leader: dead, Members: []string{dead, leader}} })
	for range 5 {
		f := seek.New(testIdentity("entry", "e"), []string{other, dead, leader}, zap.NewNop(), nil)
		runFinder(t, f)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		_, err := f.Session(ctx)
		cancel()
		require.NoError(t, err, "calls of users time out after 3 s, so the leader must be found sooner")
	}
}

func TestSessionReturnsAnErrorWithoutALeader(t *testing.T) {
	f := seek.New(testIdentity("entry", "e"), []string{startFrozen(t)}, zap.NewNop(), nil)
	runFinder(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := f.Session(ctx)
	require.ErrorIs(t, err, seek.ErrNoLeader)
}

func TestReplicasThatJoinAreKnownWhenTheLeaderIsLost(t *testing.T) {
	var members atomic.Pointer[[]string]
	next := startControl(t, func() *wire.LeaderReply { return &wire.LeaderReply{Leading: true} })
	ctx, fail := context.WithCancel(context.Background())
	defer fail()
	first := startControlUntil(ctx, t, func() *wire.LeaderReply {
		return &wire.LeaderReply{Leading: true, Members: *members.Load(), Index: uint64(len(*members.Load()))}
	})
	members.Store(&[]string{first})
	f := seek.New(testIdentity("entry", "e"), []string{first}, zap.NewNop(), nil).WithRefreshInterval(20 * time.Millisecond)
	runFinder(t, f)
	_, err := f.Session(t.Context())
	require.NoError(t, err)
	members.Store(&[]string{first, next})
	require.Eventually(t, func() bool { return slices.Contains(f.KnownAddrs(), next) }, 20*time.Second, time.Millisecond)
	fail()
	require.Eventually(t, func() bool { return f.LeaderAddr() == next && f.HasSession() }, 20*time.Second, time.Millisecond)
}

// A leader that is far away, or whose host is slow, may need longer to answer than the
// short timeout of a candidate that recently didn't answer.
func TestSlowLeaderIsFoundAfterItWasSuspected(t *testing.T) {
	var asked atomic.Int64
	leader := startControl(t, func() *wire.LeaderReply {
		delay := 200 * time.Millisecond // between the two timeouts
		if asked.Add(1) == 1 {
			delay = 500 * time.Millisecond
		}
		<-time.After(delay)
		return &wire.LeaderReply{Leading: true}
	})
	f := seek.New(testIdentity("entry", "e"), []string{leader}, zap.NewNop(), nil)
	runFinder(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := f.Session(ctx)
	require.NoError(t, err)
	require.Greater(t, asked.Load(), int64(1))
}

// The log entry that set a membership may be truncated again, or be of an earlier
// cluster, so a higher index isn't always newer. The list from the leader wins.
func TestLeaderReplacesReplicasWithAHigherIndex(t *testing.T) {
	var leader string
	leader = startControl(t, func() *wire.LeaderReply {
		return &wire.LeaderReply{Leading: true, Members: []string{leader}, Index: 3}
	})
	f := seek.New(testIdentity("entry", "e"), []string{leader}, zap.NewNop(), nil)
	f.LearnReplicas(seek.Replicas{Addrs: []string{"127.0.0.1:1"}, Index: 500})
	runFinder(t, f)
	_, err := f.Session(t.Context())
	require.NoError(t, err)
	require.Equal(t, seek.Replicas{Addrs: []string{leader}, Index: 3}, f.Replicas())
}

func TestReplicasOfTheSameIndexAreKept(t *testing.T) {
	f := seek.New(testIdentity("entry", "e"), nil, zap.NewNop(), nil)
	first := seek.Replicas{Addrs: []string{"127.0.0.1:1"}, Index: 5}
	f.LearnReplicas(first)
	f.LearnReplicas(seek.Replicas{Addrs: []string{"127.0.0.1:2"}, Index: 5})
	require.Equal(t, first, f.Replicas())
	next := seek.Replicas{Addrs: []string{"127.0.0.1:2"}, Index: 6}
	f.LearnReplicas(next)
	require.Equal(t, next, f.Replicas())
}

// After an election all agents find the leader at about the same time. Their calls
// for the list of replicas must not arrive together.
func TestFindersSpreadTheirCalls(t *testing.T) {
	const finders, refresh = 40, 2 * time.Second
	asked := make(chan time.Time, 100*finders)
	leader := startControl(t, func() *wire.LeaderReply {
		asked <- time.Now()
		return &wire.LeaderReply{Leading: true}
	})
	for range finders {
		runFinder(t, seek.New(testIdentity("entry", "e"), []string{leader}, zap.NewNop(), nil).WithRefreshInterval(refresh))
	}
	for range finders {
		<-asked // the question who leads
	}
	first := <-asked
	last := first
	for range finders - 1 {
		last = <-asked
	}
	require.Greater(t, last.Sub(first), refresh/4)
}
