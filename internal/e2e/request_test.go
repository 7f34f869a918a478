package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// newReadyCluster starts a cluster, creates its teams and service and waits
// until every entry lists all agents as ready.
func newReadyCluster(t *testing.T, sz clusterSize) *cluster {
	t.Helper()
	c := newCluster(t, sz)
	c.awaitEntries()
	c.configure()
	c.awaitAgents(len(c.agents))
	return c
}

// load sends requests through every entry until stop is closed and keeps the
// reply to each, by request id.
type load struct {
	stop    chan struct{}
	group   errgroup.Group
	mu      sync.Mutex
	replies map[string]callResult
}

// startLoad starts callers that send short requests one after the other. With
// keys, every request has an idempotency key and is non-idempotent.
func (c *cluster) startLoad(callers int, withKeys bool) *load {
	l := &load{stop: make(chan struct{}), replies: map[string]callResult{}}
	for i := range callers {
		l.group.Go(func() error {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return nil
				default:
				}
				spec := requestSpec{id: fmt.Sprintf("load-%d-%d", i, n), workMs: 20}
				spec.body = spec.id
				if withKeys {
					spec.idempotencyKey = "key-" + spec.id
				}
				r := c.call((i+n)%len(c.entries), spec)
				l.mu.Lock()
				l.replies[spec.id] = r
				l.mu.Unlock()
			}
		})
	}
	return l
}

// finish stops the load and returns the replies by request id.
func (l *load) finish(t *testing.T) map[string]callResult {
	t.Helper()
	close(l.stop)
	require.NoError(t, l.group.Wait())
	return l.replies
}

// TestRollingRestart restarts every process in turn under load. No request may
// be interrupted, refused or lost.
func TestRollingRestart(t *testing.T) {
	c := newReadyCluster(t, smallCluster)
	l := c.startLoad(6, true)
	restart := func(p *proc) {
		require.Equal(t, 0, p.stop(25*time.Second), p.name)
		p.start()
	}
	for i, p := range c.agents {
		restart(p)
		c.awaitAgents(len(c.agents))
		t.Log("restarted agent", i)
	}
	for _, p := range c.controls {
		restart(p)
		c.awaitEntries()
		c.awaitLeader()
	}
	replies := l.finish(t)
	require.NotEmpty(t, replies)
	logSlowest(t, replies)
	for id, r := range replies {
		requireAnswer(t, requestSpec{id: id, body: id}, r)
	}
	// The platform's load balancer sends no new callers to a draining entry. This
	// test has no balancer, so it ends the load first and, while an entry restarts,
	// sends new requests only to the other one.
	for i, p := range c.entries {
		other := (i + 1) % len(c.entries)
		var g errgroup.Group
		running := make(chan callResult, 1)
		g.Go(func() error {
			running <- c.call(i, requestSpec{id: "slow", workMs: 500, body: "slow"})
			return nil
		})
		pollUntil(t, 5*time.Second, "the slow request runs", func() bool { return c.runCount("slow") > i })
		restart(p)
		require.NoError(t, g.Wait())
		requireAnswer(t, requestSpec{id: "slow", body: "slow"}, <-running)
		requireAnswer(t, requestSpec{body: "x"}, c.call(other, requestSpec{workMs: 5, body: "x"}))
		c.awaitEntries()
		c.awaitAgents(len(c.agents))
	}
}

// logSlowest logs the slowest call and the number of calls that were refused or
// lost.
func logSlowest(t *testing.T, replies map[string]callResult) {
	t.Helper()
	var slowest string
	unanswered := 0
	for id, r := range replies {
		if slowest == "" || r.elapsed > replies[slowest].elapsed {
			slowest = id
		}
		if r.err != nil || r.outcome != client.OutcomeAnswer {
			unanswered++
		}
	}
	t.Logf("%d calls, %d without an answer; %s took longest, %s", len(replies), unanswered, slowest, replies[slowest].elapsed)
}

// runCount returns the number of times that backend servers started a request.
func (c *cluster) runCount(id string) int {
	n := 0
	for _, r := range c.backendRuns() {
		if r.Request == id && !r.Refused {
			n++
		}
	}
	return n
}

func (c *cluster) awaitLeader() {
	c.t.Helper()
	pollUntil(c.t, 10*time.Second, "a leader answers operators", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := c.operator.Members(ctx)
		return err == nil
	})
}

// TestAtMostOnce kills an entry and an agent together, twice, under load of
// non-idempotent requests, and resends those without an answer. None may run
// twice.
func TestAtMostOnce(t *testing.T) {
	c := newReadyCluster(t, smallCluster)
	l := c.startLoad(6, true)
	for round := range 2 {
		time.Sleep(300 * time.Millisecond)
		c.entries[0].kill()
		c.agents[round].kill()
		time.Sleep(200 * time.Millisecond)
		c.entries[0].start()
		c.agents[round].start()
		c.awaitEntries()
		c.awaitAgents(len(c.agents))
	}
	replies := l.finish(t)
	unanswered := 0
	for id, r := range replies {
		if r.err == nil && r.outcome == client.OutcomeAnswer {
			continue
		}
		unanswered++
		again := c.call(1, requestSpec{id: "again-" + id, idempotencyKey: "key-" + id, workMs: 20, body: id, timeout: 300 * time.Millisecond})
		require.NoError(t, again.err)
	}
	checkRuns(t, c, replies)
	t.Logf("%d requests, %d without an answer at first", len(replies), unanswered)
}

// checkRuns checks that each idempotency key ran at most once, and exactly once
// if its request was answered.
func checkRuns(t *testing.T, c *cluster, replies map[string]callResult) {
	t.Helper()
	counts := map[string]int{}
	for _, r := range c.backendRuns() {
		if !r.Refused && r.Key != "" {
			counts[r.Key]++
		}
	}
	for key, n := range counts {
		require.LessOrEqual(t, n, 1, "%s ran %d times", key, n)
	}
	for id, r := range replies {
		if r.err == nil && r.outcome == client.OutcomeAnswer {
			require.Equal(t, 1, counts["key-"+id], id)
			require.Equal(t, sha256Hex(id), r.answer.Hash)
		}
	}
}

// TestNotRunRequestsDidNotRun sends far more requests than the cluster can
// handle and checks that those with the outcome not-run did not run.
func TestNotRunRequestsDidNotRun(t *testing.T) {
	c := newReadyCluster(t, clusterSize{controls: 3, entries: 2, agents: 2, workers: 2})
	var g errgroup.Group
	var mu sync.Mutex
	replies := map[string]callResult{}
	for i := range 300 {
		g.Go(func() error {
			spec := requestSpec{id: fmt.Sprintf("overload-%d", i), workMs: 100, body: "x", timeout: 400 * time.Millisecond}
			r := c.call(i%2, spec)
			mu.Lock()
			defer mu.Unlock()
			replies[spec.id] = r
			return nil
		})
	}
	require.NoError(t, g.Wait())
	runs := map[string]int{}
	for _, r := range c.backendRuns() {
		runs[r.Request]++
	}
	outcomes := map[client.Outcome]int{}
	for id, r := range replies {
		require.NoError(t, r.err, id)
		outcomes[r.outcome]++
		switch r.outcome {
		case client.OutcomeNotRun:
			require.Zero(t, runs[id], "%s: %s", id, r.body)
		case client.OutcomeAnswer:
			require.Equal(t, 1, runs[id], id)
		}
	}
	t.Log(outcomes)
	require.Positive(t, outcomes[client.OutcomeAnswer])
	require.Positive(t, outcomes[client.OutcomeNotRun])
}

// TestBackendLeaves checks that a backend server that announces its leave gets
// no new work 3 s later, and that requests running there are still answered.
func TestBackendLeaves(t *testing.T) {
	c := newReadyCluster(t, smallCluster)
	l := c.startLoad(6, false)
	time.Sleep(200 * time.Millisecond)
	req, err := http.NewRequest(http.MethodPut, c.backendURLs[0]+"/leave", nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	time.Sleep(3 * time.Second)
	left := time.Now()
	time.Sleep(500 * time.Millisecond)
	replies := l.finish(t)
	for id, r := range replies {
		requireAnswer(t, requestSpec{id: id, body: id}, r)
	}
	for _, r := range c.backendRuns() {
		if r.Backend == "back1" {
			require.True(t, r.Started.Before(left), "work started %s after the backend server left", r.Started.Sub(left)+3*time.Second)
		}
	}
}

// TestInvalidRequests sends invalid requests. Each must be refused with the
// outcome not-run and an error that names the field.
func TestInvalidRequests(t *testing.T) {
	c := newReadyCluster(t, clusterSize{controls: 3, entries: 1, agents: 1, workers: 1})
	base := "http://" + c.callAddrs[0] + client.PathCall
	past := fmt.Sprint(time.Now().Add(-time.Second).UnixMilli())
	tests := []struct {
		name, path, key string
		header          map[string]string
		body            io.Reader
		status          int
		field           string
	}{
		{name: "unknown team", path: serviceName + "/work?ms=1", key: "nobody", status: 401, field: "Authorization"},
		{name: "unknown service", path: "no-such-service/work?ms=1", key: teamKey, status: 404, field: "service"},
		{name: "deadline in the past", path: serviceName + "/work?ms=1", key: teamKey, header: map[string]string{client.HeaderDeadline: past}, status: 400, field: client.HeaderDeadline},
		{name: "malformed deadline", path: serviceName + "/work?ms=1", key: teamKey, header: map[string]string{client.HeaderDeadline: "soon"}, status: 400, field: client.HeaderDeadline},
		{name: "key of 10 kB", path: serviceName + "/work?ms=1", key: teamKey, header: map[string]string{client.HeaderIdempotencyKey: strings.Repeat("k", 10_000)}, status: 400, field: client.HeaderIdempotencyKey},
		{name: "missing key", path: serviceName + "/work?ms=1", key: teamKey, header: map[string]string{client.HeaderAtMostOnce: "true"}, status: 400, field: client.HeaderIdempotencyKey},
		{name: "oversized body", path: serviceName + "/work?ms=1", key: teamKey, body: strings.NewReader(strings.Repeat("x", 2<<20)), status: 413, field: "body"},
		{name: "negative size", path: serviceName + "/work?ms=1", key: teamKey, header: map[string]string{client.HeaderDeclaredMs: "-5"}, status: 400, field: client.HeaderDeclaredMs},
		{name: "unknown urgency", path: serviceName + "/work?ms=1", key: teamKey, header: map[string]string{client.HeaderUrgency: "now"}, status: 400, field: "urgency"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, base+tt.path, tt.body)
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+tt.key)
			for k, v := range tt.header {
				req.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, string(body))
			require.Equal(t, string(client.OutcomeNotRun), resp.Header.Get(client.HeaderOutcome))
			require.Contains(t, string(body), `"field":"`+tt.field+`"`)
		})
	}
	t.Run("same key with another body", func(t *testing.T) {
		requireAnswer(t, requestSpec{body: "a"}, c.call(0, requestSpec{idempotencyKey: "k1", body: "a"}))
		r := c.call(0, requestSpec{idempotencyKey: "k1", body: "b"})
		require.Equal(t, http.StatusConflict, r.status, r.body)
		require.Equal(t, client.OutcomeNotRun, r.outcome)
	})
	t.Run("truncated body", func(t *testing.T) { testTruncatedBody(t, c) })
	t.Run("oversized header", func(t *testing.T) { testOversizedHeader(t, c) })
	t.Run("no refused request ran", func(t *testing.T) {
		require.Len(t, c.backendRuns(), 1)
	})
}

func testTruncatedBody(t *testing.T, c *cluster) {
	conn, err := net.Dial("tcp", c.callAddrs[0])
	require.NoError(t, err)
	fmt.Fprintf(conn, "POST /v1/call/%s/work?ms=1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nhalf", serviceName, teamKey)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), "cut short")
	conn.Close()
}

func testOversizedHeader(t *testing.T, c *cluster) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.callAddrs[0]+client.PathCall+serviceName+"/work?ms=1", nil)
	require.NoError(t, err)
	req.Header.Set("X-Big", strings.Repeat("x", 64<<10))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
}

// TestTruncatedAnswer checks that a truncated answer of a backend server is
// never reported as an answer, and that a large one arrives complete.
func TestTruncatedAnswer(t *testing.T) {
	c := newReadyCluster(t, clusterSize{controls: 3, entries: 1, agents: 1, workers: 1})
	c.setBackendFault(0, fakes.BackendFault{CutAnswer: true})
	r := c.call(0, requestSpec{idempotencyKey: "truncated-1", body: "x", workMs: 1})
	require.NoError(t, r.err)
	require.Equal(t, client.OutcomeUnknown, r.outcome, r.body)
	c.setBackendFault(0, fakes.BackendFault{ExtraBytes: 3 << 20})
	large := c.call(0, requestSpec{body: "y", workMs: 1})
	requireAnswer(t, requestSpec{body: "y"}, large)
	require.Len(t, large.answer.Padding, 3<<20)
}

// setBackendFault makes a backend server misbehave.
func (c *cluster) setBackendFault(i int, f fakes.BackendFault) {
	c.t.Helper()
	putJSON(c.t, c.backendURLs[i]+"/fault", f)
}

// TestUnknownOutcomeAfterLostAttempt kills the only agent while a request runs.
// The request is idempotent, so it waits until its deadline to be tried again.
// As its first attempt has run, the outcome must be unknown and not not-run.
func TestUnknownOutcomeAfterLostAttempt(t *testing.T) {
	c := newReadyCluster(t, clusterSize{controls: 3, entries: 1, agents: 1, workers: 1})
	result := make(chan callResult, 1)
	var g errgroup.Group
	g.Go(func() error {
		result <- c.call(0, requestSpec{id: "lost", workMs: 400, body: "x", timeout: 2 * time.Second})
		return nil
	})
	pollUntil(t, 5*time.Second, "the request runs", func() bool { return c.runCount("lost") == 1 })
	c.agents[0].kill()
	require.NoError(t, g.Wait())
	r := <-result
	require.Equal(t, client.OutcomeUnknown, r.outcome, r.body)
}
