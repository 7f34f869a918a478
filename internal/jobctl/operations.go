package jobctl

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// ErrUnavailable means that the call can't be answered at present. It may be retried on
// this process or another one.
var ErrUnavailable = errors.New("no answer can be given now")

// Operations are the operations available to operators.
type Operations interface {
	// PutConfig commits a configuration. One that isn't newer than the
	// configuration in force has no effect. It returns a jobs.ErrInvalidConfig or an
	// ErrUnavailable.
	PutConfig(ctx context.Context, cfg *jobs.Config) error
	// Config returns the text of the configuration in force, which is empty if
	// there is none yet, or an ErrUnavailable.
	Config(ctx context.Context) ([]byte, error)
	// Evacuate commits that no run starts in a failure domain, and Withdraw that runs
	// start there again. Repeating either has no effect. They return a
	// jobs.ErrUnknownDomain or an ErrUnavailable.
	Evacuate(ctx context.Context, domain string) error
	Withdraw(ctx context.Context, domain string) error
	// Evacuations returns the evacuations in force, or an ErrUnavailable.
	Evacuations(ctx context.Context) ([]jobs.Evacuation, error)
}

// OperatorProtocol serves the operators' protocol over HTTP.
type OperatorProtocol interface {
	// Handler returns the HTTP handler that carries out operators' requests with ops.
	Handler(ops Operations, log *zap.Logger) http.Handler
}

// OperatorProtocols holds the operators' protocol included in this build.
var OperatorProtocols kern.PluginSlot[OperatorProtocol]
