package contrl

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const meterInterval = time.Second

// meters are the control role's metrics.
type meters struct {
	leader   tally.Gauge
	term     tally.Gauge
	commit   tally.Gauge
	applied  tally.Gauge
	fresh    tally.Gauge
	diskFull tally.Gauge
	repairs  tally.Gauge
	revision tally.Gauge
	nodes    tally.Gauge
	queued   tally.Gauge
	lost     tally.Gauge
	sick     tally.Gauge
	short    tally.Gauge
}

func newMeters(s tally.Scope) meters {
	return meters{
		leader:   s.Gauge("leader"),
		term:     s.Gauge("term"),
		commit:   s.Gauge("commit_index"),
		applied:  s.Gauge("applied_index"),
		fresh:    s.Gauge("fresh"),
		diskFull: s.Gauge("disk_full"),
		repairs:  s.Gauge("repairs_open"),
		revision: s.Gauge("config_revision"),
		nodes:    s.Gauge("nodes"),
		queued:   s.Gauge("jobs_queued"),
		lost:     s.Gauge("workers_lost"),
		sick:     s.Gauge("workers_quarantined"),
		short:    s.Gauge("guarantees_short"),
	}
}

// watchMeters sets the gauges until ctx is done.
func (c *Control) watchMeters(ctx context.Context) error {
	return kern.Every(ctx, meterInterval, c.updateMeters)
}

func (c *Control) updateMeters() {
	m, st, v := c.meters, c.node.Status(), c.state.View()
	m.leader.Update(kern.BoolToFloat(st.Role == replog.Leader))
	m.term.Update(float64(st.Term))
	m.commit.Update(float64(st.Commit))
	m.applied.Update(float64(st.Applied))
	m.fresh.Update(kern.BoolToFloat(c.fresh()))
	m.diskFull.Update(kern.BoolToFloat(st.DiskFull))
	open := 0
	for _, r := range st.Repairs {
		if !r.Done {
			open++
		}
	}
	m.repairs.Update(float64(open))
	m.revision.Update(float64(v.Revision()))
	m.nodes.Update(float64(len(c.nodes.list())))
	lost, sick := 0, 0
	for w := range v.Workers() {
		lost += int(kern.BoolToFloat(w.Lost))
		sick += int(kern.BoolToFloat(w.State == model.WorkerQuarantine))
	}
	m.lost.Update(float64(lost))
	m.sick.Update(float64(sick))
	if l := c.leading(); l != nil {
		queued, short := l.counts()
		m.queued.Update(float64(queued))
		m.short.Update(float64(short))
	}
}

// counts returns the waiting jobs and the guaranteed shapes that the fleet
// can't hold at present.
func (l *lead) counts() (queued, short int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.sched.Guarantees() {
		short += h.Short
	}
	return l.sched.Queued(), short
}
