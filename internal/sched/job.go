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
	need        place.Need
	phase       phase
	cells       []place.Cell // workers that it is placed on or claims
	unit        *unit        // unit that it runs within; nil outside of guarantees
	firm        bool         // its resources are taken from what units may be bound to
	outstanding bool         // placed by a decision that isn't committed yet
	stopping    bool         // was told to stop
	stopBy      time.Time    // by which it must have stopped
	backfilled  bool         // started before a gang that is ahead of it in the queue
	lost        bool         // a member's worker is lost, so the gang must stop
	failing     bool         // a decision to fail it has been issued
	uncharged   []string     // workers in FailedOn that were found to be faulty themselves
	moved       int          // number of times that it was stopped to make room
	placedAt    time.Time
	key         time.Time // sort key in its team's queue
}

func newJob(m model.Job) *job {
	return &job{Job: m, need: place.NeedOf(m.Shape), phase: queued}
}

func holds(s model.JobState) bool {
	return s == model.JobPreparing || s == model.JobRunning || s == model.JobStopping
}

// borrowing reports whether the job may be stopped so that a team can use its
// guarantee.
func (j *job) borrowing() bool { return j.unit == nil && j.Stoppable }

// avoids reports whether the job has failed on the worker and the worker wasn't
// found to be faulty.
func (j *job) avoids(worker string) bool {
	return slices.Contains(j.FailedOn, worker) && !slices.Contains(j.uncharged, worker)
}

// on returns the resources that the job uses on the worker.
func (j *job) on(worker string) place.Need {
	for _, c := range j.cells {
		if c.Worker == worker {
			return j.need.Times(c.Count)
		}
	}
	return place.Need{}
}

// view returns the view of the fleet's capacity that the job may use outside of
// guarantees.
func (j *job) view() place.View {
	if j.Stoppable {
		return place.Soft
	}
	return place.Firm
}

func jobLess(a, b *job) bool {
	if !a.key.Equal(b.key) {
		return a.key.Before(b.key)
	}
	return a.ID < b.ID
}
