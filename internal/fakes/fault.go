package fakes

// Fault describes the faults of a worker of the fake platform.
type Fault struct {
	Fails       bool  `json:"fails"`       // every task fails as soon as it is started
	Unreachable bool  `json:"unreachable"` // every request about it fails; its tasks keep running
	Dead        bool  `json:"dead"`        // unreachable, and its tasks have ended
	DelayMs     int64 `json:"delayms"`     // milliseconds before each response about it
}
