package peers_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/peers"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	waitTimeout = 20 * time.Second // generous for a busy machine; it takes milliseconds on an idle one
	role        = "jobctl"
)

func testIdentity(name string) wire.Identity {
	return wire.NewIdentity(kern.Node{Cluster: "c", Name: name}, role, kern.Keys{
		Self: kern.DeriveKey(nil, name), Role: map[string][]byte{role: nil},
	}, name+"-1")
}

// start runs f until the test ends.
func start(t *testing.T, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
}

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	return ln
}

func closedAddr(t *testing.T) string {
	t.Helper()
	ln := listen(t, "127.0.0.1:0")
	require.NoError(t, ln.Close())
	return ln.Addr().String()
}

func TestMessageFromAPeerReconnectsItsLinkAtOnce(t *testing.T) {
	peerAddr := closedAddr(t)
	mux := wire.NewMux(zap.NewNop())
	tr := peers.New(zap.NewNop())
	mux.Handle(wire.MethodLog, tr.Handler(role, func(*wire.LogMessage) {}))
	link := wire.NewLink(peerAddr, testIdentity("a"), mux, zap.NewNop(), nil).WithBackoff(time.Hour, time.Hour)
	tr.Add("b", link)
	dialled := link.Changed()
	start(t, tr.Run)
	<-dialled // the link failed once and now waits for an hour
	ln := listen(t, "127.0.0.1:0")
	start(t, func(ctx context.Context) error {
		return wire.NewServer(testIdentity("a"), mux, zap.NewNop(), nil).Serve(ctx, ln)
	})
	peerListener := listen(t, peerAddr)
	start(t, func(ctx context.Context) error {
		return wire.NewServer(testIdentity("b"), wire.NewMux(zap.NewNop()), zap.NewNop(), nil).Serve(ctx, peerListener)
	})
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	sess, err := wire.Connect(c, testIdentity("b"))
	require.NoError(t, err)
	defer func() { _ = sess.Close() }()
	st, err := sess.OpenCall(t.Context(), wire.MethodLog, "")
	require.NoError(t, err)
	require.NoError(t, st.Send(&wire.LogMessage{From: "b"}))
	require.Eventually(t, func() bool {
		_, err := link.Session()
		return err == nil
	}, waitTimeout, time.Millisecond)
}

func TestRetainRemovesUnusedPeers(t *testing.T) {
	tr := peers.New(zap.NewNop())
	add := func(name, addr string) *wire.Link {
		link := wire.NewLink(addr, testIdentity("a"), wire.NewMux(zap.NewNop()), zap.NewNop(), nil)
		tr.Add(name, link)
		return link
	}
	ln := listen(t, "127.0.0.1:0")
	start(t, func(ctx context.Context) error {
		return wire.NewServer(testIdentity("up"), wire.NewMux(zap.NewNop()), zap.NewNop(), nil).Serve(ctx, ln)
	})
	up := add("up", ln.Addr().String())
	add("named", closedAddr(t))
	gone := add("gone", closedAddr(t))
	dialled := gone.Changed()
	start(t, tr.Run)
	<-dialled
	require.Eventually(t, func() bool { _, err := up.Session(); return err == nil }, waitTimeout, time.Millisecond)
	has := func(name string) bool {
		_, ok := tr.Link(name)
		return ok
	}
	tr.Retain([]string{"named"})
	require.True(t, has("gone"), "removed at the first call, though it may have been added only just before")
	tr.Retain([]string{"named"})
	require.False(t, has("gone"))
	require.True(t, has("named"))
	require.True(t, has("up"))
}
