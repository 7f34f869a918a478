package kern

import "time"

// State is where a process stands.
type State string

// The states of a process.
const (
	StateRunning  State = "running"
	StateDraining State = "draining" // finishes its work and takes no more
)

// Health is the answer of /healthz and /drain.
type Health struct {
	State State `json:"state"`
}

// Dump is the whole state of a process.
type Dump struct {
	Node    Node           `json:"node"`
	Version string         `json:"version"`
	State   State          `json:"state"`
	StartedAt time.Time      `json:"started"`
	TakenAt   time.Time      `json:"taken"`
	Admin   string         `json:"admin"` // address of the admin listener
	Roles   map[string]any `json:"roles"` // what each role's Dump returned
}
