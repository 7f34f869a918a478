package state

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Mark is a change of a worker's health or of the state that operators want.
type Mark string

// The marks of a worker. Health and the state that operators want are recorded
// separately, so that a cordoned worker that is lost and returns is still
// cordoned.
const (
	MarkLost       Mark = "lost"       // its heartbeat has stopped
	MarkReturned   Mark = "returned"   // its heartbeat has resumed
	MarkQuarantine Mark = "quarantine" // tasks fail on it
	MarkReleased   Mark = "released"   // quarantine ends: probes succeed again
	MarkCordon     Mark = "cordon"     // operators want no new tasks on it
	MarkDrain      Mark = "drain"      // operators want its tasks checkpointed and moved
	MarkUncordon   Mark = "uncordon"   // operators want it in use again
)

// Worker extends model.Worker with what the state machine records about it.
type Worker struct {
	model.Worker
	Lost         bool              `json:"lost,omitempty"`       // no heartbeat, or no longer on the platform's list
	Quarantined  bool              `json:"quarantine,omitempty"` // tasks fail on it
	DesiredState model.WorkerState `json:"wanted"`               // state that operators want: ready, cordoned or draining
	Reason       string            `json:"reason,omitempty"`     // reason of the last mark
	Unlisted     bool              `json:"gone,omitempty"`       // no longer on the platform's list; kept until its tasks end
	Version      uint64            `json:"version"`              // log index of the last change of the worker or its tasks
	Revision     uint64            `json:"revision,omitempty"`   // configuration revision that last changed it
	Plan         string            `json:"plan,omitempty"`       // plan that made that revision
	Tasks        []TaskRef         `json:"-"`                    // ordered; derived from the jobs
}

// SetWorkers updates the workers after a change of the platform's list.
type SetWorkers struct {
	Set  []model.Worker `json:"set,omitempty"`  // added or changed workers
	Drop []string       `json:"drop,omitempty"` // names of workers that are off the list
}

// MarkWorker records that a worker was lost, has returned, enters or leaves
// quarantine, or is cordoned, drained or uncordoned.
type MarkWorker struct {
	Name   string `json:"name"`
	Mark   Mark   `json:"mark"`
	Reason string `json:"reason,omitempty"`
}

// setWorkers stores the valid entries and returns refusals for the others, so
// that one invalid entry doesn't block the rest of the fleet.
func (d *data) setWorkers(c SetWorkers) Result {
	var r Result
	for i, w := range c.Set {
		if refusals := checkFields(fmt.Sprintf("set[%d]", i), w); len(refusals) > 0 {
			r.Refusals = append(r.Refusals, refusals...)
			continue
		}
		d.upsertWorker(w)
	}
	for _, name := range c.Drop {
		d.dropWorker(name)
	}
	if len(r.Refusals) > 0 {
		r.Err = errors.Wrapf(ErrRefused, "%d invalid fields of workers", len(r.Refusals))
	}
	return r
}

func (d *data) upsertWorker(listed model.Worker) {
	old, ok := d.workers.get(listed.Name)
	if !ok {
		d.putWorker(Worker{Worker: listed, DesiredState: model.WorkerReady})
		return
	}
	w := *old
	w.Worker = listed
	w.Name = old.Name
	w.Unlisted = false
	d.putWorker(w)
}

func (d *data) dropWorker(name string) {
	old, ok := d.workers.get(name)
	if !ok {
		return
	}
	d.fleetIndex = d.index
	if len(old.Tasks) == 0 {
		d.workers.drop(name)
		return
	}
	w := *old
	w.Unlisted = true
	w.Lost = true
	d.putWorker(w)
}

func (d *data) markWorker(c MarkWorker) Result {
	old, ok := d.workers.get(c.Name)
	if !ok {
		return errorResult(errors.Wrapf(ErrNotFound, "worker %q", c.Name))
	}
	w, err := old.withMark(c.Mark)
	if err != nil {
		return errorResult(err)
	}
	w.Reason = c.Reason
	d.putWorker(w)
	return Result{}
}

// withMark returns a copy of the worker with the mark applied.
func (w Worker) withMark(m Mark) (Worker, error) {
	switch m {
	case MarkLost:
		w.Lost = true
	case MarkReturned:
		w.Lost = w.Unlisted
	case MarkQuarantine:
		w.Quarantined = true
	case MarkReleased:
		w.Quarantined = false
	case MarkCordon:
		w.DesiredState = model.WorkerCordoned
	case MarkDrain:
		w.DesiredState = model.WorkerDraining
	case MarkUncordon:
		w.DesiredState = model.WorkerReady
	default:
		return w, errors.Wrapf(ErrBadCommand, "unknown mark %q", m)
	}
	return w, nil
}

// effectiveState derives the worker's state from its health and the state that
// operators want.
func (w Worker) effectiveState() model.WorkerState {
	switch {
	case w.Lost:
		return model.WorkerLost
	case w.Quarantined:
		return model.WorkerQuarantine
	}
	return w.DesiredState
}

// putWorker stores a changed worker. It removes one that is off the platform's
// list and has no tasks.
func (d *data) putWorker(w Worker) {
	if w.Unlisted && len(w.Tasks) == 0 {
		d.workers.drop(w.Name)
		return
	}
	w.State = w.effectiveState()
	w.Version = d.index
	if old, ok := d.workers.get(w.Name); ok && w.reducesCapacity(*old) {
		d.fleetIndex = d.index
	}
	d.workers.set(w.Name, &w)
}

// reducesCapacity reports whether the change from old to w may reduce the
// available capacity. Any change of the worker's description counts.
func (w Worker) reducesCapacity(old Worker) bool {
	before, after := old.Worker, w.Worker
	if after.State != before.State && after.State != model.WorkerReady {
		return true
	}
	before.State, after.State = "", ""
	return before != after
}

// assign adds a task to a worker.
func (d *data) assign(name string, ref TaskRef) {
	d.editTasks(name, func(tasks []TaskRef) []TaskRef {
		pos, found := slices.BinarySearchFunc(tasks, ref, compareTaskRefs)
		if found {
			return tasks
		}
		return slices.Insert(slices.Clone(tasks), pos, ref)
	})
}

// unassign removes a task from a worker.
func (d *data) unassign(name string, ref TaskRef) {
	d.editTasks(name, func(tasks []TaskRef) []TaskRef {
		pos, found := slices.BinarySearchFunc(tasks, ref, compareTaskRefs)
		if !found {
			return tasks
		}
		return slices.Delete(slices.Clone(tasks), pos, pos+1)
	})
}

// editTasks stores a worker with the tasks that edit returns. The edit function
// must not modify its argument in place.
func (d *data) editTasks(name string, edit func([]TaskRef) []TaskRef) {
	old, ok := d.workers.get(name)
	if !ok {
		return
	}
	w := *old
	w.Tasks = edit(w.Tasks)
	d.putWorker(w)
}
