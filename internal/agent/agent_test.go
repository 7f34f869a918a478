package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/route"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func newTestAgent(t *testing.T) (*Agent, *testClock) {
	t.Helper()
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	env := &kern.Env{Log: zap.NewNop(), Metrics: tally.NoopScope, Clock: clock, Node: kern.Node{Cluster: "c", Name: "a1"}}
	a, err := New(env, &Settings{Listen: "127.0.0.1:0", Entries: []string{"127.0.0.1:1"}, Control: []string{"127.0.0.1:2"}})
	require.NoError(t, err)
	t.Cleanup(func() { a.ln.Close() })
	return a, clock
}

func postAnnouncement(a *Agent, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	a.announceHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
	return w
}

const validAnnouncement = `{"id":"b1","service":"rota","addr":"127.0.0.1:9","slots":8}`

// TestInvalidAnnouncementIsRefused checks that invalid announcements are
// refused with an answer that names the invalid field.
func TestInvalidAnnouncementIsRefused(t *testing.T) {
	tests := []struct{ name, body, want string }{
		{"truncated", validAnnouncement[:20], "announcement"},
		{"unknown field", `{"id":"b1","speed":3}`, "speed"},
		{"no id", `{"service":"rota","addr":"127.0.0.1:9","slots":8}`, "id"},
		{"no service", `{"id":"b1","addr":"127.0.0.1:9","slots":8}`, "service"},
		{"zero slots", `{"id":"b1","service":"rota","addr":"127.0.0.1:9"}`, "slots"},
		{"too many slots", `{"id":"b1","service":"rota","addr":"127.0.0.1:9","slots":100000}`, "slots"},
		{"host name as address", `{"id":"b1","service":"rota","addr":"host:9","slots":8}`, "addr"},
		{"port 0", `{"id":"b1","service":"rota","addr":"127.0.0.1:0","slots":8}`, "addr"},
		{"large", `{"id":"` + strings.Repeat("x", 10_000) + `"}`, "announcement"},
	}
	a, clock := newTestAgent(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := postAnnouncement(a, tt.body)
			require.Equal(t, http.StatusBadRequest, w.Code)
			require.Contains(t, w.Body.String(), tt.want)
		})
	}
	require.Equal(t, serverNone, a.server.state(clock.now))
}

// TestDuplicateAnnouncement checks that a second backend server is refused
// until the announcement of the first one expires.
func TestDuplicateAnnouncement(t *testing.T) {
	a, clock := newTestAgent(t)
	require.Equal(t, http.StatusNoContent, postAnnouncement(a, validAnnouncement).Code)
	second := strings.ReplaceAll(validAnnouncement, "b1", "b2")
	w := postAnnouncement(a, second)
	require.Equal(t, http.StatusConflict, w.Code)
	require.Contains(t, w.Body.String(), "id")
	require.Equal(t, "b1", a.server.current().ID)
	clock.now = clock.now.Add(announcementTTL)
	require.Equal(t, serverDown, a.server.state(clock.now))
	require.Equal(t, http.StatusNoContent, postAnnouncement(a, second).Code)
	require.Equal(t, "b2", a.server.current().ID)
}

// TestServerState checks the states of a backend server whose health checks
// fail and recover and that then announces that it leaves.
func TestServerState(t *testing.T) {
	a, clock := newTestAgent(t)
	postAnnouncement(a, validAnnouncement)
	s := a.server
	require.Equal(t, serverReady, s.state(clock.now))
	s.recordHealthCheck(false, clock.now)
	require.Equal(t, serverReady, s.state(clock.now))
	s.recordHealthCheck(false, clock.now)
	require.Equal(t, serverDown, s.state(clock.now))
	s.recordHealthCheck(true, clock.now)
	require.Equal(t, serverReady, s.state(clock.now))
	postAnnouncement(a, strings.Replace(validAnnouncement, `"slots":8`, `"slots":8,"leaving":true`, 1))
	require.Equal(t, serverDraining, s.state(clock.now))
}

// TestStaleAgentRefusesWork checks that no request starts while the
// configuration is not confirmed as current.
func TestStaleAgentRefusesWork(t *testing.T) {
	a, _ := newTestAgent(t)
	postAnnouncement(a, validAnnouncement)
	require.Equal(t, serverDown, a.announcedState())
	require.EqualValues(t, "stale", a.admitRequest("e1", &wire.Work{Service: "rota", Credit: 1, Remainms: 1000}))
}

// TestCreditAllowsOneRequestOfItsStream checks that a credit allows one request
// of the entry that it was granted to, and none after the entry's stream has
// ended.
func TestCreditAllowsOneRequestOfItsStream(t *testing.T) {
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	g := newGrants(clock, zap.NewNop())
	g.configure(route.AllocatorOptions{Slots: 2}, true)
	gs := &grantStream{id: "e1#1", entry: "e1", events: make(chan *wire.AgentEvent, 10), cancel: func() {}}
	g.addStream(gs)
	credits := (<-gs.events).GetGrant().GetCredits()
	require.Len(t, credits, 2)
	require.False(t, g.useCredit("e2", credits[0].Id, admit.Short), "credit of another entry")
	require.True(t, g.useCredit("e1", credits[0].Id, admit.Short))
	require.False(t, g.useCredit("e1", credits[0].Id, admit.Short), "credit was used already")
	g.removeStream(gs)
	require.False(t, g.useCredit("e1", credits[1].Id, admit.Short), "credit of a stream that has ended")
}

// TestTeamUsageUpdates checks that an entry is sent a team's count of requests
// through other entries once per change, without the entry's own requests.
func TestTeamUsageUpdates(t *testing.T) {
	usage := newTeamUsage()
	usage.add("e1", "linen", 2)
	require.Empty(t, usage.takeUpdates("e1#1", "e1"))
	updates := usage.takeUpdates("e2#1", "e2")
	require.Len(t, updates, 1)
	require.EqualValues(t, 2, updates[0].GetElsewhere().Running)
	require.Empty(t, usage.takeUpdates("e2#1", "e2"), "count was sent already")
	usage.add("e1", "linen", -2)
	require.EqualValues(t, 0, usage.takeUpdates("e2#1", "e2")[0].GetElsewhere().Running)
}
