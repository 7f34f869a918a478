package platf

import "time"

// TaskState is the state of a lease and of its task.
type TaskState string

// The states of a task.
const (
	TaskHeld         TaskState = "held"         // capacity is reserved, no command runs
	TaskRunning      TaskState = "running"      // the command runs
	TaskCheckpointed TaskState = "checkpointed" // stopped after its progress was saved
	TaskStopped      TaskState = "stopped"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskExpired      TaskState = "expired" // the lease wasn't renewed in time
)

// Live reports whether a task in this state occupies capacity.
func (s TaskState) Live() bool { return s == TaskHeld || s == TaskRunning }

// Task is a lease on a worker and the task that runs under it.
type Task struct {
	ID       string    `json:"id"`
	Worker   string    `json:"worker"`
	Job      string    `json:"job"`
	Member   int       `json:"member"`
	Epoch    uint64    `json:"epoch"`
	Cores    int       `json:"cores"`
	Memory   int64     `json:"memory"`
	Accels   int       `json:"accels"`
	State    TaskState `json:"state"`
	Reason   string    `json:"reason,omitempty"`
	Command  string    `json:"command,omitempty"`
	Held     time.Time `json:"held"`
	Started  time.Time `json:"started,omitzero"`
	Ended    time.Time `json:"ended,omitzero"`
	Deadline time.Time `json:"deadline"`          // when the lease expires unless it is renewed
	Share    float64   `json:"share,omitempty"`   // share of full speed while the task runs
	SavedMs  int64     `json:"savedms,omitempty"` // progress saved by the last checkpoint
}
