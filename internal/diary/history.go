package diary

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Day holds what the logs of one day record about jobs and workers.
type Day struct {
	Jobs    []*Job // in order of acceptance
	Skipped int    // number of lines with a brace that don't parse as JSON

	jobsByID        map[string]*Job
	submitCalls     map[string]int           // number of submit calls at entries, by outcome
	submitDurations map[string]time.Duration // duration of those calls, by request
	workers         map[string]bool          // names of the workers seen
	workerRacks     map[string]string        // by worker
}

// Job is an accepted job with its runs and its end.
type Job struct {
	ID, Call, Queue, Team string

	Accepted     time.Time
	Ended        time.Time // zero if it hasn't ended
	Phase        jobs.Phase
	Steps, Tasks int
	Room         allot.Resources // resources of each task of the first step
	Estimate     time.Duration
	Priority     int
	Slack        float64
	Target       time.Duration
	Gang         bool
	Compact      bool
	Saves        bool
	DataRack     string
	Waits        map[allot.Verdict]int // how often plans gave each verdict on the waiting job
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
	Task    string
	Run     int
	Worker  string
	Factor  float64   // by which distance lengthens the run
	Whole   bool      // from its beginning, not from a checkpoint
	Ordered time.Time // when control ordered the start
	Begun   time.Time // when the worker answered that the run has begun
	Ended   time.Time
	How     jobs.RunOutcome
	MadeWay string // id of the job for which it was preempted
}

func newDay() *Day {
	return &Day{
		jobsByID: map[string]*Job{}, submitCalls: map[string]int{}, submitDurations: map[string]time.Duration{},
		workers: map[string]bool{}, workerRacks: map[string]string{},
	}
}

func (d *Day) sortJobs() {
	for _, j := range d.jobsByID {
		for _, r := range j.runsByKey {
			if !r.Ordered.IsZero() {
				j.Runs = append(j.Runs, r)
			}
		}
		slices.SortFunc(j.Runs, func(a, b *Run) int {
			return cmp.Or(a.Ordered.Compare(b.Ordered), cmp.Compare(a.Task, b.Task))
		})
		d.Jobs = append(d.Jobs, j)
	}
	slices.SortFunc(d.Jobs, func(a, b *Job) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID)) })
}

// lastRunEnd returns the end of the job's last run.
func (j *Job) lastRunEnd() time.Time {
	var end time.Time
	for _, r := range j.Runs {
		if r.Ended.After(end) {
			end = r.Ended
		}
	}
	return end
}

// taskCores returns the resources of a task in cores; an accelerator counts as eight.
func (j *Job) taskCores() float64 { return float64(j.Room.CPU)/1000 + 8*float64(j.Room.Accels) }

// lostCoreSeconds returns the core-seconds of the runs whose work was lost: those
// that began and ended without completing, of a job without checkpoints.
func (j *Job) lostCoreSeconds() float64 {
	sum := 0.0
	for _, r := range j.Runs {
		if r.How != jobs.RunDone && !j.Saves && !r.Ended.IsZero() && !r.Begun.IsZero() {
			sum += r.Ended.Sub(r.Begun).Seconds() * j.taskCores()
		}
	}
	return sum
}
