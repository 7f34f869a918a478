package jobent

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// Request is a call by a caller.
type Request struct {
	Kind     jobs.CallKind
	Host     string
	Path     string
	Key      string
	Spec     *jobs.Spec // set for CallSubmit
	Deadline time.Time  // when the caller stops waiting
}

// Answer is the answer to a caller.
type Answer struct {
	Outcome jobs.CallOutcome
	Phase   jobs.Phase // phase of the job, if known
	Count   int        // number of jobs waiting in the queue, for CallCount
	// RetryAt is when the caller should retry after a refusal; zero if unset.
	RetryAt time.Time
}

// Calls answers the calls that a protocol receives.
type Calls interface {
	// Call returns the answer to r, at the latest by r.Deadline.
	Call(ctx context.Context, r Request) Answer
	// Ready reports whether calls can be answered.
	Ready() bool
}

// Front is the protocol between callers and the entry.
type Front interface {
	// Handler serves callers. Bodies of more than maxBody bytes are refused.
	Handler(c Calls, maxBody int64, log *zap.Logger) http.Handler
	// ReadyHandler serves the platform's readiness check.
	ReadyHandler(c Calls) http.Handler
}

// Fronts holds the protocol of this build.
var Fronts kern.Slot[Front]
