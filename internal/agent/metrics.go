package agent

import (
	"github.com/uber-go/tally/v4"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// metrics holds the agent's metrics.
type metrics struct {
	outcomes map[client.Outcome]tally.Counter
	busy     tally.Gauge
	ready    tally.Gauge
	fresh    tally.Gauge
	revision tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	m := metrics{
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

func (m metrics) count(ans *wire.Answer) { m.outcomes[client.Outcome(ans.Outcome)].Inc(1) }

// updateMetrics sets the gauges. It runs after each health check.
func (a *Agent) updateMetrics() {
	now := a.env.Clock.Now()
	a.metrics.busy.Update(float64(a.server.running()))
	a.metrics.ready.Update(kern.BoolToFloat(a.announcedState() == serverReady))
	a.metrics.fresh.Update(kern.BoolToFloat(a.conf.Fresh(now)))
	a.metrics.revision.Update(float64(a.conf.Revision()))
}
