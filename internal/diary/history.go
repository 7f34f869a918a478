package diary

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Day is what the logs of a day tell.
type Day struct {
	Jobs    []*Job // in order of acceptance
	Skipped int    // lines that are no JSON of ours

	jobs    map[string]*Job
	calls   map[string]int           // submitting calls at entries, by outcome
	took    map[string]time.Duration // of those calls, by request
	workers map[string]bool
	racks   map[string]string // by worker
}

// Job is what became of an accepted job.
type Job struct {
	ID, Call, Queue, Team string

	Accepted     time.Time
	Ended        time.Time // zero if it hasn't
	Phase        jobs.Phase
	Steps, Tasks int
	Room         allot.Resources // of a task of the first step
	Estimate     time.Duration
	Priority     int
	Slack        float64
	Target       time.Duration
	Gang         bool
	Compact      bool
	Saves        bool
	DataRack     string
	Waits        map[allot.Verdict]int // how often a plan decided so
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
	Run     int
	Worker  string
	Factor  float64 // by which distance makes it longer
	Whole   bool    // from its beginning, not from a checkpoint
	Ordered time.Time
	Begun   time.Time // the worker's answer
	Ended   time.Time
	How     jobs.RunOutcome
	MadeWay string // for which job it was stopped
}

func newDay() *Day {
	return &Day{
		jobs: map[string]*Job{}, calls: map[string]int{}, took: map[string]time.Duration{},
		workers: map[string]bool{}, racks: map[string]string{},
	}
}

func (d *Day) sort() {
	for _, j := range d.jobs {
		for _, r := range j.runs {
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

// lastEnd returns when the last run of a job ended.
func (j *Job) lastEnd() time.Time {
	var at time.Time
	for _, r := range j.Runs {
		if r.Ended.After(at) {
			at = r.Ended
		}
	}
	return at
}

// cost returns what a task takes of its worker, in cores, where an accelerator
// counts as eight.
func (j *Job) cost() float64 { return float64(j.Room.CPU)/1000 + 8*float64(j.Room.Accels) }

// thrown returns the core-seconds of work that was begun and came to nothing.
func (j *Job) thrown() float64 {
	sum := 0.0
	for _, r := range j.Runs {
		if r.How != jobs.RunDone && !j.Saves && !r.Ended.IsZero() && !r.Begun.IsZero() {
			sum += r.Ended.Sub(r.Begun).Seconds() * j.cost()
		}
	}
	return sum
}
