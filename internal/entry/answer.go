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

// finish passes the result of the last attempt on to the caller.
func (e *Entry) finish(w http.ResponseWriter, o *callRequest, res result) {
	e.count(res.outcome)
	e.rec.ended(o, res)
	e.env.Log.Debug("request ended", zap.String("request", o.ID), zap.String("team", o.Team),
		zap.String("service", o.Service), zap.String("outcome", string(res.outcome)), zap.String("code", string(res.code)))
	switch {
	case res.passed && res.outcome != client.OutcomeAnswer:
		panic(http.ErrAbortHandler)
	case res.passed:
	case res.outcome == client.OutcomeAnswer:
		writeHead(w, o, res)
		_, _ = w.Write(res.body)
	case res.outcome == client.OutcomeNotRun:
		e.settleNotRun(o, errNoTaker)
		writeFault(w, o.ID, client.OutcomeNotRun, &fault{
			status: http.StatusServiceUnavailable, code: res.code, field: "request",
			text: "no backend server took the request; it did not run",
		})
	default:
		writeFault(w, o.ID, client.OutcomeUnknown, &fault{
			status: http.StatusBadGateway, code: res.code, field: "request",
			text: "the answer was lost; the request may have run",
		})
	}
}

var errNoTaker = errors.New("no backend server took the request")

func writeHead(w http.ResponseWriter, o *callRequest, res result) {
	h := w.Header()
	for _, x := range backHeaders(res.headers) {
		h.Add(x.Name, string(x.Value))
	}
	h.Set(client.HeaderOutcome, string(client.OutcomeAnswer))
	h.Set(client.HeaderRequestID, o.ID)
	if !res.passed {
		h.Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	w.WriteHeader(res.status)
}

// backHeaders returns the backend server's headers that pass to the caller.
func backHeaders(hs []*wire.Header) []*wire.Header {
	h := http.Header{}
	for _, x := range hs {
		h.Add(x.Name, string(x.Value))
	}
	return forwarded(h)
}

// refuse tells the caller that the request did not run, and why.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, err error) {
	e.count(client.OutcomeNotRun)
	f := &fault{status: http.StatusInternalServerError, code: client.CodeInternal, field: "request", text: "internal error"}
	var rf *retryFault
	switch {
	case errors.As(err, &rf):
		f = rf.fault
		if !rf.at.IsZero() {
			w.Header().Set("Retry-After", retryAfter(rf.at, e.env.Clock.Now()))
		}
	case !errors.As(err, &f):
		e.env.Log.Error("request failed", zap.Error(err))
	}
	id := ""
	if r != nil {
		id = r.Header.Get(client.HeaderRequestID)
		if len(id) > maxRequestID {
			id = ""
		}
	}
	writeFault(w, id, client.OutcomeNotRun, f)
}

// retryAfter rounds up to whole seconds, so that a retry is never too early.
func retryAfter(at, now time.Time) string {
	return strconv.Itoa(max(1, int(math.Ceil(at.Sub(now).Seconds()))))
}

func writeFault(w http.ResponseWriter, id string, out client.Outcome, f *fault) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(client.HeaderOutcome, string(out))
	if id != "" {
		h.Set(client.HeaderRequestID, id)
	}
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(client.ErrorBody{Error: &client.Error{Code: f.code, Field: f.field, Message: f.text}})
}
