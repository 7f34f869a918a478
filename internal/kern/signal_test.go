package kern_test

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// SIGUSR1 dumps, SIGTERM drains, a second SIGTERM cuts the drain short.
func TestSignals(t *testing.T) {
	role := &echoRole{work: make(chan struct{})}
	cfg, _, err := kern.Parse([]byte(strings.Replace(settings(`{}`), `"seconds": 1`, `"seconds": 600`, 1)), []kern.Role{role})
	require.NoError(t, err)
	log := &buffer{}
	d := kern.New(cfg, []kern.Role{role}, fixedClock{}, log)
	var g errgroup.Group
	g.Go(func() error { return kern.ServeWithSignals(t.Context(), d, filepath.Join(t.TempDir(), "none.json")) })
	// The daemon asks for signals before it opens its listener.
	require.Eventually(t, func() bool { return d.AdminAddr() != "" }, 5*time.Second, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGUSR1))
	require.Eventually(t, func() bool { return strings.Contains(log.String(), `"msg":"dump"`) }, 5*time.Second, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(log.String(), `"msg":"reload refused"`) }, 5*time.Second, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.Eventually(t, func() bool { return len(role.seen()) == 2 }, 5*time.Second, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.ErrorIs(t, g.Wait(), kern.ErrDrain)
	require.Equal(t, []string{"run", "drain", "closed"}, role.seen())
}
