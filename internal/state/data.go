package state

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/conf"
)

// data is the content of the state machine. Values that table rows point to are
// never modified in place, since clones share them.
type data struct {
	index               uint64    // log index of the last command applied
	term                uint64    // highest term seen
	now                 time.Time // time of the last command; not part of a snapshot
	fleetIndex          uint64    // log index of the last change that reduced the available capacity
	teamServiceRevision uint64    // last revision that changed teams or services

	config        conf.Config
	history       table[uint64, *Revision]   // by revision number
	workers       table[string, *Worker]     // by name
	jobs          table[string, *Job]        // by id
	liveJobCounts table[string, int]         // number of jobs that haven't ended, by team
	liveJobs      table[string, string]      // jobs that haven't ended: id to team
	plans         table[string, *planRecord] // by plan id
	intents       table[string, string]      // plan ids by intent key
	claims        table[string, *Claim]      // by team and request key
	inFlight      table[string, struct{}]    // claims in flight, ordered by the time they were granted
	deadlines     table[string, struct{}]    // records that expire, ordered by deadline
}

func newData() *data {
	return &data{
		history:       newTable[uint64, *Revision](),
		workers:       newTable[string, *Worker](),
		jobs:          newTable[string, *Job](),
		liveJobCounts: newTable[string, int](),
		liveJobs:      newTable[string, string](),
		plans:         newTable[string, *planRecord](),
		intents:       newTable[string, string](),
		claims:        newTable[string, *Claim](),
		inFlight:      newTable[string, struct{}](),
		deadlines:     newTable[string, struct{}](),
	}
}

// clone returns a copy that shares structure with d. Writes to one don't affect
// the other.
func (d *data) clone() *data {
	out := *d
	out.history = d.history.clone()
	out.workers = d.workers.clone()
	out.jobs = d.jobs.clone()
	out.liveJobCounts = d.liveJobCounts.clone()
	out.liveJobs = d.liveJobs.clone()
	out.plans = d.plans.clone()
	out.intents = d.intents.clone()
	out.claims = d.claims.clone()
	out.inFlight = d.inFlight.clone()
	out.deadlines = d.deadlines.clone()
	return &out
}
