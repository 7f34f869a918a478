package poll

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

// testLink is a Link that answers with the result of a function and counts its calls.
type testLink struct {
	addr   string
	calls  int
	answer func(resp proto.Message) error
}

func (l *testLink) Addr() string { return l.addr }

func (l *testLink) Call(_ context.Context, _ string, _, resp proto.Message) error {
	l.calls++
	return l.answer(resp)
}

// testNode is a Node that records until when the last answer is valid.
type testNode struct{ freshUntil time.Time }

func (n *testNode) SyncRequest() *wire.SyncRequest { return &wire.SyncRequest{} }

func (n *testNode) HandleSyncReply(_ *wire.SyncReply, freshUntil time.Time) error {
	n.freshUntil = freshUntil
	return nil
}

// TestValidityIsCountedFromTheSending checks that a delayed answer is not valid for
// longer.
func TestValidityIsCountedFromTheSending(t *testing.T) {
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	sent := clock.now
	l := &testLink{answer: func(resp proto.Message) error {
		clock.now = clock.now.Add(3 * time.Second)
		resp.(*wire.SyncReply).Vouchms = 4000
		return nil
	}}
	n := &testNode{}
	p := New("a1", []Link{l}, n, clock, zap.NewNop())
	require.NoError(t, p.sendHeartbeat(context.Background(), l))
	require.Equal(t, sent.Add(4*time.Second), n.freshUntil)
	require.Equal(t, sent.Add(LeaseTerm), LeaseDeadline(sent.Add(conf.MaxStaleness)))
}

// TestCallTriesTheNextProcess checks that a call skips a control process that is down and
// one that knows no leader, and ends with a refusal.
func TestCallTriesTheNextProcess(t *testing.T) {
	down := &testLink{addr: "down", answer: func(proto.Message) error { return errors.New("connection refused") }}
	follower := &testLink{addr: "follower", answer: func(proto.Message) error {
		return &wire.RemoteError{Code: wire.CodeNotLeader}
	}}
	leader := &testLink{addr: "leader", answer: func(proto.Message) error {
		return &wire.RemoteError{Code: wire.CodeConflict, Text: "another body"}
	}}
	p := New("a1", []Link{down, follower, leader}, &testNode{}, &testClock{}, zap.NewNop())
	p.current.Store(0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := p.Call(ctx, wire.MethodClaim, &wire.ClaimRequest{}, &wire.ClaimReply{})
	var re *wire.RemoteError
	require.ErrorAs(t, err, &re)
	require.Equal(t, wire.CodeConflict, re.Code)
	require.Equal(t, []int{1, 1, 1}, []int{down.calls, follower.calls, leader.calls})
}

// TestApplyConfig checks that an older configuration is refused, and that the stored one
// is no longer fresh when a newer revision is announced but not received.
func TestApplyConfig(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := conf.NewHolder("c")
	full := []byte(`{"cluster":"c","revision":5,"full":true}`)
	require.NoError(t, ApplyConfig(h, &wire.SyncReply{Revision: 5, Config: full}, now.Add(time.Second), zap.NewNop()))
	require.True(t, h.Fresh(now))
	old := []byte(`{"cluster":"c","revision":4,"full":true}`)
	require.ErrorIs(t, ApplyConfig(h, &wire.SyncReply{Revision: 5, Config: old}, now.Add(time.Hour), zap.NewNop()), conf.ErrStale)
	require.NoError(t, ApplyConfig(h, &wire.SyncReply{Revision: 6}, now.Add(time.Hour), zap.NewNop()))
	require.False(t, h.Fresh(now.Add(2*time.Second)), "fresh though revision 6 exists and was not received")
	require.EqualValues(t, 5, h.Revision())
}
