package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// testControl is a link to a control process that knows a leader from ready on.
type testControl struct{ ready time.Time }

func (c *testControl) Addr() string { return "control" }

func (c *testControl) Call(_ context.Context, _ string, _, resp proto.Message) error {
	if time.Now().Before(c.ready) {
		return &wire.RemoteError{Code: wire.CodeNotLeader, Text: "no leader is known here"}
	}
	if rep, ok := resp.(*wire.ClaimReply); ok {
		rep.State, rep.Epoch = wire.ClaimGranted, 7
	}
	return nil
}

// bubbleClock is the clock of the test's synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() time.Time { return time.Now() }

func newClaimEntry(c *testControl) *Entry {
	env := &kern.Env{Node: kern.Node{Name: "ent1"}, Log: zap.NewNop(), Clock: bubbleClock{}}
	e := &Entry{env: env}
	e.poller = poll.New("ent1", []poll.Link{c, c, c}, e, env.Clock, env.Log)
	return e
}

func newClaimed(within time.Duration) *callRequest {
	deadline := time.Now().Add(within)
	return &callRequest{
		Request: admit.Request{ID: "r1", Team: "linen", Service: "rota", Key: "van-17", Deadline: deadline}, attempt: "a", deadline: deadline,
	}
}

// TestClaimOutlastsTheGapBetweenLeaders guards against a refusal while control
// processes restart in turn.
func TestClaimOutlastsTheGapBetweenLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newClaimEntry(&testControl{ready: time.Now().Add(5 * time.Second)})
		o := newClaimed(10 * time.Second)
		ctx, cancel := context.WithDeadline(t.Context(), o.deadline)
		defer cancel()
		rep, err := e.claim(ctx, o)
		require.NoError(t, err)
		require.Equal(t, wire.ClaimGranted, rep.State)
	})
}
