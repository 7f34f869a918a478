package client

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Code names the reason of an error answer.
type Code string

// The codes of error answers.
const (
	CodeMalformed         Code = "bad"         // the request is malformed; see Field
	CodeDenied      Code = "denied"      // the key is missing or wrong
	CodeForbidden   Code = "forbidden"   // the key is good and this isn't allowed with it
	CodeNotFound    Code = "notfound"    // no such team, service, job, plan, member or agent
	CodeConflict    Code = "conflict"    // another change came first, or the id was used with other content
	CodeRefused     Code = "refused"     // understood, and can't be carried out
	CodeTooLarge    Code = "toolarge"    // the body is larger than the limit
	CodeBusy        Code = "busy"        // no room for this work within its deadline
	CodeDeadline    Code = "deadline"    // the deadline has passed
	CodeUnavailable Code = "unavailable" // nobody can answer this at present; try again
	CodeInternal    Code = "internal"    // a fault of the system
)

// Errors that callers test with errors.Is.
var (
	ErrMalformed         = errors.New("malformed request")
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

	// ErrUnreachable is for a server that gave no answer.
	ErrUnreachable = errors.New("server not reachable")
	// ErrNotRun is for a caller's request that didn't run and won't.
	ErrNotRun = errors.New("request not run")
	// ErrUnknown is for a caller's request that may have run.
	ErrUnknown = errors.New("outcome unknown")
)

// reason is what a code stands for.
type reason struct {
	sentinel error
	status   int
}

var reasons = map[Code]reason{
	CodeMalformed:         {ErrMalformed, http.StatusBadRequest},
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
	CodeTruncated:         {ErrLost, http.StatusBadGateway},
	CodeRunning:     {ErrRunning, http.StatusBadGateway},
}

// Status returns the HTTP status of an error answer with this code.
func (c Code) Status() int {
	if r, known := reasons[c]; known {
		return r.status
	}
	return http.StatusInternalServerError
}

// Error is the reason of an error answer.
type Error struct {
	Code     Code   `json:"code"`
	Field    string `json:"field,omitempty"` // path of the field at fault
	Message  string `json:"message"`
	Revision uint64 `json:"revision,omitempty"` // of the configuration, for a conflict
}

// Error returns the reason on one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Message)
	if e.Field != "" {
		text = fmt.Sprintf("%s: %s: %s", e.Code, e.Field, e.Message)
	}
	if e.Revision != 0 {
		text = fmt.Sprintf("%s (revision %d)", text, e.Revision)
	}
	return text
}

// Is reports whether target is the sentinel error of the code.
func (e *Error) Is(target error) bool {
	r, known := reasons[e.Code]
	return known && target == r.sentinel
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// statusError returns the error that fits a status without a reason.
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
