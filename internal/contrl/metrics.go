package contrl

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const metricsInterval = time.Second

// metrics are the control role's metrics.
type metrics struct {
	leader             tally.Gauge
	term               tally.Gauge
	commitIndex        tally.Gauge
	appliedIndex       tally.Gauge
	fresh              tally.Gauge
	diskFull           tally.Gauge
	openRepairs        tally.Gauge
	configRevision     tally.Gauge
	nodes              tally.Gauge
	queuedJobs         tally.Gauge
	lostWorkers        tally.Gauge
	quarantinedWorkers tally.Gauge
	shortGuarantees    tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		leader:             s.Gauge("leader"),
		term:               s.Gauge("term"),
		commitIndex:        s.Gauge("commit_index"),
		appliedIndex:       s.Gauge("applied_index"),
		fresh:              s.Gauge("fresh"),
		diskFull:           s.Gauge("disk_full"),
		openRepairs:        s.Gauge("repairs_open"),
		configRevision:     s.Gauge("config_revision"),
		nodes:              s.Gauge("nodes"),
		queuedJobs:         s.Gauge("jobs_queued"),
		lostWorkers:        s.Gauge("workers_lost"),
		quarantinedWorkers: s.Gauge("workers_quarantined"),
		shortGuarantees:    s.Gauge("guarantees_short"),
	}
}

// metricsLoop updates the gauges periodically until ctx is done.
func (c *Control) metricsLoop(ctx context.Context) error {
	return kern.Every(ctx, metricsInterval, c.updateMetrics)
}

func (c *Control) updateMetrics() {
	m, st, v := c.metrics, c.node.Status(), c.state.View()
	m.leader.Update(kern.BoolToFloat(st.Role == replog.Leader))
	m.term.Update(float64(st.Term))
	m.commitIndex.Update(float64(st.Commit))
	m.appliedIndex.Update(float64(st.Applied))
	m.fresh.Update(kern.BoolToFloat(c.fresh()))
	m.diskFull.Update(kern.BoolToFloat(st.DiskFull))
	openRepairs := 0
	for _, r := range st.Repairs {
		if !r.Done {
			openRepairs++
		}
	}
	m.openRepairs.Update(float64(openRepairs))
	m.configRevision.Update(float64(v.Revision()))
	m.nodes.Update(float64(len(c.nodes.list())))
	lost, quarantined := 0, 0
	for w := range v.Workers() {
		lost += int(kern.BoolToFloat(w.Lost))
		quarantined += int(kern.BoolToFloat(w.State == model.WorkerQuarantine))
	}
	m.lostWorkers.Update(float64(lost))
	m.quarantinedWorkers.Update(float64(quarantined))
	if l := c.activeLeader(); l != nil {
		queued, short := l.schedulerCounts()
		m.queuedJobs.Update(float64(queued))
		m.shortGuarantees.Update(float64(short))
	}
}

// schedulerCounts returns the number of queued jobs, and of guaranteed shapes that
// the fleet has no room for at present.
func (l *leader) schedulerCounts() (queued, short int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.sched.Guarantees() {
		short += g.Short
	}
	return l.sched.Queued(), short
}
