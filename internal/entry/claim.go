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
	settleTimeout = 5 * time.Second
	claimPoll     = 150 * time.Millisecond
)

// serveClaimed serves a non-idempotent request: its claim is committed before
// it is queued, so that it runs at most once whichever entry a resend reaches.
func (e *Entry) serveClaimed(ctx context.Context, w http.ResponseWriter, o *callRequest) {
	if err := checkKey(o); err != nil {
		e.refuse(w, nil, err)
		return
	}
	rep, err := e.claim(ctx, o)
	if err != nil {
		e.refuse(w, nil, e.claimFault(err, o))
		return
	}
	for rep.State == wire.ClaimRunning {
		if !kern.Sleep(ctx, claimPoll) {
			break
		}
		if next, err := e.claim(ctx, o); err == nil {
			rep = next
		}
	}
	switch rep.State {
	case wire.ClaimGranted:
		o.claim = rep.Epoch
		e.serveOwned(ctx, w, o)
	case wire.ClaimAnswered:
		e.finish(w, o, result{outcome: client.OutcomeAnswer, status: int(rep.Status), headers: rep.Headers, body: rep.Body})
	case wire.ClaimRunning:
		e.finish(w, o, result{outcome: client.OutcomeUnknown, code: client.CodeRunning})
	default:
		e.finish(w, o, result{outcome: client.OutcomeUnknown, code: client.CodeLost})
	}
}

// serveOwned serves a request whose claim is ours. It goes on when the caller
// goes away, since the answer is owed to the caller's next resend.
func (e *Entry) serveOwned(ctx context.Context, w http.ResponseWriter, o *callRequest) {
	own, cancel := context.WithDeadline(context.WithoutCancel(ctx), o.deadline)
	defer cancel()
	e.serve(own, w, o)
}

func checkKey(o *callRequest) error {
	switch {
	case o.Key == "":
		return badField(client.HeaderIdempotencyKey, "missing on a request that is not idempotent")
	case len(o.Key) > admit.MaxKeyLen:
		return badField(client.HeaderIdempotencyKey, "longer than 256 bytes")
	}
	return nil
}

// claim asks for the right to run the request, until ctx is done. It has no
// bound of its own: a new leader may stand at any time before the deadline.
func (e *Entry) claim(ctx context.Context, o *callRequest) (*wire.ClaimReply, error) {
	rep := &wire.ClaimReply{}
	err := e.poller.Call(ctx, wire.MethodClaim, e.claimRequest(o), rep)
	return rep, err
}

func (e *Entry) claimRequest(o *callRequest) *wire.ClaimRequest {
	if o.hash == nil {
		o.hash = bodyHash(o)
	}
	return &wire.ClaimRequest{
		Team: o.Team, Service: o.Service, Key: o.Key, Hash: o.hash, Entry: e.env.Node.Name, Attempt: o.attempt,
	}
}

// bodyHash covers all that makes a resend the same request.
func bodyHash(o *callRequest) []byte {
	h := sha256.New()
	h.Write([]byte(o.verb + " " + o.path + "\n"))
	h.Write(o.body)
	return h.Sum(nil)
}

// claimFault says why a claim was not granted. Without a grant nothing runs.
func (e *Entry) claimFault(err error, o *callRequest) error {
	var re *wire.RemoteError
	if errors.As(err, &re) && re.Code == wire.CodeConflict {
		return &fault{status: http.StatusConflict, code: client.CodeConflict, field: client.HeaderIdempotencyKey, text: re.Text}
	}
	if errors.As(err, &re) && re.Code == wire.CodeRefused {
		return badField(client.HeaderIdempotencyKey, re.Text)
	}
	e.orphan(o)
	e.env.Log.Warn("claim could not be made", zap.String("request", o.ID), zap.String("team", o.Team),
		zap.Time("deadline", o.deadline), zap.Strings("reached", e.reached()), zap.Error(err))
	return &fault{status: http.StatusServiceUnavailable, code: client.CodeUnavailable, field: "request", text: "no quorum of control processes took the claim"}
}

// reached returns the addresses of the control processes that there is a session to.
func (e *Entry) reached() []string {
	var addrs []string
	for _, l := range e.links {
		if _, err := l.Session(); err == nil {
			addrs = append(addrs, l.Addr())
		}
	}
	return addrs
}

// settleNotRun frees the claim of a request that was never handed out, so that
// a resend may run.
func (e *Entry) settleNotRun(o *callRequest, cause error) {
	if o.claim == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	err := e.poller.Call(ctx, wire.MethodSettle, &wire.SettleRequest{
		Team: o.Team, Service: o.Service, Key: o.Key, Epoch: o.claim, Outcome: string(client.OutcomeNotRun),
	}, &wire.SettleReply{})
	if err != nil {
		e.orphan(o)
		e.env.Log.Warn("claim of a request that did not run is not freed yet", zap.String("request", o.ID),
			zap.String("team", o.Team), zap.NamedError("refusal", cause), zap.Error(err))
	}
}
