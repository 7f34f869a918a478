package jobctl

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedlug/knapweedlug/internal/allot"
)

// latencyBuckets holds the buckets of the latency histograms, 1 ms to 33 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// metrics are the role's metrics.
type metrics struct {
	scope            tally.Scope     // for the counters of calls and ended runs, which have tags
	commitTime       tally.Histogram // from the proposal of a command until it is applied
	timeToStart      tally.Histogram // from acceptance of a job until a worker has begun it
	timeToEnd        tally.Histogram // from acceptance of a job to its end
	planTime         tally.Histogram // time to make a plan
	leading          tally.Gauge     // 1 while this replica leads, otherwise 0
	jobsWaiting      tally.Gauge     // jobs that haven't ended
	runs             tally.Gauge     // runs on known workers whose end isn't recorded
	domainsEvacuated tally.Gauge     // failure domains whose evacuation is in force
	hostsEvacuated   tally.Gauge     // connected agents there
	stepsEvacuated   tally.Gauge     // steps that wait because only evacuated workers could run them
	teamsContending  tally.Gauge     // teams between which shares decided in the last plan
	workersLost      tally.Counter
	jobsWithoutRoom  tally.Counter // jobs refused because the storage was full
	callsWithoutRoom tally.Counter // calls of other processes that were refused unread
	storedBytes      tally.Gauge   // estimate of what stored jobs take
	voters           tally.Gauge   // in the membership known to this replica
	votersReached    tally.Gauge   // voters heard from recently, including this replica
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		scope:            s,
		commitTime:       s.Histogram("commit_seconds", latencyBuckets),
		timeToStart:      s.Histogram("job_start_seconds", latencyBuckets),
		timeToEnd:        s.Histogram("job_end_seconds", latencyBuckets),
		planTime:         s.Histogram("plan_seconds", latencyBuckets),
		leading:          s.Gauge("leading"),
		jobsWaiting:      s.Gauge("jobs_waiting"),
		runs:             s.Gauge("runs"),
		domainsEvacuated: s.Gauge("domains_evacuated"),
		hostsEvacuated:   s.Gauge("hosts_evacuated"),
		stepsEvacuated:   s.Gauge("steps_evacuated"),
		teamsContending:  s.Gauge("teams_contending"),
		workersLost:      s.Counter("workers_lost"),
		jobsWithoutRoom:  s.Counter("jobs_without_room"),
		callsWithoutRoom: s.Counter("calls_without_room"),
		storedBytes:      s.Gauge("stored_bytes"),
		voters:           s.Gauge("voters"),
		votersReached:    s.Gauge("voters_reached"),
	}
}

// countCall counts an answered call.
func (m metrics) countCall(kind, outcome string) {
	m.scope.Tagged(map[string]string{"kind": kind, "outcome": outcome}).Counter("calls").Inc(1)
}

// countAdmission counts a decision on whether a job is accepted.
func (m metrics) countAdmission(reason allot.AdmitReason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("admissions").Inc(1)
}

// countRunEnd counts the end of a run.
func (m metrics) countRunEnd(outcome string) {
	m.scope.Tagged(map[string]string{"how": outcome}).Counter("run_ends").Inc(1)
}

// setTeam updates the gauges of a team for which there was too little room.
func (m metrics) setTeam(team string, share float64, waiting int) {
	s := m.scope.Tagged(map[string]string{"team": team})
	s.Gauge("team_share").Update(share)
	s.Gauge("team_waiting").Update(float64(waiting))
}
