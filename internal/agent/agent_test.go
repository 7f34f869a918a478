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

func announce(a *Agent, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	a.announceHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
	return w
}

const good = `{"id":"b1","service":"rota","addr":"127.0.0.1:9","slots":8}`

// TestInvalidAnnouncementIsRefused posts what is wrong; each answer names the field.
func TestInvalidAnnouncementIsRefused(t *testing.T) {
	tests := []struct{ name, body, want string }{
		{"half", good[:20], "announcement"},
		{"unknown field", `{"id":"b1","speed":3}`, "speed"},
		{"no id", `{"service":"rota","addr":"127.0.0.1:9","slots":8}`, "id"},
		{"no service", `{"id":"b1","addr":"127.0.0.1:9","slots":8}`, "service"},
		{"zero slots", `{"id":"b1","service":"rota","addr":"127.0.0.1:9"}`, "slots"},
		{"too many slots", `{"id":"b1","service":"rota","addr":"127.0.0.1:9","slots":100000}`, "slots"},
		{"name for an address", `{"id":"b1","service":"rota","addr":"host:9","slots":8}`, "addr"},
		{"port 0", `{"id":"b1","service":"rota","addr":"127.0.0.1:0","slots":8}`, "addr"},
		{"large", `{"id":"` + strings.Repeat("x", 10_000) + `"}`, "announcement"},
	}
	a, clock := newTestAgent(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := announce(a, tt.body)
			require.Equal(t, http.StatusBadRequest, w.Code)
			require.Contains(t, w.Body.String(), tt.want)
		})
	}
	require.Equal(t, serverNone, a.server.state(clock.now))
}

// TestDuplicateAnnouncement refuses a second backend server while the first
// one's announcement holds.
func TestDuplicateAnnouncement(t *testing.T) {
	a, clock := newTestAgent(t)
	require.Equal(t, http.StatusNoContent, announce(a, good).Code)
	other := strings.ReplaceAll(good, "b1", "b2")
	w := announce(a, other)
	require.Equal(t, http.StatusConflict, w.Code)
	require.Contains(t, w.Body.String(), "id")
	require.Equal(t, "b1", a.server.current().ID)
	clock.now = clock.now.Add(announceLimit)
	require.Equal(t, serverDown, a.server.state(clock.now))
	require.Equal(t, http.StatusNoContent, announce(a, other).Code)
	require.Equal(t, "b2", a.server.current().ID)
}

// TestServerState follows a backend server through health checks and leaving.
func TestServerState(t *testing.T) {
	a, clock := newTestAgent(t)
	announce(a, good)
	s := a.server
	require.Equal(t, serverReady, s.state(clock.now))
	s.checked(false, clock.now)
	require.Equal(t, serverReady, s.state(clock.now))
	s.checked(false, clock.now)
	require.Equal(t, serverDown, s.state(clock.now))
	s.checked(true, clock.now)
	require.Equal(t, serverReady, s.state(clock.now))
	announce(a, strings.Replace(good, `"slots":8`, `"slots":8,"leaving":true`, 1))
	require.Equal(t, serverDraining, s.state(clock.now))
}

// TestStaleAgentRefusesWork checks the last check before work starts: without
// a configuration that is vouched for, nothing starts.
func TestStaleAgentRefusesWork(t *testing.T) {
	a, _ := newTestAgent(t)
	announce(a, good)
	require.Equal(t, serverDown, a.offered())
	require.EqualValues(t, "stale", a.take("e1", &wire.Work{Service: "rota", Credit: 1, Remainms: 1000}))
}

// TestCreditAllowsOneRequestOfItsStream checks that a credit admits one request of the
// entry that it was granted to, and none once its stream has ended.
func TestCreditAllowsOneRequestOfItsStream(t *testing.T) {
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	g := newGrants(clock, zap.NewNop())
	g.configure(route.AllocatorOptions{Slots: 2}, true)
	m := &member{id: "e1#1", entry: "e1", events: make(chan *wire.AgentEvent, 10), cancel: func() {}}
	g.join(m)
	credits := (<-m.events).GetGrant().GetCredits()
	require.Len(t, credits, 2)
	require.False(t, g.take("e2", credits[0].Id, admit.Short), "another entry's credit")
	require.True(t, g.take("e1", credits[0].Id, admit.Short))
	require.False(t, g.take("e1", credits[0].Id, admit.Short), "a credit admits one request")
	g.leave(m)
	require.False(t, g.take("e1", credits[1].Id, admit.Short), "the stream has ended")
}

// TestTeamUsageUpdates checks that an entry hears once of what a team runs through the
// other ones, and not of its own.
func TestTeamUsageUpdates(t *testing.T) {
	s := newShares()
	s.add("e1", "linen", 2)
	require.Empty(t, s.news("e1#1", "e1"))
	news := s.news("e2#1", "e2")
	require.Len(t, news, 1)
	require.EqualValues(t, 2, news[0].GetElsewhere().Running)
	require.Empty(t, s.news("e2#1", "e2"), "told already")
	s.add("e1", "linen", -2)
	require.EqualValues(t, 0, s.news("e2#1", "e2")[0].GetElsewhere().Running)
}
