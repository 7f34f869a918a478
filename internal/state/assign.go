package state

import (
	"cmp"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Phase is what a task's agent has to do.
type Phase string

// The phases of a task.
const (
	PhasePrepare Phase = "prepare" // take the lease, start nothing
	PhaseRun     Phase = "run"
	PhaseStop    Phase = "stop" // checkpoint if possible, then stop
)

// TaskRef names one member of a job.
type TaskRef struct {
	Job    string `json:"job"`
	Member int    `json:"member"`
}

func compareTasks(a, b TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Member, b.Member))
}

// Task is one member of a job as its worker's agent has to carry it out.
type Task struct {
	TaskRef
	Epoch   uint64 `json:"epoch"`
	Phase   Phase  `json:"phase"`
	Command string `json:"command"`
}

// Assignment is what a worker's agent has to carry out: the tasks that changed
// since the version that the agent holds, and the names of all its tasks. A
// task that the agent runs and that isn't in Held is to be stopped.
type Assignment struct {
	Worker  string            `json:"worker"`
	Version uint64            `json:"version"`
	State   model.WorkerState `json:"state"`
	Changed []Task            `json:"changed,omitempty"`
	Held    []TaskRef         `json:"held,omitempty"`
}

// Assignments returns what changed for a worker since a version, and false if
// nothing did. An agent that holds nothing, or a version that the state never
// reached, gets everything.
func (v View) Assignments(worker string, since uint64) (Assignment, bool) {
	w, ok := v.data.workers.get(worker)
	if !ok {
		return Assignment{Worker: worker}, since != 0
	}
	if since == w.Version {
		return Assignment{}, false
	}
	if since > v.data.index {
		since = 0
	}
	a := Assignment{Worker: worker, Version: w.Version, State: w.State, Held: w.Tasks}
	for _, ref := range w.Tasks {
		if j, ok := v.data.jobs.get(ref.Job); ok && j.Moved > since {
			a.Changed = append(a.Changed, j.task(ref))
		}
	}
	return a, true
}

func (j Job) task(ref TaskRef) Task {
	return Task{TaskRef: ref, Epoch: j.Epoch, Phase: j.phase(), Command: j.Command}
}

func (j Job) phase() Phase {
	switch j.State {
	case model.JobPreparing:
		return PhasePrepare
	case model.JobRunning:
		return PhaseRun
	}
	return PhaseStop
}
