package platf

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Code names the reason of a refusal by the platform.
type Code string

// Reasons of refusals.
const (
	CodeFenced      Code = "fenced"      // the epoch is lower than the job's highest, or isn't the lease's
	CodeFull        Code = "full"        // the worker has too little free capacity
	CodeExpired     Code = "expired"     // the lease has ended
	CodeUnknown     Code = "unknown"     // no such worker or lease
	CodeUnreachable Code = "unreachable" // the platform can't reach the worker
	CodeMalformed   Code = "bad"         // the request is malformed
)

// Sentinel errors of Client. After ErrUnreachable and ErrNoAnswer the outcome of
// the request is unknown; after any other, nothing has changed.
var (
	ErrFenced      = errors.New("epoch is fenced")
	ErrFull        = errors.New("worker is full")
	ErrExpired     = errors.New("lease has ended")
	ErrUnknown     = errors.New("unknown worker or lease")
	ErrUnreachable = errors.New("worker is unreachable")
	ErrMalformed   = errors.New("request is malformed")
	ErrNoAnswer    = errors.New("platform gave no answer")
)

var errorOfCode = map[Code]error{
	CodeFenced:      ErrFenced,
	CodeFull:        ErrFull,
	CodeExpired:     ErrExpired,
	CodeUnknown:     ErrUnknown,
	CodeUnreachable: ErrUnreachable,
	CodeMalformed:   ErrMalformed,
}

// Refusal is the error with which the platform refuses a request.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	Epoch   uint64 `json:"epoch,omitempty"` // highest epoch seen for the job
}

// Error returns the code and the message on one line.
func (r *Refusal) Error() string { return fmt.Sprintf("platform: %s: %s", r.Code, r.Message) }

// Is reports whether target is the sentinel error of the code.
func (r *Refusal) Is(target error) bool { return errorOfCode[r.Code] == target }

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error *Refusal `json:"error"`
}
