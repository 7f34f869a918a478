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

// planTTL is how long after its creation a plan can be confirmed.
const planTTL = 15 * time.Minute

// apiCall is an operator's request that the leader handles.
type apiCall struct {
	c          *Control
	leader     *leader
	operator   string
	query      url.Values
	body       []byte
	pathParams []string // path segments that match a wildcard of the route
}

// apiHandler handles a call. Its result is encoded as the body of the answer.
type apiHandler func(ctx context.Context, call *apiCall) (any, error)

// handleAPI handles an operator's request. Only the leader does so, and it
// returns what it read only if it still holds the leader's lease afterwards.
func (c *Control) handleAPI(ctx context.Context, req *wire.ApiRequest) (*wire.ApiReply, error) {
	l := c.activeLeader()
	if l == nil {
		return nil, notLeader(replog.ErrNotLeader)
	}
	handle, pathParams := findRoute(req.Verb, req.Path)
	if handle == nil {
		return encodeError(&apiError{status: http.StatusNotFound, code: client.CodeNotFound, field: "path", message: req.Verb + " " + req.Path + " does not exist"}), nil
	}
	query, err := url.ParseQuery(req.Query)
	if err != nil {
		return encodeError(invalidField("query", err.Error())), nil
	}
	call := &apiCall{c: c, leader: l, operator: req.Operator, query: query, body: req.Body, pathParams: pathParams}
	var out any
	err = c.node.View(ctx, func() error {
		var handlerErr error
		out, handlerErr = handle(ctx, call)
		return handlerErr
	})
	if err != nil {
		return errorReply(err)
	}
	body, err := json.Marshal(out)
	if err != nil {
		return nil, errors.Wrap(err, "encode answer")
	}
	return &wire.ApiReply{Status: http.StatusOK, Body: body}, nil
}

// errorReply returns a refusal as an answer, that of the log too, and a loss of
// leadership as an error, after which the caller asks another control process.
func errorReply(err error) (*wire.ApiReply, error) {
	var refusal *apiError
	var remoteErr *wire.RemoteError
	switch {
	case errors.As(err, &refusal):
		return encodeError(refusal), nil
	case errors.As(err, &remoteErr) && remoteErr.Code == wire.CodeRefused:
		return encodeError(&apiError{status: http.StatusRequestEntityTooLarge, code: client.CodeTooLarge, field: "body", message: remoteErr.Text}), nil
	case errors.As(err, &remoteErr):
		return nil, remoteErr
	case errors.Is(err, replog.ErrNotLeader), errors.Is(err, context.DeadlineExceeded), errors.Is(err, replog.ErrStopped):
		return nil, notLeader(err)
	}
	return encodeError(&apiError{status: http.StatusInternalServerError, code: client.CodeInternal, message: err.Error()}), nil
}

// apiError is the error with which an operator's request is refused.
type apiError struct {
	status   int
	code     client.Code
	field    string
	message  string
	revision uint64
}

// Error implements error.
func (e *apiError) Error() string { return e.message }

// invalidField returns the error for a field whose value is not valid.
func invalidField(field, message string) *apiError {
	return &apiError{status: http.StatusBadRequest, code: client.CodeMalformed, field: field, message: message}
}

// notFound returns the error for an object that does not exist.
func notFound(kind, name string) *apiError {
	return &apiError{status: http.StatusNotFound, code: client.CodeNotFound, field: kind, message: kind + " " + name + " does not exist"}
}

// encodeError encodes an error as an answer.
func encodeError(e *apiError) *wire.ApiReply {
	body, _ := json.Marshal(client.ErrorBody{Error: &client.Error{Code: e.code, Field: e.field, Message: e.message, Revision: e.revision}})
	return &wire.ApiReply{Status: uint32(e.status), Body: body}
}

// decodeBody decodes the call's body as JSON. Unknown fields are an error.
func (call *apiCall) decodeBody(dst any) error {
	dec := json.NewDecoder(bytes.NewReader(call.body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return invalidField("body", err.Error())
	}
	return nil
}

// stateError converts an error of the state machine into a refusal.
func stateError(res state.Result) error {
	refusal := &apiError{status: http.StatusConflict, code: client.CodeConflict, message: res.Err.Error()}
	switch {
	case errors.Is(res.Err, state.ErrNotFound):
		refusal.status, refusal.code = http.StatusNotFound, client.CodeNotFound
	case errors.Is(res.Err, state.ErrIntentReused):
		refusal.code, refusal.field = client.CodeConflict, "id"
	case errors.Is(res.Err, state.ErrExpired):
		refusal.code, refusal.field = client.CodeConflict, "deadline"
	case errors.Is(res.Err, state.ErrRefused):
		refusal.status, refusal.code = http.StatusUnprocessableEntity, client.CodeRefused
		if len(res.Refusals) > 0 {
			refusal.field, refusal.message = res.Refusals[0].Field, res.Refusals[0].Value+" "+res.Refusals[0].Reason
		}
	case errors.Is(res.Err, state.ErrBadCommand):
		refusal.status, refusal.code = http.StatusBadRequest, client.CodeMalformed
	}
	return refusal
}
