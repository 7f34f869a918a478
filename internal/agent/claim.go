package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// answerClaimed records the answer of a non-idempotent request before it is
// passed on, so that a resend gets the same one even if the entry dies now.
func (r *run) answerClaimed(resp *http.Response) error {
	head := r.head(resp)
	kept, err := io.ReadAll(io.LimitReader(resp.Body, maxKeptAnswer+1))
	switch {
	case err != nil:
		ans := unknown(client.CodeCut)
		r.settle(ans, nil)
		return r.stream.Send(ans)
	case len(kept) > maxKeptAnswer:
		r.settle(unknown(client.CodeTooLarge), nil)
	default:
		r.settle(head, kept)
	}
	return r.pass(head, io.MultiReader(bytes.NewReader(kept), resp.Body))
}

// settle records the outcome of a claimed request. When no control process
// answers, the claim stays open and a resend is told "unknown".
func (r *run) settle(ans *wire.Answer, body []byte) {
	if r.work.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	req := &wire.SettleRequest{
		Team: r.work.Team, Service: r.work.Service, Key: r.work.Key, Epoch: r.work.Epoch,
		Outcome: ans.Outcome, Status: ans.Status, Headers: ans.Headers, Body: body,
	}
	err := r.agent.poller.Call(ctx, wire.MethodSettle, req, &wire.SettleReply{})
	if err != nil && !errors.Is(err, context.Canceled) {
		r.agent.env.Log.Error("outcome of a claimed request could not be recorded",
			zap.String("request", r.work.Id), zap.String("team", r.work.Team), zap.Error(err))
	}
}
