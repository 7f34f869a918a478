package state

import (
	"cmp"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Phase says what the agent has to do with a task.
type Phase string

// The phases of a task.
const (
	PhasePrepare Phase = "prepare" // take the lease; don't start yet
	PhaseRun     Phase = "run"     // start, or keep running
	PhaseStop    Phase = "stop"    // checkpoint if possible, then stop
)

// TaskRef identifies one member of a job.
type TaskRef struct {
	Job    string `json:"job"`
	Member int    `json:"member"`
}

func compareTaskRefs(a, b TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Member, b.Member))
}

// Task is one member of a job in the form that the worker's agent receives.
type Task struct {
	TaskRef
	Epoch   uint64 `json:"epoch"`
	Phase   Phase  `json:"phase"`
	Command string `json:"command"`
}

// Assignment is the update of a worker's tasks for its agent. It holds the tasks
// that changed since the version that the agent has, and references to all tasks
// of the worker. The agent has to stop every task that isn't among the latter.
type Assignment struct {
	Worker   string            `json:"worker"`
	Version  uint64            `json:"version"`
	State    model.WorkerState `json:"state"`
	Changed  []Task            `json:"changed,omitempty"` // tasks that changed since the version that the agent has
	Assigned []TaskRef         `json:"held,omitempty"`    // all tasks of the worker
}

// Assignments returns what changed for a worker since a version, and false if
// nothing changed. Version 0, and a version that the state has not reached, get
// all tasks. An unknown worker has no tasks, so that its agent stops the tasks
// that it got at an earlier version.
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
	a := Assignment{Worker: worker, Version: w.Version, State: w.State, Assigned: w.Tasks}
	for _, ref := range w.Tasks {
		if j, ok := v.data.jobs.get(ref.Job); ok && j.PhaseIndex > since {
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
