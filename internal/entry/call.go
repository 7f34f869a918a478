package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const (
	retryTokensPerSuccess = admit.RetryTokensPerSuccess
	retryBurst            = 20
	maxAttempts           = 32          // usually the retry budget or the deadline ends the attempts earlier
	defaultTimeLimit      = time.Minute // for services without a time limit
)

// handleCall serves one caller's request from arrival to answer.
func (e *Entry) handleCall(w http.ResponseWriter, r *http.Request) {
	now := e.env.Clock.Now()
	if code := e.refusalCode(now); code != "" {
		e.refuse(w, r, &callError{status: http.StatusServiceUnavailable, code: code, field: "entry", message: "accepts no requests at present"})
		return
	}
	team, ok := e.currentKeys().teamOf(r)
	if !ok {
		e.refuse(w, r, &callError{status: http.StatusUnauthorized, code: client.CodeDenied, field: "Authorization", message: "no team has this key"})
		return
	}
	cr, err := e.readCall(w, r, team, now)
	if err != nil {
		e.refuse(w, r, err)
		return
	}
	defer e.bodyBuffer.Release(cr.bufferedBytes)
	e.requestStarted()
	defer e.requestEnded()
	defer e.metrics.recordLatency(now, e.env.Clock)
	ctx, cancel := context.WithDeadline(r.Context(), cr.deadline)
	defer cancel()
	if cr.Idempotent {
		e.serve(ctx, w, cr)
		return
	}
	e.serveClaimed(ctx, w, cr)
}

// refusalCode returns the code with which every request is refused at present, or
// "" if requests are accepted.
func (e *Entry) refusalCode(now time.Time) client.Code {
	switch {
	case e.draining.Load():
		return client.CodeDraining
	case !e.conf.Fresh(now):
		return client.CodeStale
	}
	return ""
}

// serve queues the request, sends it to an agent once it has a credit, retries
// where that is safe and sends the answer to the caller.
func (e *Entry) serve(ctx context.Context, w http.ResponseWriter, cr *callRequest) {
	pr := &pendingRequest{req: cr, assigned: make(chan assignment, 1)}
	if err := e.dispatcher.push(pr); err != nil {
		e.releaseClaim(cr, err)
		e.refuse(w, nil, e.refusalError(err, cr))
		return
	}
	var unknown result // of the latest attempt that may have run
	for attempt := 1; ; attempt++ {
		asg, err := e.waitForCredit(ctx, pr)
		switch {
		case err != nil && unknown.mayHaveRun():
			e.finish(w, cr, unknown)
			return
		case err != nil:
			e.releaseClaim(cr, err)
			e.refuse(w, nil, err)
			return
		}
		res := e.dispatch(ctx, w, pr, asg)
		if res.mayHaveRun() {
			unknown = res
		}
		if !res.retryable || !e.retry(pr, asg, res, attempt < maxAttempts) {
			e.finish(w, cr, finalResult(res, unknown))
			return
		}
	}
}

// finalResult returns the result that is reported to the caller. If the last attempt
// did not run but an earlier one may have, the outcome is unknown.
func finalResult(last, unknown result) result {
	if last.outcome == client.OutcomeNotRun && unknown.mayHaveRun() {
		return unknown
	}
	return last
}

// retry queues a request for another attempt and reports whether it did. A
// request that may have run is retried only if it is idempotent and the retry
// budget allows it.
func (e *Entry) retry(pr *pendingRequest, asg assignment, res result, allowed bool) bool {
	if res.outcome == client.OutcomeNotRun {
		return e.dispatcher.requeueNotRun(pr, asg.agent.name, allowed)
	}
	if !allowed || !pr.req.Idempotent || !e.dispatcher.spendRetry() {
		return false
	}
	return e.dispatcher.push(pr) == nil
}

// waitForCredit waits until the request is assigned a credit. If ctx ends first, the
// request is removed from the queue.
func (e *Entry) waitForCredit(ctx context.Context, pr *pendingRequest) (assignment, error) {
	select {
	case asg := <-pr.assigned:
		return e.checkExpired(pr, asg)
	case <-ctx.Done():
	}
	if e.dispatcher.cancel(pr) {
		return assignment{}, deadlineError(pr.req, "the deadline passed or the caller disconnected while the request was queued")
	}
	// The credit was assigned before the request could be removed.
	asg, err := e.checkExpired(pr, <-pr.assigned)
	if err == nil {
		e.dispatcher.abandon(pr, asg)
		err = deadlineError(pr.req, "the deadline passed or the caller disconnected while the request was queued")
	}
	return assignment{}, err
}

// checkExpired returns an error if the request expired in the queue.
func (e *Entry) checkExpired(pr *pendingRequest, asg assignment) (assignment, error) {
	if asg.expired {
		return asg, deadlineError(pr.req, "the request can't finish before its deadline any more")
	}
	return asg, nil
}

// deadlineError returns the error for a request that can't be answered by its
// deadline.
func deadlineError(cr *callRequest, message string) error {
	return &callError{status: http.StatusGatewayTimeout, code: client.CodeDeadline, field: "deadline", message: message + " (request " + cr.ID + ")"}
}

// refusalError converts a refusal by the queue to the error for the caller.
func (e *Entry) refusalError(err error, cr *callRequest) error {
	var ref *admit.Refusal
	if !errors.As(err, &ref) {
		return err
	}
	callErr := &callError{status: http.StatusBadRequest, code: client.CodeMalformed, field: ref.Field, message: ref.Error()}
	switch {
	case errors.Is(err, admit.ErrQueueTooSlow), errors.Is(err, admit.ErrQueueFull):
		callErr.status, callErr.code = http.StatusTooManyRequests, client.CodeBusy
	case errors.Is(err, admit.ErrNotAllowed):
		callErr.status, callErr.code = http.StatusForbidden, client.CodeForbidden
	case errors.Is(err, admit.ErrDuplicateID):
		callErr.status, callErr.code = http.StatusConflict, client.CodeConflict
	}
	e.env.Log.Info("request refused", zap.String("request", cr.ID), zap.String("team", cr.Team), zap.Error(err))
	return &retryError{callError: callErr, retryAt: ref.RetryAt}
}

// retryError is a refusal with the time from which a retry may be accepted.
type retryError struct {
	*callError
	retryAt time.Time
}

// result is the result of one attempt.
type result struct {
	outcome   client.Outcome
	code      client.Code
	status    int
	headers   []*wire.Header
	body      []byte
	retryable bool // another attempt may succeed
	streamed  bool // the answer was written to the caller while it arrived
}

func (r result) mayHaveRun() bool { return r.outcome == client.OutcomeUnknown }
