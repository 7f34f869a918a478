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

func ident(role, name string) wire.Identity {
	return wire.NewIdentity(kern.Node{Cluster: "c", Name: name}, role, kern.Keys{
		Self: kern.DeriveKey(nil, name), Role: map[string][]byte{"control": nil, "entry": nil},
	}, name+"-1")
}

// control starts a control process that answers who leads.
func control(t *testing.T, answer func() *wire.LeaderReply) string {
	t.Helper()
	return controlUntil(context.Background(), t, answer)
}

// controlUntil does the same until ctx is done.
func controlUntil(ctx context.Context, t *testing.T, answer func() *wire.LeaderReply) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := wire.NewMux(zap.NewNop())
	wire.HandleCall(mux, wire.MethodLeader, func(context.Context, wire.Peer, *wire.LeaderRequest) (*wire.LeaderReply, error) {
		return answer(), nil
	})
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error { return wire.NewServer(ident("control", "c"), mux, zap.NewNop(), nil).Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return ln.Addr().String()
}

// frozen starts a listener that takes connections and says nothing.
func frozen(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func run(t *testing.T, f *seek.Finder) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
}

func TestLeaderIsFoundThroughOthers(t *testing.T) {
	leader := control(t, func() *wire.LeaderReply { return &wire.LeaderReply{Leading: true} })
	other := control(t, func() *wire.LeaderReply { return &wire.LeaderReply{Leader: leader, Members: []string{leader}} })
	f := seek.New(ident("entry", "e"), []string{"127.0.0.1:1", other}, zap.NewNop(), nil)
	run(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := f.Session(ctx)
	require.NoError(t, err)
	require.Contains(t, f.KnownAddrs(), leader)
}

// A leader that is frozen takes connections and answers nothing. Whoever looks
// for its successor must not wait for it.
func TestFrozenControlProcessDoesNotDelayTheSearch(t *testing.T) {
	dead := frozen(t)
	leader := control(t, func() *wire.LeaderReply { return &wire.LeaderReply{Leading: true} })
	// Others still believe in the frozen one.
	other := control(t, func() *wire.LeaderReply { return &wire.LeaderReply{Leader: dead, Members: []string{dead, leader}} })
	for range 5 {
		f := seek.New(ident("entry", "e"), []string{other, dead, leader}, zap.NewNop(), nil)
		run(t, f)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		_, err := f.Session(ctx)
		cancel()
		require.NoError(t, err, "the users' calls wait for three seconds at most")
	}
}

func TestSessionReturnsAnErrorWithoutALeader(t *testing.T) {
	f := seek.New(ident("entry", "e"), []string{frozen(t)}, zap.NewNop(), nil)
	run(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := f.Session(ctx)
	require.ErrorIs(t, err, seek.ErrNoLeader)
}

func TestReplicasThatJoinAreKnownWhenTheLeaderIsLost(t *testing.T) {
	var members atomic.Pointer[[]string]
	next := control(t, func() *wire.LeaderReply { return &wire.LeaderReply{Leading: true} })
	ctx, fail := context.WithCancel(context.Background())
	defer fail()
	first := controlUntil(ctx, t, func() *wire.LeaderReply {
		return &wire.LeaderReply{Leading: true, Members: *members.Load(), Index: uint64(len(*members.Load()))}
	})
	members.Store(&[]string{first})
	f := seek.New(ident("entry", "e"), []string{first}, zap.NewNop(), nil).WithRefreshInterval(20 * time.Millisecond)
	run(t, f)
	_, err := f.Session(t.Context())
	require.NoError(t, err)
	members.Store(&[]string{first, next})
	require.Eventually(t, func() bool { return slices.Contains(f.KnownAddrs(), next) }, 20*time.Second, time.Millisecond)
	fail()
	require.Eventually(t, func() bool { return f.LeaderAddr() == next && f.HasSession() }, 20*time.Second, time.Millisecond)
}

// A leader that is far away, or whose host is slow, needs longer than a candidate
// is given that failed a moment ago.
func TestSlowLeaderIsFoundAfterItWasSuspected(t *testing.T) {
	var asked atomic.Int64
	leader := control(t, func() *wire.LeaderReply {
		delay := 200 * time.Millisecond // between the two patiences
		if asked.Add(1) == 1 {
			delay = 500 * time.Millisecond
		}
		<-time.After(delay)
		return &wire.LeaderReply{Leading: true}
	})
	f := seek.New(ident("entry", "e"), []string{leader}, zap.NewNop(), nil)
	run(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := f.Session(ctx)
	require.NoError(t, err)
	require.Greater(t, asked.Load(), int64(1))
}

// An entry that set a membership may be cut off the log again, and a cluster may be
// founded anew: a higher index isn't always newer. The leader knows.
func TestLeaderReplacesReplicasWithAHigherIndex(t *testing.T) {
	var leader string
	leader = control(t, func() *wire.LeaderReply {
		return &wire.LeaderReply{Leading: true, Members: []string{leader}, Index: 3}
	})
	f := seek.New(ident("entry", "e"), []string{leader}, zap.NewNop(), nil)
	f.LearnReplicas(seek.Replicas{Addrs: []string{"127.0.0.1:1"}, Index: 500})
	run(t, f)
	_, err := f.Session(t.Context())
	require.NoError(t, err)
	require.Equal(t, seek.Replicas{Addrs: []string{leader}, Index: 3}, f.Replicas())
}

func TestReplicasOfTheSameIndexAreKept(t *testing.T) {
	f := seek.New(ident("entry", "e"), nil, zap.NewNop(), nil)
	first := seek.Replicas{Addrs: []string{"127.0.0.1:1"}, Index: 5}
	f.LearnReplicas(first)
	f.LearnReplicas(seek.Replicas{Addrs: []string{"127.0.0.1:2"}, Index: 5})
	require.Equal(t, first, f.Replicas())
	next := seek.Replicas{Addrs: []string{"127.0.0.1:2"}, Index: 6}
	f.LearnReplicas(next)
	require.Equal(t, next, f.Replicas())
}

// After an election all agents find the leader at about the same time.
func TestFindersSpreadTheirCalls(t *testing.T) {
	const finders, refresh = 40, 2 * time.Second
	asked := make(chan time.Time, 100*finders)
	leader := control(t, func() *wire.LeaderReply {
		asked <- time.Now()
		return &wire.LeaderReply{Leading: true}
	})
	for range finders {
		run(t, seek.New(ident("entry", "e"), []string{leader}, zap.NewNop(), nil).WithRefreshInterval(refresh))
	}
	for range finders {
		<-asked // who leads
	}
	first := <-asked
	last := first
	for range finders - 1 {
		last = <-asked
	}
	require.Greater(t, last.Sub(first), refresh/4)
}
