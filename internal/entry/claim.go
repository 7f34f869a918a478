package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const (
	settleTimeout     = 5 * time.Second
	claimPollInterval = 150 * time.Millisecond
)

// serveClaimed serves a non-idempotent request: its claim is committed before
// it is queued, so that it runs at most once even if a resend reaches another
// entry.
func (e *Entry) serveClaimed(ctx context.Context, w http.ResponseWriter, cr *callRequest) {
	if err := checkKey(cr); err != nil {
		e.refuse(w, nil, err)
		return
	}
	rep, err := e.claim(ctx, cr)
	if err != nil {
		e.refuse(w, nil, e.claimError(err, cr))
		return
	}
	for rep.State == wire.ClaimRunning {
		if !kern.Sleep(ctx, claimPollInterval) {
			break
		}
		if next, err := e.claim(ctx, cr); err == nil {
			rep = next
		}
	}
	switch rep.State {
	case wire.ClaimGranted:
		cr.claimEpoch = rep.Epoch
		e.serveDetached(ctx, w, cr)
	case wire.ClaimAnswered:
		e.finish(w, cr, result{outcome: client.OutcomeAnswer, status: int(rep.Status), headers: rep.Headers, body: rep.Body})
	case wire.ClaimRunning:
		e.finish(w, cr, result{outcome: client.OutcomeUnknown, code: client.CodeRunning})
	default:
		e.finish(w, cr, result{outcome: client.OutcomeUnknown, code: client.CodeLost})
	}
}

// serveDetached serves a request whose claim this entry holds. It continues after
// the caller disconnects, since a resend with the same key gets the answer.
func (e *Entry) serveDetached(ctx context.Context, w http.ResponseWriter, cr *callRequest) {
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), cr.deadline)
	defer cancel()
	e.serve(detached, w, cr)
}

// checkKey checks that a non-idempotent request has a valid key.
func checkKey(cr *callRequest) error {
	switch {
	case cr.Key == "":
		return badRequest(client.HeaderIdempotencyKey, "missing on a request that is not idempotent")
	case len(cr.Key) > admit.MaxKeyLen:
		return badRequest(client.HeaderIdempotencyKey, "longer than 256 bytes")
	}
	return nil
}

// claim asks the control processes for the right to run the request. It retries
// until ctx is done and has no shorter timeout, because a new leader may be
// elected at any time before the deadline.
func (e *Entry) claim(ctx context.Context, cr *callRequest) (*wire.ClaimReply, error) {
	rep := &wire.ClaimReply{}
	err := e.poller.Call(ctx, wire.MethodClaim, e.claimRequest(cr), rep)
	return rep, err
}

func (e *Entry) claimRequest(cr *callRequest) *wire.ClaimRequest {
	if cr.hash == nil {
		cr.hash = requestHash(cr)
	}
	return &wire.ClaimRequest{
		Team: cr.Team, Service: cr.Service, Key: cr.Key, Hash: cr.hash, Entry: e.env.Node.Name, Attempt: cr.attemptID,
	}
}

// requestHash hashes the method, the path and the body. A resend under the same
// key must have the same hash.
func requestHash(cr *callRequest) []byte {
	h := sha256.New()
	h.Write([]byte(cr.method + " " + cr.path + "\n"))
	h.Write(cr.body)
	return h.Sum(nil)
}

// claimError converts the error of a claim that was not granted to the error for
// the caller. A request without a granted claim doesn't run.
func (e *Entry) claimError(err error, cr *callRequest) error {
	var re *wire.RemoteError
	if errors.As(err, &re) && re.Code == wire.CodeConflict {
		return &callError{status: http.StatusConflict, code: client.CodeConflict, field: client.HeaderIdempotencyKey, message: re.Text}
	}
	if errors.As(err, &re) && re.Code == wire.CodeRefused {
		return badRequest(client.HeaderIdempotencyKey, re.Text)
	}
	e.queueOrphan(cr)
	e.env.Log.Warn("claim could not be made", zap.String("request", cr.ID), zap.String("team", cr.Team),
		zap.Time("deadline", cr.deadline), zap.Strings("reached", e.connectedControls()), zap.Error(err))
	return &callError{status: http.StatusServiceUnavailable, code: client.CodeUnavailable, field: "request", message: "no quorum of control processes committed the claim"}
}

// connectedControls returns the addresses of the connected control processes.
func (e *Entry) connectedControls() []string {
	var addrs []string
	for _, l := range e.controlLinks {
		if _, err := l.Session(); err == nil {
			addrs = append(addrs, l.Addr())
		}
	}
	return addrs
}

// releaseClaim releases the claim of a request that did not run, so that a
// resend may run.
func (e *Entry) releaseClaim(cr *callRequest, cause error) {
	if cr.claimEpoch == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	err := e.poller.Call(ctx, wire.MethodSettle, &wire.SettleRequest{
		Team: cr.Team, Service: cr.Service, Key: cr.Key, Epoch: cr.claimEpoch, Outcome: string(client.OutcomeNotRun),
	}, &wire.SettleReply{})
	if err != nil {
		e.queueOrphan(cr)
		e.env.Log.Warn("claim of a request that did not run is not released yet", zap.String("request", cr.ID),
			zap.String("team", cr.Team), zap.NamedError("refusal", cause), zap.Error(err))
	}
}
