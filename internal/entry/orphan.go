package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// maxOrphans limits the claims that wait to be released. Each takes about 500
// bytes.
const maxOrphans = 4096

// orphan is the claim, possibly granted, of a request that was refused as not run
// while no control process answered. A resend can't run until it is released.
type orphan struct {
	id    string // id of the request
	claim *wire.ClaimRequest
	epoch uint64 // 0 if it isn't known whether the claim was granted
}

// orphans is the queue of claims that wait to be released.
type orphans chan orphan

func newOrphans() orphans { return make(orphans, maxOrphans) }

// orphan queues the claim of a refused request to be released as soon as a control
// process answers. It is given up if the queue is full.
func (e *Entry) orphan(o *callRequest) {
	select {
	case e.orphans <- orphan{id: o.ID, claim: e.claimRequest(o), epoch: o.claim}:
	default:
		e.env.Log.Error("claim of a request that did not run is not released: too many are waiting", zap.String("request", o.ID),
			zap.String("team", o.Team), zap.Int("waiting", maxOrphans))
	}
}

// watchClaims releases the queued claims one at a time until ctx is done.
func (e *Entry) watchClaims(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case x := <-e.orphans:
			err := e.free(ctx, x)
			if err != nil && ctx.Err() == nil {
				e.env.Log.Warn("claim of a request that did not run can't be released", zap.String("request", x.id),
					zap.String("team", x.claim.Team), zap.Error(err))
			}
		}
	}
}

// free releases a claim. If it isn't known whether the claim was granted, free
// requests it again first, because only its holder may release it. If another
// attempt holds the key, there is nothing to release.
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
	e.env.Log.Info("releasing the claim of a request that did not run", zap.String("request", x.id),
		zap.String("team", x.claim.Team), zap.Uint64("epoch", x.epoch))
	return e.poller.Call(ctx, wire.MethodSettle, &wire.SettleRequest{
		Team: x.claim.Team, Service: x.claim.Service, Key: x.claim.Key, Epoch: x.epoch, Outcome: string(client.OutcomeNotRun),
	}, &wire.SettleReply{})
}
