package platf

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// HoldRequest asks for a lease on a worker without starting a task.
type HoldRequest struct {
	Worker   string    `json:"worker"`
	Job      string    `json:"job"`
	Member   int       `json:"member"`
	Epoch    uint64    `json:"epoch"` // fencing epoch; refused if lower than the job's highest
	Cores    int       `json:"cores"`
	Memory   int64     `json:"memory"` // bytes
	Accels   int       `json:"accels"`
	Deadline time.Time `json:"deadline"`
}

// StartRequest starts a command under a held lease.
type StartRequest struct {
	Epoch   uint64 `json:"epoch"`
	Command string `json:"command"`
}

// RenewRequest changes the deadline of a lease.
type RenewRequest struct {
	Epoch    uint64    `json:"epoch"`
	Deadline time.Time `json:"deadline"`
}

// CheckpointRequest saves the progress of a running task, which keeps running.
type CheckpointRequest struct {
	Epoch uint64 `json:"epoch"`
}

// ThrottleRequest limits a task to a share of its full speed.
type ThrottleRequest struct {
	Epoch uint64  `json:"epoch"`
	Share float64 `json:"share"` // above 0, at most 1
}

// StopRequest ends a lease and its task.
type StopRequest struct {
	Epoch uint64 `json:"epoch"`
}

// WorkerList is the response body of GET /v1/workers.
type WorkerList struct {
	Workers []model.Worker `json:"workers"`
}

// TaskList is the response body of GET /v1/workers/{name}/tasks.
type TaskList struct {
	Tasks []Task `json:"tasks"`
}

// Usage is the resource usage of one worker at the time At.
type Usage struct {
	Worker string    `json:"worker"`
	Cores  int       `json:"cores"`
	Memory int64     `json:"memory"`
	Accels int       `json:"accels"`
	At     time.Time `json:"at"`
}

// UsageList is the response body of GET /v1/usage.
type UsageList struct {
	Usage []Usage `json:"usage"`
}
