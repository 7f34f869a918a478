package model

// WorkerState says whether a worker may be given work.
type WorkerState string

// The states of a worker.
const (
	WorkerReady      WorkerState = "ready"
	WorkerCordoned   WorkerState = "cordoned"   // keeps its work and gets no more
	WorkerDraining   WorkerState = "draining"   // its work is checkpointed and moved
	WorkerQuarantine WorkerState = "quarantine" // too many starts failed there; it only runs probes
	WorkerLost       WorkerState = "lost"       // its heartbeat has stopped
)

// Worker is one host of the fleet, as the platform describes it.
type Worker struct {
	Name   string      `json:"name" validate:"label"`
	Rack   string      `json:"rack" validate:"label"`
	Domain string      `json:"domain" validate:"label"` // failure domain
	Region string      `json:"region" validate:"label"`
	Cores  int         `json:"cores" validate:"min=1,max=4096"`
	Memory int64       `json:"memory" validate:"min=1,max=17592186044416"` // bytes
	Accels int         `json:"accels" validate:"min=0,max=1024"`
	Kind   string      `json:"kind" validate:"max=64"`         // kind of its accelerators
	Speed  float64     `json:"speed" validate:"gt=0,lte=1000"` // relative to the reference speed 1.0 of the fleet
	State  WorkerState `json:"state"`
}

// WithState returns a copy of the worker with another state.
func (w Worker) WithState(s WorkerState) Worker {
	w.State = s
	return w
}
