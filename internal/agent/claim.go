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

// recordAndPass records the answer of a non-idempotent request before passing
// it on, so that a repeated request gets the same answer even if the entry
// fails now.
func (r *request) recordAndPass(resp *http.Response) error {
	header := r.answerHeader(resp)
	recorded, err := io.ReadAll(io.LimitReader(resp.Body, maxRecordedBody+1))
	switch {
	case err != nil:
		ans := unknown(client.CodeTruncated)
		r.settle(ans, nil)
		return r.stream.Send(ans)
	case len(recorded) > maxRecordedBody:
		r.settle(unknown(client.CodeTooLarge), nil)
	default:
		r.settle(header, recorded)
	}
	return r.passAnswer(header, io.MultiReader(bytes.NewReader(recorded), resp.Body))
}

// maxLateOutcomes limits the outcomes that wait to be recorded. Each takes up
// to 64 KiB.
const maxLateOutcomes = 64

// settle records the outcome of a claimed request with control. If no control
// process answers within settleTimeout, it returns and leaves the outcome to
// recordLateOutcomes.
func (r *request) settle(ans *wire.Answer, body []byte) {
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
	case r.agent.lateOutcomes <- lateOutcome{id: r.work.Id, req: req}:
		log.Warn("outcome of a claimed request is not recorded yet")
	default:
		log.Error("outcome of a claimed request could not be recorded", zap.Int("waiting", maxLateOutcomes))
	}
}

// lateOutcome is an outcome that was passed on before it was recorded. Until it
// is recorded, a repeated request is answered with "running".
type lateOutcome struct {
	id  string // of the request
	req *wire.SettleRequest
}

// recordLateOutcomes records the queued outcomes one at a time until ctx is
// done.
func (a *Agent) recordLateOutcomes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case outcome := <-a.lateOutcomes:
			err := a.poller.Call(ctx, wire.MethodSettle, outcome.req, &wire.SettleReply{})
			log := a.env.Log.With(zap.String("request", outcome.id), zap.String("team", outcome.req.Team))
			if err != nil {
				log.Error("outcome of a claimed request could not be recorded", zap.Error(err))
				continue
			}
			log.Info("outcome of a claimed request is recorded")
		}
	}
}
