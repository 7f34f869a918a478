package jobctl

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// ErrUnavailable means that nothing can be said now; the call may be repeated,
// here or elsewhere.
var ErrUnavailable = errors.New("no answer can be given now")

// Operations are what operators may ask for.
type Operations interface {
	// PutConfig commits a configuration. One that isn't newer than what is in
	// force changes nothing. It returns a jobs.ErrConfig or an ErrUnavailable.
	PutConfig(ctx context.Context, cfg *jobs.Config) error
	// Config returns the text of the configuration in force, empty if there is
	// none yet, or an ErrUnavailable.
	Config(ctx context.Context) ([]byte, error)
}

// Desk speaks the operators' protocol.
type Desk interface {
	Handler(ops Operations, log *zap.Logger) http.Handler
}

// Desks holds the protocol that operators speak.
var Desks kern.Slot[Desk]
