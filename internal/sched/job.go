package sched

import (
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// phase is the state of a job as decided, which may be ahead of the committed
// state.
type phase string

const (
	queued  phase = "queued"
	claimed phase = "claimed" // has a placement, waits for work there to stop
	placed  phase = "placed"
)

// job is a job that hasn't ended, with its scheduling state.
type job struct {
	model.Job
	need          place.Resources // resources of one member
	phase         phase           // state as decided
	placement     []place.Cell    // workers that it is placed on or claims
	unit          *guaranteeUnit  // unit that it runs within; nil outside of guarantees
	blocksBinding bool            // its resources are taken from what units may be bound to
	uncommitted   bool            // placed by a decision that isn't committed yet
	stopping      bool            // was told to stop
	stopDeadline  time.Time       // time by which it must have stopped
	backfilled    bool            // started before a gang that is ahead of it in the queue
	memberLost    bool            // a member's worker is lost, so the gang must stop
	failing       bool            // a decision to fail it has been issued
	faultyWorkers []string        // workers in FailedOn that were found to be faulty themselves
	moves         int             // number of times that it was stopped to make room
	placedAt      time.Time       // when it was placed; its start if it was added with a placement
	queueKey      time.Time       // sort key in its team's queue
}

func newJob(m model.Job) *job {
	return &job{Job: m, need: place.ResourcesOf(m.Shape), phase: queued}
}

func holdsWorkers(s model.JobState) bool {
	return s == model.JobPreparing || s == model.JobRunning || s == model.JobStopping
}

// preemptible reports whether the job may be stopped so that a team can use its
// guarantee.
func (j *job) preemptible() bool { return j.unit == nil && j.Stoppable }

// avoids reports whether the job has failed on the worker and the worker wasn't
// found to be faulty.
func (j *job) avoids(worker string) bool {
	return slices.Contains(j.FailedOn, worker) && !slices.Contains(j.faultyWorkers, worker)
}

// usageOn returns the resources that the job uses on the worker.
func (j *job) usageOn(worker string) place.Resources {
	for _, c := range j.placement {
		if c.Worker == worker {
			return j.need.Times(c.Count)
		}
	}
	return place.Resources{}
}

// borrowView returns the view of the fleet's capacity that the job may use
// outside of guarantees.
func (j *job) borrowView() place.View {
	if j.Stoppable {
		return place.Unoccupied
	}
	return place.UnoccupiedUnbound
}

func jobLess(a, b *job) bool {
	if !a.queueKey.Equal(b.queueKey) {
		return a.queueKey.Before(b.queueKey)
	}
	return a.ID < b.ID
}
