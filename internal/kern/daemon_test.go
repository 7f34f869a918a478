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

// logBuffer collects log output and can be read while the daemon writes to it.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// fixedClock always returns the same time.
type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Date(2026, 4, 5, 6, 0, 0, 0, time.UTC) }

// testDaemon is a daemon that runs in a test.
type testDaemon struct {
	t      *testing.T
	daemon *kern.Daemon
	log    *logBuffer
	group  errgroup.Group
	cancel context.CancelFunc
}

func startDaemon(t *testing.T, r *echoRole, edit func(string) string) *testDaemon {
	t.Helper()
	text := settingsText(`{}`)
	if edit != nil {
		text = edit(text)
	}
	cfg, problems, err := kern.Parse([]byte(text), []kern.Role{r})
	require.NoError(t, err)
	require.Empty(t, problems)
	ctx, cancel := context.WithCancel(t.Context())
	run := &testDaemon{t: t, log: &logBuffer{}, cancel: cancel}
	run.daemon = kern.New(cfg, []kern.Role{r}, fixedClock{}, run.log)
	run.group.Go(func() error { return run.daemon.Serve(ctx) })
	return run
}

// request sends a request to the admin listener and returns the status and body.
func (r *testDaemon) request(method, path, token, body string) (int, string) {
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
	run := startDaemon(t, &echoRole{}, nil)
	for _, path := range []string{"/metrics", "/dump", "/log/level", "/debug/pprof/heap"} {
		status, _ := run.request(http.MethodGet, path, "", "")
		require.Equal(t, http.StatusUnauthorized, status, path)
		status, _ = run.request(http.MethodGet, path, strings.Repeat("0", 64), "")
		require.Equal(t, http.StatusUnauthorized, status, path)
		status, _ = run.request(http.MethodGet, path, adminToken(), "")
		require.Equal(t, http.StatusOK, status, path)
	}
	status, _ := run.request(http.MethodPost, "/drain", "", "")
	require.Equal(t, http.StatusUnauthorized, status)
	status, body := run.request(http.MethodGet, "/healthz", "", "")
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"state":"running"}`, body)
	run.cancel()
	require.NoError(t, run.group.Wait())
}

func TestAdminRejectsLargeRequest(t *testing.T) {
	run := startDaemon(t, &echoRole{}, nil)
	status, _ := run.request(http.MethodGet, "/dump", strings.Repeat("x", 64<<10), "")
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	status, _ = run.request(http.MethodPut, "/log/level", adminToken(), `{"level":"`+strings.Repeat("x", 64<<10)+`"}`)
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = run.request(http.MethodGet, "/dump", adminToken(), "")
	require.Equal(t, http.StatusOK, status)
	run.cancel()
	require.NoError(t, run.group.Wait())
}

func TestDumpAndMetrics(t *testing.T) {
	run := startDaemon(t, &echoRole{}, nil)
	_, body := run.request(http.MethodGet, "/dump", adminToken(), "")
	var d kern.Dump
	require.NoError(t, json.Unmarshal([]byte(body), &d))
	require.Equal(t, "n1", d.Node.Name)
	require.Equal(t, map[string]any{"requests": 3.0}, d.Roles["echo"])
	_, page := run.request(http.MethodGet, "/metrics", adminToken(), "")
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
	run := startDaemon(t, &echoRole{}, nil)
	status, _ := run.request(http.MethodPut, "/log/level", adminToken(), `{"level":"error"}`)
	require.Equal(t, http.StatusOK, status)
	before := run.log.String()
	run.daemon.LogDump()
	require.Equal(t, before, run.log.String())
	status, _ = run.request(http.MethodPut, "/log/level", adminToken(), `{"level":"loud"}`)
	require.Equal(t, http.StatusBadRequest, status)
	run.cancel()
	require.NoError(t, run.group.Wait())
}

func TestDrainWaitsForWork(t *testing.T) {
	role := &echoRole{workDone: make(chan struct{})}
	run := startDaemon(t, role, func(s string) string { return strings.Replace(s, `"seconds": 1`, `"seconds": 600`, 1) })
	status, _ := run.request(http.MethodPost, "/drain", adminToken(), "")
	require.Equal(t, http.StatusAccepted, status)
	require.Eventually(t, func() bool { return run.daemon.State() == kern.StateDraining }, 5*time.Second, time.Millisecond)
	status, _ = run.request(http.MethodGet, "/healthz", "", "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotContains(t, role.recorded(), "closed")
	close(role.workDone)
	require.NoError(t, run.group.Wait())
	require.Equal(t, []string{"run", "drain", "drained", "closed"}, role.recorded())
}

func TestDrainDeadline(t *testing.T) {
	role := &echoRole{workDone: make(chan struct{})}
	run := startDaemon(t, role, nil)
	run.request(http.MethodGet, "/healthz", "", "")
	run.cancel()
	err := run.group.Wait()
	require.ErrorIs(t, err, kern.ErrDrain)
	require.Equal(t, kern.ExitDrain, kern.ExitCode(err))
	require.Equal(t, []string{"run", "drain", "closed"}, role.recorded())
}

// A repeated drain request, as sent after a lost response, doesn't abort the drain.
func TestRepeatedDrainRequest(t *testing.T) {
	role := &echoRole{workDone: make(chan struct{})}
	run := startDaemon(t, role, func(s string) string { return strings.Replace(s, `"seconds": 1`, `"seconds": 600`, 1) })
	for range 5 {
		status, _ := run.request(http.MethodPost, "/drain", adminToken(), "")
		require.Equal(t, http.StatusAccepted, status)
	}
	require.Eventually(t, func() bool { return len(role.recorded()) > 1 }, 5*time.Second, time.Millisecond)
	status, _ := run.request(http.MethodPost, "/drain", adminToken(), "")
	require.Equal(t, http.StatusAccepted, status)
	close(role.workDone)
	require.NoError(t, run.group.Wait())
	require.Contains(t, role.recorded(), "drained")
}

func TestAbortEndsDrain(t *testing.T) {
	role := &echoRole{workDone: make(chan struct{})}
	run := startDaemon(t, role, func(s string) string { return strings.Replace(s, `"seconds": 1`, `"seconds": 600`, 1) })
	run.request(http.MethodGet, "/healthz", "", "")
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
		"data folder refused": {&echoRole{newErr: errors.Wrap(kern.ErrData, "log is damaged")}, kern.ExitData},
		"fails to start":      {&echoRole{newErr: errors.New("no")}, kern.ExitFailure},
		"fails while running": {&echoRole{runErr: errors.New("lost")}, kern.ExitFailure},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			run := startDaemon(t, tt.role, nil)
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

// A client that doesn't complete its request header is disconnected and doesn't
// delay other clients.
func TestAdminDisconnectsSlowClient(t *testing.T) {
	t.Parallel()
	run := startDaemon(t, &echoRole{}, nil)
	run.request(http.MethodGet, "/healthz", "", "")
	c, err := net.Dial("tcp", run.daemon.AdminAddr())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("GET /dump HTTP/1.1\r\nHost: a\r\nAuthor"))
	require.NoError(t, err)
	status, _ := run.request(http.MethodGet, "/dump", adminToken(), "")
	require.Equal(t, http.StatusOK, status)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = io.ReadAll(c)
	require.NoError(t, err) // the server closed the connection before the deadline
	run.cancel()
	require.NoError(t, run.group.Wait())
}
