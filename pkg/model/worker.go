package model

// WorkerState says whether a worker may be given work.
type WorkerState string

// The states of a worker.
const (
	WorkerReady      WorkerState = "ready"
	WorkerCordoned   WorkerState = "cordoned"   // keeps its work and gets no more
	WorkerDraining   WorkerState = "draining"   // its work is checkpointed and moved
	WorkerQuarantine WorkerState = "quarantine" // fails what it starts; only probes run there
	WorkerLost       WorkerState = "lost"       // its heartbeat has stopped
)

// Worker is one host of the fleet, as the platform describes it.
type Worker struct {
	Name   string      `json:"name"`
	Rack   string      `json:"rack"`
	Domain string      `json:"domain"` // failure domain
	Region string      `json:"region"`
	Cores  int         `json:"cores"`
	Memory int64       `json:"memory"` // bytes
	Accels int         `json:"accels"`
	Kind   string      `json:"kind"`  // kind of its accelerators
	Speed  float64     `json:"speed"` // relative to 1.0, the fleet's reference
	State  WorkerState `json:"state"`
}

// WithState returns the worker in another state.
func (w Worker) WithState(s WorkerState) Worker {
	w.State = s
	return w
}
