package client

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Code is the code of an error answer.
type Code string

// The codes of error answers.
const (
	CodeMalformed   Code = "bad"         // the request is malformed; see Field
	CodeDenied      Code = "denied"      // the key is missing or wrong
	CodeForbidden   Code = "forbidden"   // the key is valid but doesn't allow this
	CodeNotFound    Code = "notfound"    // no such team, service, job, plan, member or agent
	CodeConflict    Code = "conflict"    // another change was made first, or the id was used with other content
	CodeRefused     Code = "refused"     // well-formed, but can't be carried out
	CodeTooLarge    Code = "toolarge"    // the body is larger than the limit
	CodeBusy        Code = "busy"        // no room for this work within its deadline
	CodeDeadline    Code = "deadline"    // the deadline has passed
	CodeUnavailable Code = "unavailable" // no process can answer this at present; try again
	CodeInternal    Code = "internal"    // an internal fault
)

// Errors that callers test with errors.Is.
var (
	ErrMalformed   = errors.New("malformed request")
	ErrDenied      = errors.New("key missing or wrong")
	ErrForbidden   = errors.New("not allowed")
	ErrNotFound    = errors.New("not found")
	ErrConflict    = errors.New("conflict")
	ErrRefused     = errors.New("refused")
	ErrTooLarge    = errors.New("too large")
	ErrBusy        = errors.New("no room within the deadline")
	ErrDeadline    = errors.New("deadline has passed")
	ErrUnavailable = errors.New("unavailable at present")
	ErrInternal    = errors.New("internal error")
	ErrLost        = errors.New("connection to the backend server lost")
	ErrRunning     = errors.New("another attempt may be running")

	// ErrUnreachable means that the server didn't answer.
	ErrUnreachable = errors.New("server not reachable")
	// ErrNotRun means that a caller's request didn't run and won't.
	ErrNotRun = errors.New("request not run")
	// ErrUnknown means that a caller's request may have run.
	ErrUnknown = errors.New("outcome unknown")
)

// codeInfo is the sentinel error and the HTTP status of a code.
type codeInfo struct {
	sentinel error
	status   int
}

var codeInfos = map[Code]codeInfo{
	CodeMalformed:   {ErrMalformed, http.StatusBadRequest},
	CodeDenied:      {ErrDenied, http.StatusUnauthorized},
	CodeForbidden:   {ErrForbidden, http.StatusForbidden},
	CodeNotFound:    {ErrNotFound, http.StatusNotFound},
	CodeConflict:    {ErrConflict, http.StatusConflict},
	CodeRefused:     {ErrRefused, http.StatusUnprocessableEntity},
	CodeTooLarge:    {ErrTooLarge, http.StatusRequestEntityTooLarge},
	CodeBusy:        {ErrBusy, http.StatusTooManyRequests},
	CodeDeadline:    {ErrDeadline, http.StatusGatewayTimeout},
	CodeUnavailable: {ErrUnavailable, http.StatusServiceUnavailable},
	CodeInternal:    {ErrInternal, http.StatusInternalServerError},
	CodeStale:       {ErrUnavailable, http.StatusServiceUnavailable},
	CodeDraining:    {ErrUnavailable, http.StatusServiceUnavailable},
	CodeLost:        {ErrLost, http.StatusBadGateway},
	CodeTruncated:   {ErrLost, http.StatusBadGateway},
	CodeRunning:     {ErrRunning, http.StatusBadGateway},
}

// Status returns the HTTP status of an error answer with this code.
func (c Code) Status() int {
	if r, known := codeInfos[c]; known {
		return r.status
	}
	return http.StatusInternalServerError
}

// Error describes why a request failed.
type Error struct {
	Code     Code   `json:"code"`
	Field    string `json:"field,omitempty"` // path of the field at fault
	Message  string `json:"message"`
	Revision uint64 `json:"revision,omitempty"` // current revision of the configuration, in a conflict
}

// Error returns the code, field and message on one line.
func (e *Error) Error() string {
	message := fmt.Sprintf("%s: %s", e.Code, e.Message)
	if e.Field != "" {
		message = fmt.Sprintf("%s: %s: %s", e.Code, e.Field, e.Message)
	}
	if e.Revision != 0 {
		message = fmt.Sprintf("%s (revision %d)", message, e.Revision)
	}
	return message
}

// Is reports whether target is the sentinel error of the code of e.
func (e *Error) Is(target error) bool {
	r, known := codeInfos[e.Code]
	return known && target == r.sentinel
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// statusError returns the sentinel error for the status of an answer without an
// error body.
func statusError(status int) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusUnauthorized:
		return ErrDenied
	case status == http.StatusForbidden:
		return ErrForbidden
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusTooManyRequests, status > http.StatusInternalServerError:
		return ErrUnavailable
	case status == http.StatusInternalServerError:
		return ErrInternal
	default:
		return ErrMalformed
	}
}
