package entry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const meterInterval = time.Second

// meters are the entry's metrics.
type meters struct {
	outcomes map[client.Outcome]tally.Counter
	latency  tally.Histogram
	queued   tally.Gauge
	running  tally.Gauge
	agents   tally.Gauge
	fresh    tally.Gauge
	revision tally.Gauge
}

func newMeters(s tally.Scope) meters {
	m := meters{
		outcomes: map[client.Outcome]tally.Counter{},
		latency:  s.Histogram("latency_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
		queued:   s.Gauge("queued"),
		running:  s.Gauge("running"),
		agents:   s.Gauge("agents"),
		fresh:    s.Gauge("config_fresh"),
		revision: s.Gauge("config_revision"),
	}
	for _, out := range []client.Outcome{client.OutcomeAnswer, client.OutcomeNotRun, client.OutcomeUnknown} {
		m.outcomes[out] = s.Tagged(map[string]string{"outcome": string(out)}).Counter("requests")
	}
	return m
}

func (m meters) took(began time.Time, clock kern.Clock) {
	m.latency.RecordDuration(clock.Now().Sub(began))
}

// watchMeters sets the gauges and flushes the trace until ctx is done.
func (e *Entry) watchMeters(ctx context.Context) error {
	defer e.rec.flush()
	return kern.Every(ctx, meterInterval, func() {
		e.rec.flush()
		e.meters.queued.Update(float64(e.disp.depth()))
		e.meters.running.Update(float64(e.running.Load()))
		e.meters.agents.Update(float64(len(e.disp.agentList())))
		e.meters.revision.Update(float64(e.conf.Revision()))
		e.meters.fresh.Update(kern.BoolToFloat(e.conf.Fresh(e.env.Clock.Now())))
	})
}
