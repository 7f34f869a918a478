package entry

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// testControl is a link to a control process that has a leader from leaderSince
// on.
// Calls before that are applied, but their replies are lost.
type testControl struct {
	leaderSince time.Time

	mu          sync.Mutex
	claimHolder string // the attempt that holds the only claim; "" if none
}

func (c *testControl) Addr() string { return "control" }

func (c *testControl) Call(_ context.Context, _ string, req, resp proto.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch req := req.(type) {
	case *wire.ClaimRequest:
		rep := resp.(*wire.ClaimReply)
		rep.State = wire.ClaimRunning
		if c.claimHolder == "" {
			c.claimHolder = req.Attempt
		}
		if c.claimHolder == req.Attempt {
			rep.State, rep.Epoch = wire.ClaimGranted, 7
		}
	case *wire.SettleRequest:
		if req.Epoch == 7 && req.Outcome == string(client.OutcomeNotRun) {
			c.claimHolder = ""
		}
	}
	if time.Now().Before(c.leaderSince) {
		return &wire.RemoteError{Code: wire.CodeNotLeader, Text: "leadership was lost"}
	}
	return nil
}

// bubbleClock is the fake clock of the synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() time.Time { return time.Now() }

// newClaimEntry returns an entry whose three control links all lead to c.
func newClaimEntry(c *testControl) *Entry {
	env := &kern.Env{Node: kern.Node{Name: "ent1"}, Log: zap.NewNop(), Clock: bubbleClock{}}
	e := &Entry{env: env, metrics: newMetrics(tally.NoopScope), orphans: newOrphanQueue()}
	e.poller = poll.New("ent1", []poll.Link{c, c, c}, e, env.Clock, env.Log)
	return e
}

// newClaimedRequest returns a non-idempotent request that must be answered in the
// given time.
func newClaimedRequest(timeout time.Duration) *callRequest {
	deadline := time.Now().Add(timeout)
	return &callRequest{
		Request: admit.Request{ID: "r1", Team: "linen", Service: "rota", Key: "van-17", Deadline: deadline}, attemptID: "a", deadline: deadline,
	}
}

// TestClaimIsRetriedUntilLeaderIsElected guards against a refusal when there is no
// leader for a few seconds, as in a rolling restart of the control processes.
func TestClaimIsRetriedUntilLeaderIsElected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newClaimEntry(&testControl{leaderSince: time.Now().Add(5 * time.Second)})
		cr := newClaimedRequest(10 * time.Second)
		ctx, cancel := context.WithDeadline(t.Context(), cr.deadline)
		defer cancel()
		rep, err := e.claim(ctx, cr)
		require.NoError(t, err)
		require.Equal(t, wire.ClaimGranted, rep.State)
	})
}

// TestClaimOfRefusedRequestIsReleased guards against a claim that blocks every
// resend: it was granted, but the reply was lost, and so the request was refused.
func TestClaimOfRefusedRequestIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newClaimEntry(&testControl{leaderSince: time.Now().Add(5 * time.Second)})
		run, stop := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return e.releaseOrphans(run) })
		first := newClaimedRequest(2 * time.Second)
		ctx, cancel := context.WithDeadline(t.Context(), first.deadline)
		defer cancel()
		w := httptest.NewRecorder()
		e.serveClaimed(ctx, w, first)
		require.Equal(t, string(client.OutcomeNotRun), w.Header().Get(client.HeaderOutcome))
		time.Sleep(10 * time.Second) // fake time

		second := newClaimedRequest(2 * time.Second)
		second.attemptID = "b"
		rep, err := e.claim(t.Context(), second)
		require.NoError(t, err)
		require.Equal(t, wire.ClaimGranted, rep.State)
		stop()
		require.NoError(t, g.Wait())
	})
}
