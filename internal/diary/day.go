package diary

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// DayLog holds what the logs of one day record about jobs and workers.
type DayLog struct {
	Jobs         []*Job // in order of acceptance
	SkippedLines int    // number of lines with a brace that don't parse as JSON

	jobsByID        map[string]*Job
	submitCalls     map[string]int           // number of submit calls at entries, by outcome
	submitDurations map[string]time.Duration // duration of those calls, by request
	workers         map[string]bool          // names of the workers seen
	workerRacks     map[string]string        // by worker
}

// Job is an accepted job with its runs and its end.
type Job struct {
	ID, SubmitRequest, Queue, Team string

	AcceptedAt   time.Time
	EndedAt      time.Time // zero if it hasn't ended
	Phase        jobs.Phase
	Steps, Tasks int
	PerTask      allot.Resources // resources of each task of the first step
	Estimate     time.Duration
	Priority     int
	Slack        float64
	Target       time.Duration
	Gang         bool
	Compact      bool
	Checkpoints  bool
	DataRack     string
	Verdicts     map[allot.Verdict]int // how often plans gave each verdict on the waiting job
	Runs         []*Run                // in the order of their start orders

	runsByKey map[runKey]*Run
}

// runKey identifies a run of a job.
type runKey struct {
	task string
	run  int
}

// Run is one start of a task.
type Run struct {
	Task           string
	Number         int
	Worker         string
	DistanceFactor float64   // by which distance lengthens the run
	FromStart      bool      // from its beginning, not from a checkpoint
	OrderedAt      time.Time // when control ordered the start
	BegunAt        time.Time // when the worker answered that the run has begun
	EndedAt        time.Time
	Outcome        jobs.RunOutcome
	PreemptedFor   string // id of the job for which it was preempted
}

func newDayLog() *DayLog {
	return &DayLog{
		jobsByID: map[string]*Job{}, submitCalls: map[string]int{}, submitDurations: map[string]time.Duration{},
		workers: map[string]bool{}, workerRacks: map[string]string{},
	}
}

func (d *DayLog) sortJobs() {
	for _, j := range d.jobsByID {
		for _, r := range j.runsByKey {
			if !r.OrderedAt.IsZero() {
				j.Runs = append(j.Runs, r)
			}
		}
		slices.SortFunc(j.Runs, func(a, b *Run) int {
			return cmp.Or(a.OrderedAt.Compare(b.OrderedAt), cmp.Compare(a.Task, b.Task))
		})
		d.Jobs = append(d.Jobs, j)
	}
	slices.SortFunc(d.Jobs, func(a, b *Job) int { return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.ID, b.ID)) })
}

// lastRunEnd returns the end of the job's last run.
func (j *Job) lastRunEnd() time.Time {
	var end time.Time
	for _, r := range j.Runs {
		if r.EndedAt.After(end) {
			end = r.EndedAt
		}
	}
	return end
}

// taskCores returns the resources of a task in cores; an accelerator counts as eight.
func (j *Job) taskCores() float64 { return float64(j.PerTask.CPU)/1000 + 8*float64(j.PerTask.Accels) }

// lostCoreSeconds returns the core-seconds of the runs whose work was lost: those
// that began and ended without completing, of a job without checkpoints.
func (j *Job) lostCoreSeconds() float64 {
	sum := 0.0
	for _, r := range j.Runs {
		if r.Outcome != jobs.RunDone && !j.Checkpoints && !r.EndedAt.IsZero() && !r.BegunAt.IsZero() {
			sum += r.EndedAt.Sub(r.BegunAt).Seconds() * j.taskCores()
		}
	}
	return sum
}
