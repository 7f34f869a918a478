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

// SIGUSR1 writes a dump, SIGHUP reloads, SIGTERM drains, and a second SIGTERM
// aborts the drain.
func TestSignals(t *testing.T) {
	role := &echoRole{workDone: make(chan struct{})}
	cfg, _, err := kern.Parse([]byte(strings.Replace(settingsText(`{}`), `"seconds": 1`, `"seconds": 600`, 1)), []kern.Role{role})
	require.NoError(t, err)
	log := &logBuffer{}
	d := kern.New(cfg, []kern.Role{role}, fixedClock{}, log)
	var g errgroup.Group
	g.Go(func() error { return kern.ServeWithSignals(t.Context(), d, filepath.Join(t.TempDir(), "none.json")) })
	// The signal handlers are installed before the listener is open.
	require.Eventually(t, func() bool { return d.AdminAddr() != "" }, 5*time.Second, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGUSR1))
	require.Eventually(t, func() bool { return strings.Contains(log.String(), `"msg":"dump"`) }, 5*time.Second, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(log.String(), `"msg":"reload refused"`) }, 5*time.Second, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.Eventually(t, func() bool { return len(role.recorded()) == 2 }, 5*time.Second, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.ErrorIs(t, g.Wait(), kern.ErrDrain)
	require.Equal(t, []string{"run", "drain", "closed"}, role.recorded())
}
