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
	retryShare   = admit.RetryTokensPerSuccess
	retryBurst   = 20
	maxAttempts  = 32 // the retry budget and the deadline are the usual bounds
	defaultLimit = time.Minute
)

// handleCall serves one caller's request from its arrival to its answer.
func (e *Entry) handleCall(w http.ResponseWriter, r *http.Request) {
	now := e.env.Clock.Now()
	if code := e.closed(now); code != "" {
		e.refuse(w, r, &fault{status: http.StatusServiceUnavailable, code: code, field: "entry", text: "takes no requests now"})
		return
	}
	team, ok := e.callers().team(r)
	if !ok {
		e.refuse(w, r, &fault{status: http.StatusUnauthorized, code: client.CodeDenied, field: "Authorization", text: "no team has this key"})
		return
	}
	o, err := e.readCall(w, r, team, now)
	if err != nil {
		e.refuse(w, r, err)
		return
	}
	defer e.buffer.Release(o.held)
	e.began()
	defer e.ended()
	defer e.meters.took(now, e.env.Clock)
	ctx, cancel := context.WithDeadline(r.Context(), o.deadline)
	defer cancel()
	if o.Idempotent {
		e.serve(ctx, w, o)
		return
	}
	e.serveClaimed(ctx, w, o)
}

// closed returns the code with which every request is refused now, if any.
func (e *Entry) closed(now time.Time) client.Code {
	switch {
	case e.draining.Load():
		return client.CodeDraining
	case !e.conf.Fresh(now):
		return client.CodeStale
	}
	return ""
}

// serve queues the request, sends it against a credit and passes the answer on.
func (e *Entry) serve(ctx context.Context, w http.ResponseWriter, o *callRequest) {
	f := &pending{req: o, start: make(chan start, 1)}
	if err := e.disp.push(f); err != nil {
		e.settleNotRun(o, err)
		e.refuse(w, nil, e.refusal(err, o))
		return
	}
	var lost result // of an attempt that may have run
	for attempt := 1; ; attempt++ {
		st, err := e.wait(ctx, f)
		switch {
		case err != nil && lost.mayHaveRun():
			e.finish(w, o, lost)
			return
		case err != nil:
			e.settleNotRun(o, err)
			e.refuse(w, nil, err)
			return
		}
		res := e.dispatch(ctx, w, f, st)
		if res.mayHaveRun() {
			lost = res
		}
		if !res.again || !e.again(f, st, res, attempt < maxAttempts) {
			e.finish(w, o, truth(res, lost))
			return
		}
	}
}

// truth is what the caller is told after the last attempt: when an earlier one
// may have run, "not run" would not be true.
func truth(last, lost result) result {
	if last.outcome == client.OutcomeNotRun && lost.mayHaveRun() {
		return lost
	}
	return last
}

// again queues a request once more where that can't make it run twice.
func (e *Entry) again(f *pending, st start, res result, allowed bool) bool {
	if res.outcome == client.OutcomeNotRun {
		return e.disp.returned(f, st.agent.name, allowed)
	}
	if !allowed || !f.req.Idempotent || !e.disp.retry() {
		return false
	}
	return e.disp.push(f) == nil
}

// wait returns once the request has a credit.
func (e *Entry) wait(ctx context.Context, f *pending) (start, error) {
	select {
	case st := <-f.start:
		return e.begin(f, st)
	case <-ctx.Done():
	}
	if e.disp.cancel(f) {
		return start{}, late(f.req, "the deadline passed or the caller went away while the request was queued")
	}
	// The credit came at the same moment.
	st, err := e.begin(f, <-f.start)
	if err == nil {
		e.disp.abandon(f, st)
		err = late(f.req, "the deadline passed or the caller went away while the request was queued")
	}
	return start{}, err
}

func (e *Entry) begin(f *pending, st start) (start, error) {
	if st.expired {
		return st, late(f.req, "the request can't finish before its deadline any more")
	}
	return st, nil
}

func late(o *callRequest, text string) error {
	return &fault{status: http.StatusGatewayTimeout, code: client.CodeDeadline, field: "deadline", text: text + " (request " + o.ID + ")"}
}

// refusal turns a refusal by the queue into an answer for the caller.
func (e *Entry) refusal(err error, o *callRequest) error {
	var ref *admit.Refusal
	if !errors.As(err, &ref) {
		return err
	}
	f := &fault{status: http.StatusBadRequest, code: client.CodeMalformed, field: ref.Field, text: ref.Error()}
	switch {
	case errors.Is(err, admit.ErrQueueTooSlow), errors.Is(err, admit.ErrQueueFull):
		f.status, f.code = http.StatusTooManyRequests, client.CodeBusy
	case errors.Is(err, admit.ErrNotAllowed):
		f.status, f.code = http.StatusForbidden, client.CodeForbidden
	case errors.Is(err, admit.ErrDuplicateID):
		f.status, f.code = http.StatusConflict, client.CodeConflict
	}
	e.env.Log.Info("request refused", zap.String("request", o.ID), zap.String("team", o.Team), zap.Error(err))
	return &retryFault{fault: f, at: ref.RetryAt}
}

// retryFault is a refusal with the time from which a retry would be accepted.
type retryFault struct {
	*fault
	at time.Time
}

// result is what one attempt came to.
type result struct {
	outcome client.Outcome
	code    client.Code
	status  int
	headers []*wire.Header
	body    []byte
	again   bool // another attempt may do better
	passed  bool // the answer has already been passed on
}

func (r result) mayHaveRun() bool { return r.outcome == client.OutcomeUnknown }
