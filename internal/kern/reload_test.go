package kern_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// slowRole takes long to build, like a role that opens a large data folder.
type slowRole struct {
	echoRole
	newCalled chan struct{} // closed when New is called
	proceed   chan struct{} // New waits until it is closed
	reloaded  chan kern.Settings
}

func (r *slowRole) New(_ *kern.Env, _ kern.Settings) (kern.Runner, error) {
	close(r.newCalled)
	<-r.proceed
	return r, nil
}

func (r *slowRole) Reload(s kern.Settings) { r.reloaded <- s }

func TestReloadDuringStartup(t *testing.T) {
	role := &slowRole{newCalled: make(chan struct{}), proceed: make(chan struct{}), reloaded: make(chan kern.Settings, 1)}
	cfg, problems, err := kern.Parse([]byte(settingsText(`{}`)), []kern.Role{role})
	require.NoError(t, err)
	require.Empty(t, problems)
	log := &logBuffer{}
	d := kern.New(cfg, []kern.Role{role}, fixedClock{}, log)
	var g errgroup.Group
	g.Go(func() error { return d.Serve(t.Context()) })
	<-role.newCalled
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(settingsText(`{"limit": 5}`)), 0o600))
	d.Reload(path, "file changed")
	close(role.proceed)
	select {
	case s := <-role.reloaded:
		require.Equal(t, 5, s.(*echoSettings).Limit)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the role didn't receive the changed settings")
	}
	require.Eventually(t, func() bool { return strings.Contains(log.String(), `"msg":"reloaded"`) }, 5*time.Second, time.Millisecond)
	d.Stop()
	require.NoError(t, g.Wait())
}
