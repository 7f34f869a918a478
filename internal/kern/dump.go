package kern

import "time"

// State tells whether a process accepts work.
type State string

// States of a process.
const (
	StateRunning  State = "running"
	StateDraining State = "draining" // finishes running work and accepts no new work
)

// Health is the response body of /healthz and /drain.
type Health struct {
	State State `json:"state"`
}

// Dump is the state of a process and its roles.
type Dump struct {
	Node      Node           `json:"node"`
	Version   string         `json:"version"`
	State     State          `json:"state"`
	StartedAt time.Time      `json:"started"`
	TakenAt   time.Time      `json:"taken"`
	Admin     string         `json:"admin"` // address of the admin listener
	Roles     map[string]any `json:"roles"` // what each role's Dump returned
}
