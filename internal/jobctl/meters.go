package jobctl

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latency holds the buckets of the latency histograms, 1 ms to 33 s.
var latency = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// meters are the role's metrics.
type meters struct {
	scope   tally.Scope
	commit  tally.Histogram // from the proposal of a command until it is applied
	toStart tally.Histogram // from acceptance of a job to its first start
	toEnd   tally.Histogram // from acceptance of a job to its end
	plan    tally.Histogram // time to make a plan
	leading tally.Gauge
	waiting tally.Gauge
	runs    tally.Gauge
	lost    tally.Counter
	voters  tally.Gauge // in the membership known to this replica
	reached tally.Gauge // voters heard from recently, including this replica
}

func newMeters(s tally.Scope) meters {
	return meters{
		scope:   s,
		commit:  s.Histogram("commit_seconds", latency),
		toStart: s.Histogram("job_start_seconds", latency),
		toEnd:   s.Histogram("job_end_seconds", latency),
		plan:    s.Histogram("plan_seconds", latency),
		leading: s.Gauge("leading"),
		waiting: s.Gauge("jobs_waiting"),
		runs:    s.Gauge("runs"),
		lost:    s.Counter("workers_lost"),
		voters:  s.Gauge("voters"),
		reached: s.Gauge("voters_reached"),
	}
}

// call counts an answered call.
func (m meters) call(kind, outcome string) {
	m.scope.Tagged(map[string]string{"kind": kind, "outcome": outcome}).Counter("calls").Inc(1)
}

// end counts the end of a run.
func (m meters) end(how string) {
	m.scope.Tagged(map[string]string{"how": how}).Counter("run_ends").Inc(1)
}
