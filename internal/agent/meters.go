package agent

import (
	"github.com/uber-go/tally/v4"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// meters are the agent's metrics.
type meters struct {
	outcomes map[client.Outcome]tally.Counter
	busy     tally.Gauge
	ready    tally.Gauge
	fresh    tally.Gauge
	revision tally.Gauge
}

func newMeters(s tally.Scope) meters {
	m := meters{
		outcomes: map[client.Outcome]tally.Counter{},
		busy:     s.Gauge("busy"),
		ready:    s.Gauge("ready"),
		fresh:    s.Gauge("config_fresh"),
		revision: s.Gauge("config_revision"),
	}
	for _, out := range []client.Outcome{client.OutcomeAnswer, client.OutcomeNotRun, client.OutcomeUnknown} {
		m.outcomes[out] = s.Tagged(map[string]string{"outcome": string(out)}).Counter("requests")
	}
	return m
}

func (m meters) count(ans *wire.Answer) { m.outcomes[client.Outcome(ans.Outcome)].Inc(1) }

// updateMeters sets the gauges; it runs with the health checks.
func (a *Agent) updateMeters() {
	now := a.env.Clock.Now()
	a.meters.busy.Update(float64(a.server.running()))
	a.meters.ready.Update(kern.BoolToFloat(a.offered() == serverReady))
	a.meters.fresh.Update(kern.BoolToFloat(a.conf.Fresh(now)))
	a.meters.revision.Update(float64(a.conf.Revision()))
}
