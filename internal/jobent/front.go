package jobent

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// Request is a caller's call.
type Request struct {
	Kind     jobs.CallKind
	Host     string
	Path     string
	Key      string
	Spec     *jobs.Spec // of CallSubmit
	Deadline time.Time  // until when the caller waits
}

// Answer is what the caller is told.
type Answer struct {
	Outcome jobs.CallOutcome
	Phase   jobs.Phase // of a job, when told
	Count   int        // of a queue's waiting jobs, when counted
	// RetryAt is when to come back after a refusal.
	RetryAt time.Time
}

// CallHandler answers callers.
type CallHandler interface {
	Call(ctx context.Context, r Request) Answer
	// Ready tells whether calls can be answered.
	Ready() bool
}

// Protocol speaks the callers' protocol.
type Protocol interface {
	// Handler serves callers. Bodies over maxBody bytes are refused.
	Handler(c CallHandler, maxBody int64, log *zap.Logger) http.Handler
	// ReadyHandler tells the platform whether to send calls here.
	ReadyHandler(c CallHandler) http.Handler
}

// CallerProtocol holds the protocol that callers speak.
var CallerProtocol kern.PluginSlot[Protocol]
