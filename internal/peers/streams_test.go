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
	patience = 20 * time.Second // for what takes milliseconds on a free machine
	role     = "jobctl"
)

func ident(name string) wire.Identity {
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
	back := closedAddr(t)
	mux := wire.NewMux(zap.NewNop())
	s := peers.New(zap.NewNop())
	mux.Handle(wire.MethodLog, s.Handler(role, func(*wire.LogMessage) {}))
	link := wire.NewLink(back, ident("a"), mux, zap.NewNop(), nil).WithBackoff(time.Hour, time.Hour)
	s.Add("b", link)
	tried := link.Changed()
	start(t, s.Run)
	<-tried // in vain
	ln := listen(t, "127.0.0.1:0")
	start(t, func(ctx context.Context) error {
		return wire.NewServer(ident("a"), mux, zap.NewNop(), nil).Serve(ctx, ln)
	})
	up := listen(t, back)
	start(t, func(ctx context.Context) error {
		return wire.NewServer(ident("b"), wire.NewMux(zap.NewNop()), zap.NewNop(), nil).Serve(ctx, up)
	})
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	sess, err := wire.Connect(c, ident("b"))
	require.NoError(t, err)
	defer func() { _ = sess.Close() }()
	st, err := sess.OpenCall(t.Context(), wire.MethodLog, "")
	require.NoError(t, err)
	require.NoError(t, st.Send(&wire.LogMessage{From: "b"}))
	require.Eventually(t, func() bool {
		_, err := link.Session()
		return err == nil
	}, patience, time.Millisecond)
}

func TestRetainRemovesUnusedPeers(t *testing.T) {
	s := peers.New(zap.NewNop())
	add := func(name, addr string) *wire.Link {
		link := wire.NewLink(addr, ident("a"), wire.NewMux(zap.NewNop()), zap.NewNop(), nil)
		s.Add(name, link)
		return link
	}
	ln := listen(t, "127.0.0.1:0")
	start(t, func(ctx context.Context) error {
		return wire.NewServer(ident("up"), wire.NewMux(zap.NewNop()), zap.NewNop(), nil).Serve(ctx, ln)
	})
	up := add("up", ln.Addr().String())
	add("named", closedAddr(t))
	gone := add("gone", closedAddr(t))
	tried := gone.Changed()
	start(t, s.Run)
	<-tried
	require.Eventually(t, func() bool { _, err := up.Session(); return err == nil }, patience, time.Millisecond)
	has := func(name string) bool {
		_, ok := s.Link(name)
		return ok
	}
	s.Retain([]string{"named"})
	require.True(t, has("gone"), "it may have been added a moment ago")
	s.Retain([]string{"named"})
	require.False(t, has("gone"))
	require.True(t, has("named"))
	require.True(t, has("up"))
}
