package jobs

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidJob marks an invalid job specification or task name.
var ErrInvalidJob = errors.New("invalid job")

// Limits on a job. They keep one caller from filling the log.
const (
	MaxTextBytes   = 4000    // of the job's text; documented in the callers' API
	MaxSteps       = 256     // per job
	MaxTasks       = 20_000  // per occurrence of a job
	MaxOccurrences = 100_000 // occurrences per job
	maxAmount      = 1 << 40 // of any resource or duration; far above the size of any host
)

var jobIDPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// ValidID reports whether id is a valid job id: 16 lower-case hexadecimal digits.
func ValidID(id string) bool { return jobIDPattern.MatchString(id) }

// Spec is a job as specified by its caller. It is immutable.
type Spec struct {
	Text  string `json:"text"` // sent to the worker with every task
	Steps []Step `json:"steps"`
	// RepeatCount is the number of occurrences, each of which runs all steps; 0 is a single
	// occurrence that is due immediately. Otherwise occurrence k, counted from 0, is
	// due at Unix time StartAtMs + k * IntervalMs, in milliseconds.
	RepeatCount int   `json:"times,omitempty"`
	StartAtMs   int64 `json:"first,omitempty"`
	IntervalMs  int64 `json:"every,omitempty"`
}

// Step is a set of identical tasks.
type Step struct {
	Count           int    `json:"count"`
	CPU             int64  `json:"cpu,omitempty"`      // per task, thousandths of a core
	Memory          int64  `json:"memory,omitempty"`   // per task, MiB
	Accels          int64  `json:"accels,omitempty"`   // per task
	EstimateMs      int64  `json:"estimate,omitempty"` // the caller's rough estimate of a task's duration
	DependsOn       []int  `json:"after,omitempty"`    // indexes of earlier steps that must be done before this one starts
	Gang            bool   `json:"gang,omitempty"`     // all tasks start together or none does
	RackLocal       bool   `json:"compact,omitempty"`  // tasks are slower if spread over more than one rack
	RequiredLabel   string `json:"label,omitempty"`    // label that a worker must have
	DataRack        string `json:"datarack,omitempty"` // tasks are slower on any other rack
	MaxPerWorker    int    `json:"spread,omitempty"`   // maximum number of the step's tasks on one worker; 0 is no limit
	Checkpoints     bool   `json:"saves,omitempty"`    // tasks write checkpoints from which a later run can resume
	Speculative     bool   `json:"copies,omitempty"`   // a task may have several concurrent runs
	LongRunning     bool   `json:"lasts,omitempty"`    // tasks run until the job is canceled
	Image           string `json:"image,omitempty"`    // as given by the caller; only stored
	TargetLatencyMs int64  `json:"target,omitempty"`   // target for the tail latency of long-running tasks
	BestEffortCPU   bool   `json:"fills,omitempty"`    // tasks reserve no CPU and use only idle cores
	MaxUnavailable  int    `json:"maymiss,omitempty"`  // tasks that the system itself may stop at the same time
}

// Occurrences returns the number of occurrences of the job.
func (s *Spec) Occurrences() int { return max(1, s.RepeatCount) }

// DueMs returns the Unix time in milliseconds at which occurrence k may start; 0 is
// immediately.
func (s *Spec) DueMs(k int) int64 {
	if s.RepeatCount == 0 {
		return 0
	}
	return s.StartAtMs + int64(k)*s.IntervalMs
}

// Tasks returns the number of tasks of one occurrence.
func (s *Spec) Tasks() int {
	n := 0
	for _, st := range s.Steps {
		n += st.Count
	}
	return n
}

// Validate returns an ErrInvalidJob that names the first error.
func (s *Spec) Validate() error {
	switch {
	case len(s.Text) > MaxTextBytes:
		return errors.Wrapf(ErrInvalidJob, "spec of %d bytes, at most %d", len(s.Text), MaxTextBytes)
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return errors.Wrapf(ErrInvalidJob, "%d steps, want 1 to %d", len(s.Steps), MaxSteps)
	case s.RepeatCount < 0 || s.RepeatCount > MaxOccurrences:
		return errors.Wrapf(ErrInvalidJob, "%d occurrences, want 0 to %d", s.RepeatCount, MaxOccurrences)
	case s.IntervalMs < 0 || s.StartAtMs < 0 || s.IntervalMs > math.MaxInt64/MaxOccurrences/2 || s.StartAtMs > math.MaxInt64/2:
		return errors.Wrap(ErrInvalidJob, "start time or interval of the occurrences out of range")
	}
	tasks := 0
	for i, st := range s.Steps {
		if err := st.validate(i); err != nil {
			return err
		}
		tasks += st.Count
		if tasks > MaxTasks {
			return errors.Wrapf(ErrInvalidJob, "more than %d tasks", MaxTasks)
		}
	}
	return nil
}

func (st Step) validate(index int) error {
	switch {
	case st.Count < 1 || st.Count > MaxTasks:
		return errors.Wrapf(ErrInvalidJob, "step %d: count of %d is out of range", index, st.Count)
	case outOfRange(st.CPU) || outOfRange(st.Memory) || outOfRange(st.Accels):
		return errors.Wrapf(ErrInvalidJob, "step %d: resources out of range", index)
	case outOfRange(st.EstimateMs) || outOfRange(st.TargetLatencyMs) || st.MaxPerWorker < 0 || st.MaxUnavailable < 0:
		return errors.Wrapf(ErrInvalidJob, "step %d: estimate, target latency, tasks per worker or unavailable tasks out of range", index)
	}
	for _, dep := range st.DependsOn {
		// A step may depend only on earlier ones, so there are no cycles.
		if dep < 0 || dep >= index {
			return errors.Wrapf(ErrInvalidJob, "step %d: depends on step %d, which is not an earlier step", index, dep)
		}
	}
	return nil
}

func outOfRange(n int64) bool { return n < 0 || n > maxAmount }

// TaskID identifies a task. Commands are stored with these field names.
type TaskID struct {
	Job   string // id
	Occur int    // number of the occurrence, from 0
	Step  int    // index in Spec.Steps
	Index int    // among the tasks of the step, from 0
}

// String returns the name of the task in orders and reports: JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.StepName() + "." + strconv.Itoa(t.Index) }

// StepName returns the part of the name that the tasks of a step have in common: JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string { return fmt.Sprintf("%s.%d.%d", t.Job, t.Occur, t.Step) }

// ParseTaskID parses a task name as returned by TaskID.String.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || !ValidID(parts[0]) {
		return TaskID{}, errors.Wrapf(ErrInvalidJob, "task name %q", name)
	}
	t := TaskID{Job: parts[0]}
	for i, part := range []*int{&t.Occur, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 || strconv.Itoa(n) != parts[i+1] {
			return TaskID{}, errors.Wrapf(ErrInvalidJob, "task name %q", name)
		}
		*part = n
	}
	return t, nil
}
