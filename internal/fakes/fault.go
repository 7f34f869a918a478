package fakes

// Fault is what is wrong with a worker of the platform stand-in.
type Fault struct {
	Fails       bool  `json:"fails"`       // every task fails as soon as it is started
	Unreachable bool  `json:"unreachable"` // nothing can be asked of it, its tasks run on
	Dead        bool  `json:"dead"`        // unreachable, and its tasks have ended
	DelayMs     int64 `json:"delayms"`     // milliseconds before each answer that concerns it
}
