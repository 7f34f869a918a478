package jobs

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrJob marks a job that can't be accepted as it is.
var ErrJob = errors.New("invalid job")

// Bounds on a job. They keep one caller from filling the log.
const (
	MaxSpec  = 4000    // bytes, as the callers' interface says
	MaxSteps = 256     // steps of a job
	MaxTasks = 20_000  // tasks of one occurrence of a job
	MaxTimes = 100_000 // occurrences
	maxSize  = 1 << 40 // of a resource, far above any host
)

var idForm = regexp.MustCompile(`^[0-9a-f]{16}$`)

// ValidID tells whether a caller may choose this id.
func ValidID(id string) bool { return idForm.MatchString(id) }

// Spec is a job as its caller described it. It is never changed.
type Spec struct {
	Text  string `json:"text"` // handed to every task
	Steps []Step `json:"steps"`
	// Times is how often the steps run; 0 is once, at once. Occurrence k is due
	// EveryMs × k after FirstMs, which is Unix time.
	Times   int   `json:"times,omitempty"`
	FirstMs int64 `json:"first,omitempty"`
	EveryMs int64 `json:"every,omitempty"`
}

// Step is a number of like tasks.
type Step struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu,omitempty"`      // of each task, thousandths of a core
	Memory     int64  `json:"memory,omitempty"`   // of each task, MiB
	Accels     int64  `json:"accels,omitempty"`   // of each task
	EstimateMs int64  `json:"estimate,omitempty"` // of a task's duration, rough
	After      []int  `json:"after,omitempty"`    // steps that must be done first
	Gang       bool   `json:"gang,omitempty"`     // tasks run together or not at all
	Compact    bool   `json:"compact,omitempty"`  // slower on more than one rack
	Label      string `json:"label,omitempty"`    // that a worker must have
	DataRack   string `json:"datarack,omitempty"` // slower on any other rack
	Spread     int    `json:"spread,omitempty"`   // most tasks on one worker; 0 is any
	Saves      bool   `json:"saves,omitempty"`    // tasks checkpoint their progress
	Copies     bool   `json:"copies,omitempty"`   // a task may run more than once at a time
	Lasts      bool   `json:"lasts,omitempty"`    // tasks run until the job is cancelled
	Image      string `json:"image,omitempty"`
	TargetMs   int64  `json:"target,omitempty"`  // bound on the tail latency of a task that lasts
	Fills      bool   `json:"fills,omitempty"`   // takes only the cores that others leave unused
	MayMiss    int    `json:"maymiss,omitempty"` // tasks that may be away by the system's own doing
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Times) }

// DueMs returns when an occurrence may start, as Unix time; 0 is at once.
func (s *Spec) DueMs(k int) int64 {
	if s.Times == 0 {
		return 0
	}
	return s.FirstMs + int64(k)*s.EveryMs
}

// Tasks returns the number of tasks of one occurrence.
func (s *Spec) Tasks() int {
	n := 0
	for _, st := range s.Steps {
		n += st.Count
	}
	return n
}

// Validate returns an ErrJob that names the first fault.
func (s *Spec) Validate() error {
	switch {
	case len(s.Text) > MaxSpec:
		return errors.Wrapf(ErrJob, "spec of %d bytes, at most %d", len(s.Text), MaxSpec)
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return errors.Wrapf(ErrJob, "%d steps, want 1 to %d", len(s.Steps), MaxSteps)
	case s.Times < 0 || s.Times > MaxTimes:
		return errors.Wrapf(ErrJob, "%d occurrences, want 0 to %d", s.Times, MaxTimes)
	case s.EveryMs < 0 || s.FirstMs < 0 || s.EveryMs > math.MaxInt64/MaxTimes/2 || s.FirstMs > math.MaxInt64/2:
		return errors.Wrap(ErrJob, "time of an occurrence out of range")
	}
	tasks := 0
	for i, st := range s.Steps {
		if err := st.validate(i); err != nil {
			return err
		}
		tasks += st.Count
		if tasks > MaxTasks {
			return errors.Wrapf(ErrJob, "more than %d tasks", MaxTasks)
		}
	}
	return nil
}

func (st Step) validate(at int) error {
	switch {
	case st.Count < 1 || st.Count > MaxTasks:
		return errors.Wrapf(ErrJob, "step %d: count %d", at, st.Count)
	case bad(st.CPU) || bad(st.Memory) || bad(st.Accels):
		return errors.Wrapf(ErrJob, "step %d: resources out of range", at)
	case bad(st.EstimateMs) || bad(st.TargetMs) || st.Spread < 0 || st.MayMiss < 0:
		return errors.Wrapf(ErrJob, "step %d: negative figure", at)
	}
	for _, dep := range st.After {
		// Only earlier steps may be named, so there are no cycles.
		if dep < 0 || dep >= at {
			return errors.Wrapf(ErrJob, "step %d: depends on step %d, which is not an earlier one", at, dep)
		}
	}
	return nil
}

func bad(n int64) bool { return n < 0 || n > maxSize }

// TaskID names a task.
type TaskID struct {
	Job   string
	Occur int // occurrence
	Step  int
	Index int
}

// String returns the name under which workers know the task.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occur, t.Step, t.Index)
}

// ParseTask returns the task of a name.
func ParseTask(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || !ValidID(parts[0]) {
		return TaskID{}, errors.Wrapf(ErrJob, "task name %q", name)
	}
	t := TaskID{Job: parts[0]}
	for i, into := range []*int{&t.Occur, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 || strconv.Itoa(n) != parts[i+1] {
			return TaskID{}, errors.Wrapf(ErrJob, "task name %q", name)
		}
		*into = n
	}
	return t, nil
}
