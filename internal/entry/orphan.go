package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// maxOrphans bounds the claims that wait to be freed, at some 500 bytes each.
const maxOrphans = 4096

// orphan is a claim of a request that was refused as not run while no control
// process answered. Until it is freed, a resend can't run.
type orphan struct {
	id    string // of the request
	claim *wire.ClaimRequest
	epoch uint64 // 0 if it isn't known whether the claim was granted
}

// orphans are the claims that wait to be freed.
type orphans chan orphan

func newOrphans() orphans { return make(orphans, maxOrphans) }

// orphan has the claim of a refused request freed as soon as a control process answers.
func (e *Entry) orphan(o *callRequest) {
	select {
	case e.orphans <- orphan{id: o.ID, claim: e.claimRequest(o), epoch: o.claim}:
	default:
		e.env.Log.Error("claim of a request that did not run is given up", zap.String("request", o.ID),
			zap.String("team", o.Team), zap.Int("waiting", maxOrphans))
	}
}

// watchClaims frees orphans until ctx is done, one at a time.
func (e *Entry) watchClaims(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case x := <-e.orphans:
			err := e.free(ctx, x)
			if err != nil && ctx.Err() == nil {
				e.env.Log.Warn("claim of a request that did not run can't be freed", zap.String("request", x.id),
					zap.String("team", x.claim.Team), zap.Error(err))
			}
		}
	}
}

// free asks for an orphan's claim once more, since only its holder may free it.
// When another attempt holds the key, there is nothing to free.
func (e *Entry) free(ctx context.Context, x orphan) error {
	if x.epoch == 0 {
		rep := &wire.ClaimReply{}
		if err := e.poller.Call(ctx, wire.MethodClaim, x.claim, rep); err != nil {
			return err
		}
		if rep.State != wire.ClaimGranted {
			return nil
		}
		x.epoch = rep.Epoch
	}
	e.env.Log.Info("claim of a request that did not run is freed", zap.String("request", x.id),
		zap.String("team", x.claim.Team), zap.Uint64("epoch", x.epoch))
	return e.poller.Call(ctx, wire.MethodSettle, &wire.SettleRequest{
		Team: x.claim.Team, Service: x.claim.Service, Key: x.claim.Key, Epoch: x.epoch, Outcome: string(client.OutcomeNotRun),
	}, &wire.SettleReply{})
}
