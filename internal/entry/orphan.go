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

// orphanClaim is the claim, possibly granted, of a request that was refused as
// not run while no control process answered. A resend can't run until it is
// released.
type orphanClaim struct {
	requestID string
	claim     *wire.ClaimRequest
	epoch     uint64 // 0 if it isn't known whether the claim was granted
}

// orphanQueue is the queue of claims that wait to be released.
type orphanQueue chan orphanClaim

func newOrphanQueue() orphanQueue { return make(orphanQueue, maxOrphans) }

// queueOrphan queues the claim of a refused request to be released as soon as a
// control process answers. It is given up if the queue is full.
func (e *Entry) queueOrphan(cr *callRequest) {
	select {
	case e.orphans <- orphanClaim{requestID: cr.ID, claim: e.claimRequest(cr), epoch: cr.claimEpoch}:
	default:
		e.env.Log.Error("claim of a request that did not run is not released: too many are waiting", zap.String("request", cr.ID),
			zap.String("team", cr.Team), zap.Int("waiting", maxOrphans))
	}
}

// releaseOrphans releases the queued claims one at a time until ctx is done.
func (e *Entry) releaseOrphans(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case orphan := <-e.orphans:
			err := e.releaseOrphan(ctx, orphan)
			if err != nil && ctx.Err() == nil {
				e.env.Log.Warn("claim of a request that did not run can't be released", zap.String("request", orphan.requestID),
					zap.String("team", orphan.claim.Team), zap.Error(err))
			}
		}
	}
}

// releaseOrphan releases a claim. If it isn't known whether the claim was granted, it
// is requested again first, because only its holder may release it. If another
// attempt holds the key, there is nothing to release.
func (e *Entry) releaseOrphan(ctx context.Context, orphan orphanClaim) error {
	if orphan.epoch == 0 {
		rep := &wire.ClaimReply{}
		if err := e.poller.Call(ctx, wire.MethodClaim, orphan.claim, rep); err != nil {
			return err
		}
		if rep.State != wire.ClaimGranted {
			return nil
		}
		orphan.epoch = rep.Epoch
	}
	e.env.Log.Info("releasing the claim of a request that did not run", zap.String("request", orphan.requestID),
		zap.String("team", orphan.claim.Team), zap.Uint64("epoch", orphan.epoch))
	return e.poller.Call(ctx, wire.MethodSettle, &wire.SettleRequest{
		Team: orphan.claim.Team, Service: orphan.claim.Service, Key: orphan.claim.Key, Epoch: orphan.epoch, Outcome: string(client.OutcomeNotRun),
	}, &wire.SettleReply{})
}
