package wire

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// TestWakeEndsThePause guards against a control process that is back and
// connected, while the others still pause before they dial it.
func TestWakeEndsThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLink("127.0.0.1:1", Identity{}, nil, zap.NewNop(), nil)
		l.Wake() // nothing pauses yet, so nothing is kept of it
		began := time.Now()
		require.False(t, l.pause(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(began))

		var g errgroup.Group
		var woken bool
		g.Go(func() error {
			woken = l.pause(context.Background(), time.Hour)
			return nil
		})
		synctest.Wait()
		l.Wake()
		require.NoError(t, g.Wait())
		require.True(t, woken)
		require.Equal(t, time.Second, time.Since(began))
	})
}
