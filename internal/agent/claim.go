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
		ans := unknown(client.CodeTruncated)
		r.settle(ans, nil)
		return r.stream.Send(ans)
	case len(kept) > maxKeptAnswer:
		r.settle(unknown(client.CodeTooLarge), nil)
	default:
		r.settle(head, kept)
	}
	return r.pass(head, io.MultiReader(bytes.NewReader(kept), resp.Body))
}

// maxLate bounds the outcomes that wait to be recorded, at up to 64 KiB each.
const maxLate = 64

// settle records the outcome of a claimed request. When no control process
// answers within settleTimeout, the caller waits no longer, and watchLate goes on.
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
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	log := r.agent.env.Log.With(zap.String("request", r.work.Id), zap.String("team", r.work.Team), zap.Error(err))
	if ctx.Err() == nil {
		log.Error("outcome of a claimed request could not be recorded")
		return
	}
	select {
	case r.agent.late <- late{id: r.work.Id, req: req}:
		log.Warn("outcome of a claimed request is not recorded yet")
	default:
		log.Error("outcome of a claimed request could not be recorded", zap.Int("waiting", maxLate))
	}
}

// late is an outcome that was passed on before it was recorded. Until it is, a
// resend is told "running".
type late struct {
	id  string // of the request
	req *wire.SettleRequest
}

// watchLate records late outcomes until ctx is done, one at a time.
func (a *Agent) watchLate(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-a.late:
			err := a.poller.Call(ctx, wire.MethodSettle, l.req, &wire.SettleReply{})
			log := a.env.Log.With(zap.String("request", l.id), zap.String("team", l.req.Team))
			if err != nil {
				log.Error("outcome of a claimed request could not be recorded", zap.Error(err))
				continue
			}
			log.Info("outcome of a claimed request is recorded")
		}
	}
}
