package kern_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

func TestSignals(t *testing.T) {
	role := &echoRole{}
	cfg, _, err := kern.Parse([]byte(settings(`{}`)), []kern.Role{role})
	require.NoError(t, err)
	log := &buffer{}
	d := kern.New(cfg, []kern.Role{role}, fixedClock{}, log)
	var g errgroup.Group
	g.Go(func() error { return kern.WithSignals(t.Context(), d) })
	// The daemon asks for signals before it opens its listener.
	require.Eventually(t, func() bool { return d.Addr() != "" }, 5*time.Second, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGUSR1))
	require.Eventually(t, func() bool { return strings.Contains(log.String(), `"msg":"dump"`) }, 5*time.Second, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, g.Wait())
	require.Contains(t, role.seen(), "drain")
}
