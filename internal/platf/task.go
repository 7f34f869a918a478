package platf

import "time"

// TaskState is where a lease and its task stand.
type TaskState string

// The states of a task.
const (
	TaskHeld         TaskState = "held"    // capacity is reserved, nothing runs
	TaskRunning      TaskState = "running" // its command runs
	TaskCheckpointed TaskState = "checkpointed"
	TaskStopped      TaskState = "stopped"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskExpired      TaskState = "expired" // its lease wasn't renewed in time
)

// Live reports whether a task in this state takes capacity.
func (s TaskState) Live() bool { return s == TaskHeld || s == TaskRunning }

// Task is what a lease holds or runs on a worker.
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
	Deadline time.Time `json:"deadline"`        // when the lease expires unless renewed
	Share    float64   `json:"share,omitempty"` // of full speed, while it runs
	SavedMs  int64     `json:"savedms,omitempty"`
}
