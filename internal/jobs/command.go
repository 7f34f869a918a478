package jobs

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of commands.
var (
	ErrFenced   = errors.New("a newer leader has begun")
	ErrConflict = errors.New("the id belongs to another job")
	ErrUnknown  = errors.New("no such job")
)

// Command is one entry of the log. Its parts take effect in the order of the
// fields.
type Command struct {
	Term  uint64 `json:"term"` // of the leader; commands of earlier terms change nothing
	NowMs int64  `json:"now"`  // time of day at the leader
	Lead  bool   `json:"lead,omitempty"`

	Config *Config   `json:"config,omitempty"`
	Submit *Submit   `json:"submit,omitempty"`
	Cancel string    `json:"cancel,omitempty"`
	Ends   []Ends    `json:"ends,omitempty"`
	Gone   []RunGone `json:"gone,omitempty"`
	Lost   []Lost    `json:"lost,omitempty"`
	Starts []Start   `json:"starts,omitempty"`
	Drop   []string  `json:"drop,omitempty"` // jobs that ended long ago

	Learned *Learned `json:"learned,omitempty"`
}

// Learned is what a leader has learned about workers and queues since it last
// told. Its successors begin with it.
type Learned struct {
	Speeds []Speed            `json:"speeds,omitempty"`
	Work   map[string]float64 `json:"work,omitempty"` // by queue: logarithm of a task's seconds
}

// Speed is how fast a worker is.
type Speed struct {
	Worker Worker  `json:"worker"`
	Log    float64 `json:"log"`   // logarithm, 0 is usual
	Doubt  float64 `json:"doubt"` // standard deviation of Log
}

// Submit accepts a job.
type Submit struct {
	ID       string  `json:"id"`
	Queue    string  `json:"queue"`
	Service  string  `json:"service"`
	Team     string  `json:"team"`
	Priority int     `json:"priority"`
	Attempts int     `json:"attempts"`
	Slack    float64 `json:"slack"`
	TargetMs int64   `json:"target"`
	Spec     *Spec   `json:"spec"`
}

// Ends are runs that a worker listed as ended.
type Ends struct {
	Worker Worker `json:"worker"`
	Host   string `json:"host"`
	Ends   []End  `json:"ends"`
}

// End is the end of one run.
type End struct {
	Number uint64 `json:"number"` // counts the ends on the worker
	Task   string `json:"task"`
	Run    int    `json:"run"`
	How    How    `json:"how"`
	Saved  string `json:"saved,omitempty"`
}

// RunGone is a run that is not on its worker and can't start there any more.
type RunGone struct {
	Worker Worker `json:"worker"`
	Task   string `json:"task"`
	Run    int    `json:"run"`
}

// Lost ends all runs on a life of a worker that is over.
type Lost struct {
	Worker Worker            `json:"worker"`
	Saved  map[string]string `json:"saved,omitempty"` // latest checkpoints seen, by task
}

// Start starts tasks, together or not at all. For a gang these are all members.
type Start struct {
	Places []Place `json:"places"`
}

// Place puts a task on a worker.
type Place struct {
	Task   TaskID `json:"task"`
	Worker Worker `json:"worker"`
	Host   string `json:"host"`
}

// Result is what a command led to.
type Result struct {
	Err     error // ErrFenced, ErrConflict or ErrUnknown
	Phase   Phase // of the job submitted or cancelled
	Version uint64
	// Runs are the run numbers of the command's starts, 0 for one that was
	// refused, and Refusals say why.
	Runs     []int
	Refusals []string
}

// Encode returns the command's form on the log.
func Encode(c Command) ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}
