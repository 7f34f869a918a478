package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const (
	healthInterval = 700 * time.Millisecond
	healthTimeout  = 600 * time.Millisecond
	maxHealthBody  = 4 << 10
)

// watchHealth checks the backend server's health at intervals until ctx is
// done.
func (a *Agent) watchHealth(ctx context.Context) error {
	return kern.Every(ctx, healthInterval, func() {
		a.checkHealth(ctx)
		a.updateMetrics()
	})
}

func (a *Agent) checkHealth(ctx context.Context) {
	ann := a.server.current()
	if ann.ID == "" {
		return
	}
	before := a.server.state(a.env.Clock.Now())
	err := a.probeHealth(ctx, ann.Addr)
	a.server.recordHealthCheck(err == nil, a.env.Clock.Now())
	after := a.server.state(a.env.Clock.Now())
	if before != after {
		a.env.Log.Warn("backend server changed state", zap.String("server", ann.ID),
			zap.String("from", string(before)), zap.String("to", string(after)), zap.Error(err))
	}
	a.updateGrants()
}

func (a *Agent) probeHealth(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/healthz", nil)
	if err != nil {
		return err
	}
	resp, err := a.probeTransport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.CopyN(io.Discard, resp.Body, maxHealthBody)
	if resp.StatusCode/100 != 2 {
		return errors.Newf("health check answered %d", resp.StatusCode)
	}
	return nil
}
