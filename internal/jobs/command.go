package jobs

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Errors returned in the Result of a command.
var (
	ErrFenced     = errors.New("a newer leader has begun")
	ErrConflict   = errors.New("the id belongs to another job")
	ErrUnknownJob = errors.New("no such job")
	// ErrStaleConfig means that a job names its queue and team by another configuration than the one in force.
	ErrStaleConfig = errors.New("another configuration is in force")
)

// Command is one entry of the replicated log. Its parts are applied in the order of
// the fields.
type Command struct {
	Term      uint64 `json:"term"`           // of the leader; commands of earlier terms are rejected
	NowMs     int64  `json:"now"`            // wall clock of the leader, Unix milliseconds
	BeginTerm bool   `json:"lead,omitempty"` // first command of a new leader

	Config      *Config        `json:"config,omitempty"`   // replaces the one in force if its version is higher
	Evacuate    string         `json:"evacuate,omitempty"` // failure domain in which nothing starts any more
	Withdraw    string         `json:"withdraw,omitempty"` // failure domain whose evacuation ends
	Submit      *Submit        `json:"submit,omitempty"`
	Cancel      string         `json:"cancel,omitempty"` // id of the job to cancel
	Ends        []RunEnds      `json:"ends,omitempty"`
	Unstarted   []UnstartedRun `json:"gone,omitempty"`
	LostWorkers []LostWorker   `json:"lost,omitempty"`
	Starts      []Start        `json:"starts,omitempty"`
	BegunJobs   []string       `json:"begun,omitempty"` // ids of jobs of which a worker has listed a run
	DropJobs    []string       `json:"drop,omitempty"`  // ids of ended jobs to delete

	Estimates *Estimates `json:"learned,omitempty"`
}

// Estimates holds the estimates of worker speeds and task durations that changed since
// the leader last committed them. A new leader starts from the committed estimates.
type Estimates struct {
	Speeds         []WorkerSpeed      `json:"speeds,omitempty"`
	LogTaskSeconds map[string]float64 `json:"work,omitempty"` // by queue: natural logarithm of a task's duration in seconds
}

// WorkerSpeed is the estimated speed of a worker.
type WorkerSpeed struct {
	Worker   Worker  `json:"worker"`
	LogSpeed float64 `json:"log"`   // natural logarithm of the speed; 0 is the average
	StdDev   float64 `json:"doubt"` // standard deviation of the logarithm
}

// Submit adds a job to the state. Its service, priority, attempts, slack factor and target
// are those of its queue at the time of submission.
type Submit struct {
	ID          string  `json:"id"`
	Queue       string  `json:"queue"`
	Service     string  `json:"service"`
	Team        string  `json:"team"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"attempts"`
	SlackFactor float64 `json:"slack"`
	TargetMs    int64   `json:"target"`
	Spec        *Spec   `json:"spec"`

	Place         string `json:"place,omitempty"`  // of the queue
	ConfigVersion uint64 `json:"config,omitempty"` // of the configuration that has these names; 0 if it isn't known
}

// RunEnds lists runs that a worker reported as ended, in the order of their numbers.
type RunEnds struct {
	Worker Worker   `json:"worker"`
	Host   string   `json:"host"` // name of the agent on the worker's host
	Ends   []RunEnd `json:"ends"`
}

// RunEnd describes the end of one run.
type RunEnd struct {
	Number     uint64     `json:"number"` // sequence number of the end on this worker, from 1
	Task       string     `json:"task"`   // name of the task
	Run        int        `json:"run"`    // number of the run
	Outcome    RunOutcome `json:"how"`
	Checkpoint string     `json:"saved,omitempty"` // from which the next run can resume, "" if there is none
}

// UnstartedRun is a run that was assigned to a worker but never started there and no
// longer can.
type UnstartedRun struct {
	Worker Worker `json:"worker"`
	Task   string `json:"task"` // name of the task
	Run    int    `json:"run"`  // number of the run
}

// LostWorker ends all runs on a worker incarnation that no longer exists.
type LostWorker struct {
	Worker      Worker            `json:"worker"`
	Checkpoints map[string]string `json:"saved,omitempty"` // latest reported checkpoints, by task name
}

// Start assigns a group of tasks to workers, all of them or none. For a gang the
// group is all members.
type Start struct {
	Placements []Placement `json:"places"`
}

// Placement assigns a task to a worker.
type Placement struct {
	Task   TaskID `json:"task"`
	Worker Worker `json:"worker"`
	Host   string `json:"host"`             // name of the agent on the worker's host
	Domain string `json:"domain,omitempty"` // failure domain of that host, "" if it isn't known
}

// Result is the result of applying a command.
type Result struct {
	Err     error  // a sentinel error of this package, a decoding error, or nil
	Phase   Phase  // of the job submitted or canceled
	Version uint64 // of the configuration in force
	// RenamedQueues holds the new names, by their old ones, of queues that the command's configuration has renamed.
	RenamedQueues map[string]string
	// Runs holds the run number for each of the command's starts, 0 for one that was
	// rejected. Refusals holds the reasons, "" for starts that were accepted.
	Runs     []int
	Refusals []string
}

// Encode returns the log representation of a command.
func Encode(c Command) ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}
