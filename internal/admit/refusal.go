package admit

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// The reasons for which Push refuses a request. A refused request has not run.
var (
	ErrDeadlinePassed    = errors.New("the deadline has passed")
	ErrDeadlineTooSoon = errors.New("the request takes longer than its deadline allows")
	ErrQueueTooSlow         = errors.New("the queue takes too much of the time before the deadline")
	ErrQueueFull       = errors.New("the queue of the team is full")
	ErrUnknownTeam     = errors.New("no such team")
	ErrUnknownService  = errors.New("no such service")
	ErrNotAllowed      = errors.New("the team may not call the service")
	ErrKeyMissing      = errors.New("a request that is not idempotent needs a key")
	ErrKeyTooLong      = errors.New("the key is too long")
	ErrInvalidValue        = errors.New("the value is not valid")
	ErrDuplicateID       = errors.New("a request with this id is queued or running")
)

// Refusal is the error that Push returns. It wraps one of the reasons above.
type Refusal struct {
	Reason  error
	Field   string    // field of the request that was refused
	Value   string    // its value, shortened
	RetryAt time.Time // when the same request would be accepted; zero if a retry doesn't help
}

// Error returns the reason with the field and its value.
func (r *Refusal) Error() string {
	if r.Value == "" {
		return fmt.Sprintf("%s: %v", r.Field, r.Reason)
	}
	return fmt.Sprintf("%s %q: %v", r.Field, r.Value, r.Reason)
}

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error { return r.Reason }

// valueMax is the most bytes of a refused value that an error repeats.
const valueMax = 64

func refuse(reason error, field, value string) error {
	if len(value) > valueMax {
		value = value[:valueMax] + "..."
	}
	return &Refusal{Reason: reason, Field: field, Value: value}
}

func refuseUntil(reason error, retryAt time.Time) error {
	return &Refusal{Reason: reason, Field: "deadline", RetryAt: retryAt}
}
