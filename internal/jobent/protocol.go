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

// CallHandler answers the calls that arrive through a Protocol.
type CallHandler interface {
	// Call returns the answer to r, at the latest by r.Deadline.
	Call(ctx context.Context, r Request) Answer
	// Ready reports whether calls can be answered.
	Ready() bool
}

// Protocol is the protocol between callers and the entry.
type Protocol interface {
	// Handler serves callers. Bodies of more than maxBody bytes are refused.
	Handler(c CallHandler, maxBody int64, log *zap.Logger) http.Handler
	// ReadyHandler serves the platform's readiness check.
	ReadyHandler(c CallHandler) http.Handler
}

// CallerProtocol holds the protocol that the build was compiled with.
var CallerProtocol kern.PluginSlot[Protocol]
