package entry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const metricsInterval = time.Second

// metrics holds the metrics of the entry.
type metrics struct {
	outcomes map[client.Outcome]tally.Counter
	latency  tally.Histogram
	queued   tally.Gauge
	running  tally.Gauge
	agents   tally.Gauge
	fresh    tally.Gauge
	revision tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	m := metrics{
		outcomes: map[client.Outcome]tally.Counter{},
		latency:  s.Histogram("latency_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
		queued:   s.Gauge("queued"),
		running:  s.Gauge("running"),
		agents:   s.Gauge("agents"),
		fresh:    s.Gauge("config_fresh"),
		revision: s.Gauge("config_revision"),
	}
	for _, outcome := range []client.Outcome{client.OutcomeAnswer, client.OutcomeNotRun, client.OutcomeUnknown} {
		m.outcomes[outcome] = s.Tagged(map[string]string{"outcome": string(outcome)}).Counter("requests")
	}
	return m
}

// recordLatency records the latency of a request.
func (m metrics) recordLatency(start time.Time, clock kern.Clock) {
	m.latency.RecordDuration(clock.Now().Sub(start))
}

// updateMetrics periodically sets the gauges and flushes the trace until ctx is
// done.
func (e *Entry) updateMetrics(ctx context.Context) error {
	defer e.recorder.flush()
	return kern.Every(ctx, metricsInterval, func() {
		e.recorder.flush()
		e.metrics.queued.Update(float64(e.dispatcher.queueDepth()))
		e.metrics.running.Update(float64(e.requestCount.Load()))
		e.metrics.agents.Update(float64(len(e.dispatcher.agentList())))
		e.metrics.revision.Update(float64(e.conf.Revision()))
		e.metrics.fresh.Update(kern.BoolToFloat(e.conf.Fresh(e.env.Clock.Now())))
	})
}
