package admit

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// The reasons for which Push refuses a request. A refused request has not run
// and never will.
var (
	ErrDeadlinePassed  = errors.New("the deadline has passed")
	ErrDeadlineTooSoon = errors.New("the request takes longer than its deadline allows")
	ErrQueueTooSlow    = errors.New("the queue takes too much of the time before the deadline")
	ErrQueueFull       = errors.New("the queue of the team is full")
	ErrUnknownTeam     = errors.New("no such team")
	ErrUnknownService  = errors.New("no such service")
	ErrNotAllowed      = errors.New("the team may not call the service")
	ErrKeyMissing      = errors.New("a request that is not idempotent needs a key")
	ErrKeyTooLong      = errors.New("the key is too long")
	ErrInvalidValue    = errors.New("the value is not valid")
	ErrDuplicateID     = errors.New("a request with this id is queued or running")
)

// Refusal is the error that Push returns. It wraps one of the sentinel errors
// above.
type Refusal struct {
	Reason  error
	Field   string    // name of the request field that caused the refusal
	Value   string    // value of that field, truncated
	RetryAt time.Time // when the same request is expected to be accepted; zero if unknown or if a retry can't succeed
}

// Error returns the field, its value and the reason.
func (r *Refusal) Error() string {
	if r.Value == "" {
		return fmt.Sprintf("%s: %v", r.Field, r.Reason)
	}
	return fmt.Sprintf("%s %q: %v", r.Field, r.Value, r.Reason)
}

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error { return r.Reason }

// maxValueLen is the number of bytes after which an error message truncates the
// value of a field.
const maxValueLen = 64

func refuse(reason error, field, value string) error {
	if len(value) > maxValueLen {
		value = value[:maxValueLen] + "..."
	}
	return &Refusal{Reason: reason, Field: field, Value: value}
}

func refuseWithRetry(reason error, retryAt time.Time) error {
	return &Refusal{Reason: reason, Field: "deadline", RetryAt: retryAt}
}
