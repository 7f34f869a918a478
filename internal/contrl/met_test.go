package contrl

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

func identity(name string) wire.Identity {
	return wire.NewIdentity(kern.Node{Cluster: "test", Name: name, Domain: "d", Region: "r"}, RoleName,
		kern.Keys{Self: kern.DeriveKey(nil, name), Role: map[string][]byte{RoleName: nil}}, name)
}

// TestPeerThatIsBackIsDialledAtOnce guards against a leader that loses its
// quorum while the process that it needs is connected to it.
func TestPeerThatIsBackIsDialledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.DebugLevel)
		dials := func() int { return logs.FilterMessage("link down").Len() }
		l := wire.NewLink(freeAddr(t), identity("c1"), wire.NewMux(zap.NewNop()), zap.New(core), nil)
		c := &Control{links: map[string]*wire.Link{"c2": l}}
		ctx, cancel := context.WithCancel(context.Background())
		var g errgroup.Group
		g.Go(func() error { return l.Run(ctx) })
		time.Sleep(10 * time.Second) // of the bubble's clock
		synctest.Wait()
		began, before := time.Now(), dials()
		require.Positive(t, before)

		here, there := net.Pipe()
		var peer *wire.Session
		g.Go(func() (err error) {
			peer, err = wire.Connect(there, identity("c2"))
			return err
		})
		sess, err := wire.Accept(here, identity("c1"))
		require.NoError(t, err)
		release, err := c.met(sess)
		require.NoError(t, err)
		release()
		synctest.Wait()
		require.Equal(t, before+1, dials())
		require.Zero(t, time.Since(began))

		cancel()
		require.NoError(t, g.Wait())
		require.NoError(t, sess.Close())
		require.NoError(t, peer.Close())
	})
}
