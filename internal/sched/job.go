package sched

import (
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// phase is where a job stands for the decisions, which may be ahead of what is
// committed.
type phase string

const (
	queued  phase = "queued"
	claimed phase = "claimed" // has a place, waits for stopped work to leave it
	placed  phase = "placed"
)

// job is a live job with what the decisions keep about it.
type job struct {
	model.Job
	need        place.Need
	phase       phase
	cells       []place.Cell // where it is placed or claimed
	unit        *unit        // guarantee that it runs within; nil outside
	firm        bool         // counted against what guarantees may be bound to
	outstanding bool         // placed by a decision that isn't committed yet
	stopping    bool         // told to stop
	stopBy      time.Time    // when the stop must have ended
	backfilled  bool         // started ahead of a gang that waits
	lost        bool         // has lost a member, so it stops in any case
	failing     bool         // a decision to fail it is on its way
	uncharged   []string     // workers whose failure was the worker's own
	moved       int          // times that it was stopped to make room
	placedAt    time.Time
	key         time.Time // order in its team's queue
}

func newJob(m model.Job) *job {
	return &job{Job: m, need: place.NeedOf(m.Shape), phase: queued}
}

func holds(s model.JobState) bool {
	return s == model.JobPreparing || s == model.JobRunning || s == model.JobStopping
}

// borrowing reports whether the job may be stopped for a guarantee.
func (j *job) borrowing() bool { return j.unit == nil && j.Stoppable }

// avoids reports whether the job has failed on the worker and the worker
// hasn't been found to be the cause.
func (j *job) avoids(worker string) bool {
	return slices.Contains(j.FailedOn, worker) && !slices.Contains(j.uncharged, worker)
}

func (j *job) on(worker string) place.Need {
	for _, c := range j.cells {
		if c.Worker == worker {
			return j.need.Times(c.Count)
		}
	}
	return place.Need{}
}

// view returns the capacity that the job may use outside its guarantee.
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
