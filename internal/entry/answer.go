package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// finish records the final result of a request and sends it to the caller. An
// answer that broke off while it was streamed aborts the caller's connection.
func (e *Entry) finish(w http.ResponseWriter, cr *callRequest, res result) {
	e.countOutcome(res.outcome)
	e.recorder.recordOutcome(cr, res)
	e.env.Log.Debug("request ended", zap.String("request", cr.ID), zap.String("team", cr.Team),
		zap.String("service", cr.Service), zap.String("outcome", string(res.outcome)), zap.String("code", string(res.code)))
	switch {
	case res.streamed && res.outcome != client.OutcomeAnswer:
		panic(http.ErrAbortHandler)
	case res.streamed:
	case res.outcome == client.OutcomeAnswer:
		writeAnswerHeader(w, cr, res)
		_ = writePieces(w, res.body, 0)
	case res.outcome == client.OutcomeNotRun:
		e.releaseClaim(cr, errNotAccepted)
		writeError(w, cr.ID, client.OutcomeNotRun, &callError{
			status: http.StatusServiceUnavailable, code: res.code, field: "request",
			message: "no backend server accepted the request; it did not run",
		})
	default:
		writeError(w, cr.ID, client.OutcomeUnknown, &callError{
			status: http.StatusBadGateway, code: res.code, field: "request",
			message: "the answer was lost; the request may have run",
		})
	}
}

var errNotAccepted = errors.New("no backend server accepted the request")

// writeAnswerHeader writes the status and the headers of the backend server's answer.
func writeAnswerHeader(w http.ResponseWriter, cr *callRequest, res result) {
	h := w.Header()
	for _, x := range answerHeaders(res.headers) {
		h.Add(x.Name, string(x.Value))
	}
	h.Set(client.HeaderOutcome, string(client.OutcomeAnswer))
	h.Set(client.HeaderRequestID, cr.ID)
	if !res.streamed {
		h.Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	w.WriteHeader(res.status)
}

// answerHeaders returns the backend server's headers that are forwarded to the
// caller.
func answerHeaders(headers []*wire.Header) []*wire.Header {
	h := http.Header{}
	for _, x := range headers {
		h.Add(x.Name, string(x.Value))
	}
	return forwardedHeaders(h)
}

// refuse tells the caller that the request did not run and why. A nil r leaves
// the request id out of the answer's headers.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, err error) {
	e.countOutcome(client.OutcomeNotRun)
	callErr := &callError{status: http.StatusInternalServerError, code: client.CodeInternal, field: "request", message: "internal error"}
	var retryErr *retryError
	switch {
	case errors.As(err, &retryErr):
		callErr = retryErr.callError
		if !retryErr.retryAt.IsZero() {
			w.Header().Set("Retry-After", retryAfterSeconds(retryErr.retryAt, e.env.Clock.Now()))
		}
	case !errors.As(err, &callErr):
		e.env.Log.Error("request failed", zap.Error(err))
	}
	id := ""
	if r != nil {
		id = r.Header.Get(client.HeaderRequestID)
		if len(id) > maxRequestIDBytes {
			id = ""
		}
	}
	writeError(w, id, client.OutcomeNotRun, callErr)
}

// retryAfterSeconds returns the seconds until at, rounded up so that a retry
// isn't too early.
func retryAfterSeconds(at, now time.Time) string {
	return strconv.Itoa(max(1, int(math.Ceil(at.Sub(now).Seconds()))))
}

func writeError(w http.ResponseWriter, id string, outcome client.Outcome, callErr *callError) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(client.HeaderOutcome, string(outcome))
	if id != "" {
		h.Set(client.HeaderRequestID, id)
	}
	w.WriteHeader(callErr.status)
	_ = json.NewEncoder(w).Encode(client.ErrorBody{Error: &client.Error{Code: callErr.code, Field: callErr.field, Message: callErr.message}})
}
