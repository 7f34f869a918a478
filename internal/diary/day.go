package diary

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// DayLog is what the logs of a day tell.
type DayLog struct {
	Jobs    []*Job // in order of acceptance
	SkippedLines int    // lines that are no JSON of ours

	jobs    map[string]*Job
	calls   map[string]int           // submitting calls at entries, by outcome
	took    map[string]time.Duration // of those calls, by request
	workers map[string]bool
	racks   map[string]string // by worker
}

// Job is what became of an accepted job.
type Job struct {
	ID, SubmitRequest, Queue, Team string

	AcceptedAt     time.Time
	EndedAt        time.Time // zero if it hasn't
	Phase        jobs.Phase
	Steps, Tasks int
	PerTask         allot.Resources // of a task of the first step
	Estimate     time.Duration
	Priority     int
	Slack        float64
	Target       time.Duration
	Gang         bool
	Compact      bool
	Checkpoints        bool
	DataRack     string
	Verdicts        map[allot.Verdict]int // how often a plan decided so
	Runs         []*Run                // in order of their starts

	runs map[runName]*Run
}

type runName struct {
	task string
	run  int
}

// Run is one start of a task.
type Run struct {
	Task    string
	Number     int
	Worker  string
	DistanceFactor  float64 // by which distance makes it longer
	FromStart   bool    // from its beginning, not from a checkpoint
	OrderedAt time.Time
	BegunAt   time.Time // the worker's answer
	EndedAt   time.Time
	Outcome     jobs.RunOutcome
	PreemptedFor string // for which job it was stopped
}

func newDay() *DayLog {
	return &DayLog{
		jobs: map[string]*Job{}, calls: map[string]int{}, took: map[string]time.Duration{},
		workers: map[string]bool{}, racks: map[string]string{},
	}
}

func (d *DayLog) sort() {
	for _, j := range d.jobs {
		for _, r := range j.runs {
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

// lastEnd returns when the last run of a job ended.
func (j *Job) lastEnd() time.Time {
	var at time.Time
	for _, r := range j.Runs {
		if r.EndedAt.After(at) {
			at = r.EndedAt
		}
	}
	return at
}

// cost returns what a task takes of its worker, in cores, where an accelerator
// counts as eight.
func (j *Job) cost() float64 { return float64(j.PerTask.CPU)/1000 + 8*float64(j.PerTask.Accels) }

// thrown returns the core-seconds of work that was begun and came to nothing.
func (j *Job) thrown() float64 {
	sum := 0.0
	for _, r := range j.Runs {
		if r.Outcome != jobs.RunDone && !j.Checkpoints && !r.EndedAt.IsZero() && !r.BegunAt.IsZero() {
			sum += r.EndedAt.Sub(r.BegunAt).Seconds() * j.cost()
		}
	}
	return sum
}
