package contrl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// planLimit is how long a plan may wait to be confirmed.
const planLimit = 15 * time.Minute

// apiCall is one operator's request on the leader.
type apiCall struct {
	c        *Control
	lead     *lead
	operator string
	query    url.Values
	body     []byte
	args     []string // path segments that the route left open
}

// apiFunc carries a call out and returns what is encoded as the answer.
type apiFunc func(ctx context.Context, call *apiCall) (any, error)

// serveAPI carries out an operator's request. Only the leader does so, and
// what it read is passed on only if its lease still holds afterwards.
func (c *Control) serveAPI(ctx context.Context, req *wire.ApiRequest) (*wire.ApiReply, error) {
	l := c.leading()
	if l == nil {
		return nil, notLeader(replog.ErrNotLeader)
	}
	f, args := findRoute(req.Verb, req.Path)
	if f == nil {
		return apiError(&apiFault{status: http.StatusNotFound, code: client.CodeNotFound, field: "path", text: req.Verb + " " + req.Path + " does not exist"}), nil
	}
	query, err := url.ParseQuery(req.Query)
	if err != nil {
		return apiError(invalid("query", err.Error())), nil
	}
	call := &apiCall{c: c, lead: l, operator: req.Operator, query: query, body: req.Body, args: args}
	var out any
	err = c.node.View(ctx, func() error {
		var fault error
		out, fault = f(ctx, call)
		return fault
	})
	if err != nil {
		return faultReply(err)
	}
	body, err := json.Marshal(out)
	if err != nil {
		return nil, errors.Wrap(err, "encode answer")
	}
	return &wire.ApiReply{Status: http.StatusOK, Body: body}, nil
}

// faultReply tells a refusal, which is an answer, from a loss of leadership,
// after which another control process is asked.
func faultReply(err error) (*wire.ApiReply, error) {
	var f *apiFault
	var re *wire.RemoteError
	switch {
	case errors.As(err, &f):
		return apiError(f), nil
	case errors.As(err, &re):
		return nil, re
	case errors.Is(err, replog.ErrNotLeader), errors.Is(err, context.DeadlineExceeded), errors.Is(err, replog.ErrStopped):
		return nil, notLeader(err)
	}
	return apiError(&apiFault{status: http.StatusInternalServerError, code: client.CodeInternal, text: err.Error()}), nil
}

// apiFault is a refusal of an operator's request.
type apiFault struct {
	status   int
	code     client.Code
	field    string
	text     string
	revision uint64
}

// Error implements error.
func (f *apiFault) Error() string { return f.text }

func invalid(field, text string) *apiFault {
	return &apiFault{status: http.StatusBadRequest, code: client.CodeMalformed, field: field, text: text}
}

func missing(what, name string) *apiFault {
	return &apiFault{status: http.StatusNotFound, code: client.CodeNotFound, field: what, text: what + " " + name + " does not exist"}
}

func apiError(f *apiFault) *wire.ApiReply {
	body, _ := json.Marshal(client.ErrorBody{Error: &client.Error{Code: f.code, Field: f.field, Message: f.text, Revision: f.revision}})
	return &wire.ApiReply{Status: uint32(f.status), Body: body}
}

// read decodes the call's body and refuses unknown fields.
func (call *apiCall) read(into any) error {
	dec := json.NewDecoder(bytes.NewReader(call.body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return invalid("body", err.Error())
	}
	return nil
}

// stateFault turns an error of the state machine into a refusal.
func stateFault(res state.Result) error {
	f := &apiFault{status: http.StatusConflict, code: client.CodeConflict, text: res.Err.Error()}
	switch {
	case errors.Is(res.Err, state.ErrNotFound):
		f.status, f.code = http.StatusNotFound, client.CodeNotFound
	case errors.Is(res.Err, state.ErrIntentReused):
		f.code, f.field = client.CodeConflict, "id"
	case errors.Is(res.Err, state.ErrExpired):
		f.code, f.field = client.CodeConflict, "deadline"
	case errors.Is(res.Err, state.ErrRefused):
		f.status, f.code = http.StatusUnprocessableEntity, client.CodeRefused
		if len(res.Refusals) > 0 {
			f.field, f.text = res.Refusals[0].Field, res.Refusals[0].Value+" "+res.Refusals[0].Reason
		}
	case errors.Is(res.Err, state.ErrBadCommand):
		f.status, f.code = http.StatusBadRequest, client.CodeMalformed
	}
	return f
}
