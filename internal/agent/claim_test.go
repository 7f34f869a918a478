package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// testControl is a link to a control process that knows no leader before ready.
type testControl struct {
	leaderKnownAt time.Time
	settled       chan *wire.SettleRequest
}

func (c *testControl) Addr() string { return "control" }

func (c *testControl) Call(_ context.Context, _ string, req, _ proto.Message) error {
	if time.Now().Before(c.leaderKnownAt) {
		return &wire.RemoteError{Code: wire.CodeNotLeader, Text: "no leader is known here"}
	}
	if r, ok := req.(*wire.SettleRequest); ok {
		c.settled <- r
	}
	return nil
}

// TestOutcomeIsRecordedOnceThereIsALeader checks that an outcome is recorded
// later if there was no leader when the request ended. Otherwise a repeated
// request would still be answered with "running".
func TestOutcomeIsRecordedOnceThereIsALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		c := &testControl{leaderKnownAt: began.Add(10 * time.Second), settled: make(chan *wire.SettleRequest, 1)}
		a := &Agent{env: &kern.Env{Log: zap.NewNop()}, lateOutcomes: make(chan lateOutcome, maxLateOutcomes)}
		a.poller = poll.New("a1", []poll.Link{c}, a, nil, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return a.recordLateOutcomes(ctx) })
		r := &request{agent: a, work: &wire.Work{Id: "r1", Team: "linen", Service: "rota", Key: "van-17", Epoch: 7}}
		r.settle(&wire.Answer{Outcome: string(client.OutcomeAnswer), Status: 200}, []byte("folded"))
		require.Less(t, time.Since(began), 2*settleTimeout, "the caller must not wait until the outcome is recorded")
		time.Sleep(10 * time.Second) // in the fake time of synctest
		select {
		case req := <-c.settled:
			require.EqualValues(t, 7, req.Epoch)
			require.Equal(t, "folded", string(req.Body))
		default:
			require.Fail(t, "outcome not recorded")
		}
		cancel()
		require.NoError(t, g.Wait())
	})
}
