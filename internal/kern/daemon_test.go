package kern_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// buffer is a log that can be read while it is written.
type buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// fixedClock always tells the same time.
type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Date(2026, 4, 5, 6, 0, 0, 0, time.UTC) }

// running is a daemon at work in a test.
type running struct {
	t      *testing.T
	daemon *kern.Daemon
	log    *buffer
	group  errgroup.Group
	cancel context.CancelFunc
}

func start(t *testing.T, r *echoRole, edit func(string) string) *running {
	t.Helper()
	text := settings(`{}`)
	if edit != nil {
		text = edit(text)
	}
	cfg, problems, err := kern.Parse([]byte(text), []kern.Role{r})
	require.NoError(t, err)
	require.Empty(t, problems)
	ctx, cancel := context.WithCancel(t.Context())
	run := &running{t: t, log: &buffer{}, cancel: cancel}
	run.daemon = kern.New(cfg, []kern.Role{r}, fixedClock{}, run.log)
	run.group.Go(func() error { return run.daemon.Serve(ctx) })
	return run
}

// get makes a request to the admin listener and returns status and body.
func (r *running) get(method, path, token, body string) (int, string) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return r.daemon.AdminAddr() != "" }, 5*time.Second, time.Millisecond)
	req, err := http.NewRequestWithContext(r.t.Context(), method, "http://"+r.daemon.AdminAddr()+path, strings.NewReader(body))
	require.NoError(r.t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(r.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(r.t, err)
	return resp.StatusCode, string(text)
}

func TestAdminRequiresToken(t *testing.T) {
	run := start(t, &echoRole{}, nil)
	for _, path := range []string{"/metrics", "/dump", "/log/level", "/debug/pprof/heap"} {
		status, _ := run.get(http.MethodGet, path, "", "")
		require.Equal(t, http.StatusUnauthorized, status, path)
		status, _ = run.get(http.MethodGet, path, strings.Repeat("0", 64), "")
		require.Equal(t, http.StatusUnauthorized, status, path)
		status, _ = run.get(http.MethodGet, path, token(), "")
		require.Equal(t, http.StatusOK, status, path)
	}
	status, _ := run.get(http.MethodPost, "/drain", "", "")
	require.Equal(t, http.StatusUnauthorized, status)
	status, body := run.get(http.MethodGet, "/healthz", "", "")
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"state":"running"}`, body)
	run.cancel()
	require.NoError(t, run.group.Wait())
}

func TestAdminRejectsLargeRequest(t *testing.T) {
	run := start(t, &echoRole{}, nil)
	status, _ := run.get(http.MethodGet, "/dump", strings.Repeat("x", 64<<10), "")
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	status, _ = run.get(http.MethodPut, "/log/level", token(), `{"level":"`+strings.Repeat("x", 64<<10)+`"}`)
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = run.get(http.MethodGet, "/dump", token(), "")
	require.Equal(t, http.StatusOK, status)
	run.cancel()
	require.NoError(t, run.group.Wait())
}

func TestDumpAndMetrics(t *testing.T) {
	run := start(t, &echoRole{}, nil)
	_, body := run.get(http.MethodGet, "/dump", token(), "")
	var d kern.Dump
	require.NoError(t, json.Unmarshal([]byte(body), &d))
	require.Equal(t, "n1", d.Node.Name)
	require.Equal(t, map[string]any{"requests": 3.0}, d.Roles["echo"])
	_, page := run.get(http.MethodGet, "/metrics", token(), "")
	require.Contains(t, page, "process_resident_memory_bytes")
	run.daemon.LogDump()
	require.Contains(t, run.log.String(), `"msg":"dump"`)
	for line := range strings.SplitSeq(strings.TrimSpace(run.log.String()), "\n") {
		require.True(t, json.Valid([]byte(line)), line)
	}
	run.cancel()
	require.NoError(t, run.group.Wait())
}

func TestLogLevelChangesAtRunTime(t *testing.T) {
	run := start(t, &echoRole{}, nil)
	status, _ := run.get(http.MethodPut, "/log/level", token(), `{"level":"error"}`)
	require.Equal(t, http.StatusOK, status)
	before := run.log.String()
	run.daemon.LogDump()
	require.Equal(t, before, run.log.String())
	status, _ = run.get(http.MethodPut, "/log/level", token(), `{"level":"loud"}`)
	require.Equal(t, http.StatusBadRequest, status)
	run.cancel()
	require.NoError(t, run.group.Wait())
}

func TestDrainWaitsForWork(t *testing.T) {
	role := &echoRole{work: make(chan struct{})}
	run := start(t, role, func(s string) string { return strings.Replace(s, `"seconds": 1`, `"seconds": 600`, 1) })
	status, _ := run.get(http.MethodPost, "/drain", token(), "")
	require.Equal(t, http.StatusAccepted, status)
	require.Eventually(t, func() bool { return run.daemon.State() == kern.StateDraining }, 5*time.Second, time.Millisecond)
	status, _ = run.get(http.MethodGet, "/healthz", "", "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotContains(t, role.seen(), "closed")
	close(role.work)
	require.NoError(t, run.group.Wait())
	require.Equal(t, []string{"run", "drain", "drained", "closed"}, role.seen())
}

func TestDrainDeadline(t *testing.T) {
	role := &echoRole{work: make(chan struct{})}
	run := start(t, role, nil)
	run.get(http.MethodGet, "/healthz", "", "")
	run.cancel()
	err := run.group.Wait()
	require.ErrorIs(t, err, kern.ErrDrain)
	require.Equal(t, kern.ExitDrain, kern.ExitCode(err))
	require.Equal(t, []string{"run", "drain", "closed"}, role.seen())
}

// A request to drain that is sent again, after a lost answer, cuts nothing off.
func TestRepeatedDrainRequest(t *testing.T) {
	role := &echoRole{work: make(chan struct{})}
	run := start(t, role, func(s string) string { return strings.Replace(s, `"seconds": 1`, `"seconds": 600`, 1) })
	for range 5 {
		status, _ := run.get(http.MethodPost, "/drain", token(), "")
		require.Equal(t, http.StatusAccepted, status)
	}
	require.Eventually(t, func() bool { return len(role.seen()) > 1 }, 5*time.Second, time.Millisecond)
	status, _ := run.get(http.MethodPost, "/drain", token(), "")
	require.Equal(t, http.StatusAccepted, status)
	close(role.work)
	require.NoError(t, run.group.Wait())
	require.Contains(t, role.seen(), "drained")
}

func TestAbortEndsDrain(t *testing.T) {
	role := &echoRole{work: make(chan struct{})}
	run := start(t, role, func(s string) string { return strings.Replace(s, `"seconds": 1`, `"seconds": 600`, 1) })
	run.get(http.MethodGet, "/healthz", "", "")
	run.daemon.Stop()
	require.Eventually(t, func() bool { return run.daemon.State() == kern.StateDraining }, 5*time.Second, time.Millisecond)
	run.daemon.Abort()
	require.ErrorIs(t, run.group.Wait(), kern.ErrDrain)
}

func TestRoleFailureExitCode(t *testing.T) {
	tests := map[string]struct {
		role *echoRole
		code int
	}{
		"data folder refused": {&echoRole{fails: errors.Wrap(kern.ErrData, "log is damaged")}, kern.ExitData},
		"fails to start":      {&echoRole{fails: errors.New("no")}, kern.ExitFailure},
		"fails at work":       {&echoRole{ends: errors.New("lost")}, kern.ExitFailure},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			run := start(t, tt.role, nil)
			require.Equal(t, tt.code, kern.ExitCode(run.group.Wait()))
		})
	}
}

func TestDerivedKeysDiffer(t *testing.T) {
	master := []byte("0123456789abcdef")
	require.Equal(t, kern.DeriveKey(master, "agent-1"), kern.DeriveKey(master, "agent-1"))
	require.NotEqual(t, kern.DeriveKey(master, "agent-1"), kern.DeriveKey(master, "agent-2"))
	require.NotEqual(t, kern.DeriveKey(master, "agent-1"), kern.DeriveKey([]byte("fedcba9876543210"), "agent-1"))
}

// A client that sends its header byte by byte is dropped and keeps nobody else
// from being served.
func TestAdminDisconnectsSlowClient(t *testing.T) {
	t.Parallel()
	run := start(t, &echoRole{}, nil)
	run.get(http.MethodGet, "/healthz", "", "")
	c, err := net.Dial("tcp", run.daemon.AdminAddr())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("GET /dump HTTP/1.1\r\nHost: a\r\nAuthor"))
	require.NoError(t, err)
	status, _ := run.get(http.MethodGet, "/dump", token(), "")
	require.Equal(t, http.StatusOK, status)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = io.ReadAll(c)
	require.NoError(t, err) // the server has closed it before the deadline
	run.cancel()
	require.NoError(t, run.group.Wait())
}
