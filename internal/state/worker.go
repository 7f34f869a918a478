package state

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Mark names what is noted about a worker.
type Mark string

// The marks of a worker. Operators' marks and health are kept apart, so that a
// cordoned worker that is lost and returns is still cordoned.
const (
	MarkLost       Mark = "lost"       // its heartbeat has stopped
	MarkReturned   Mark = "returned"   // its heartbeat is back
	MarkQuarantine Mark = "quarantine" // it fails what it starts
	MarkReleased   Mark = "released"   // probes succeed again
	MarkCordon     Mark = "cordon"
	MarkDrain      Mark = "drain"
	MarkUncordon   Mark = "uncordon"
)

// Worker is a worker with what is assigned to it.
type Worker struct {
	model.Worker
	Lost       bool              `json:"lost,omitempty"`
	Quarantine bool              `json:"quarantine,omitempty"`
	Wanted     model.WorkerState `json:"wanted"`             // ready, cordoned or draining, as operators want it
	Reason     string            `json:"reason,omitempty"`   // of the last mark
	Gone       bool              `json:"gone,omitempty"`     // off the platform's list, kept until its tasks end
	Version    uint64            `json:"version"`            // log index of its last change
	Revision   uint64            `json:"revision,omitempty"` // configuration revision that last touched it
	Plan       string            `json:"plan,omitempty"`     // plan that made that revision
	Tasks      []TaskRef         `json:"-"`                  // ordered; follows from the jobs
}

// SetWorkers carries the changes of the platform's list of workers.
type SetWorkers struct {
	Set  []model.Worker `json:"set,omitempty"`
	Drop []string       `json:"drop,omitempty"`
}

// MarkWorker notes that a worker was lost, has returned, is put into or taken
// out of quarantine, or is cordoned, drained or uncordoned.
type MarkWorker struct {
	Name   string `json:"name"`
	Mark   Mark   `json:"mark"`
	Reason string `json:"reason,omitempty"`
}

// setWorkers takes in the valid entries and returns a refusal for each other,
// so that one bad entry doesn't hide the rest of the fleet.
func (d *data) setWorkers(c SetWorkers) Result {
	var r Result
	for i, w := range c.Set {
		if bad := checkFields(fmt.Sprintf("set[%d]", i), w); len(bad) > 0 {
			r.Refusals = append(r.Refusals, bad...)
			continue
		}
		d.setWorker(w)
	}
	for _, name := range c.Drop {
		d.dropWorker(name)
	}
	if len(r.Refusals) > 0 {
		r.Err = errors.Wrapf(ErrRefused, "%d fields of workers", len(r.Refusals))
	}
	return r
}

func (d *data) setWorker(in model.Worker) {
	old, ok := d.workers.get(in.Name)
	if !ok {
		d.putWorker(Worker{Worker: in, Wanted: model.WorkerReady})
		return
	}
	w := *old
	w.Worker = in
	w.Name = old.Name
	w.Gone = false
	d.putWorker(w)
}

func (d *data) dropWorker(name string) {
	old, ok := d.workers.get(name)
	if !ok {
		return
	}
	d.fleet = d.index
	if len(old.Tasks) == 0 {
		d.workers.drop(name)
		return
	}
	w := *old
	w.Gone = true
	w.Lost = true
	d.putWorker(w)
}

func (d *data) markWorker(c MarkWorker) Result {
	old, ok := d.workers.get(c.Name)
	if !ok {
		return failed(errors.Wrapf(ErrNotFound, "worker %q", c.Name))
	}
	w, err := old.withMark(c.Mark)
	if err != nil {
		return failed(err)
	}
	w.Reason = c.Reason
	d.putWorker(w)
	return Result{}
}

// withMark returns the worker with the mark noted.
func (w Worker) withMark(m Mark) (Worker, error) {
	switch m {
	case MarkLost:
		w.Lost = true
	case MarkReturned:
		w.Lost = w.Gone
	case MarkQuarantine:
		w.Quarantine = true
	case MarkReleased:
		w.Quarantine = false
	case MarkCordon:
		w.Wanted = model.WorkerCordoned
	case MarkDrain:
		w.Wanted = model.WorkerDraining
	case MarkUncordon:
		w.Wanted = model.WorkerReady
	default:
		return w, errors.Wrapf(ErrBadCommand, "mark %q", m)
	}
	return w, nil
}

// state returns the state that follows from health and the operators' wish.
func (w Worker) state() model.WorkerState {
	switch {
	case w.Lost:
		return model.WorkerLost
	case w.Quarantine:
		return model.WorkerQuarantine
	}
	return w.Wanted
}

// putWorker stores a changed worker and drops one that is gone and idle.
func (d *data) putWorker(w Worker) {
	if w.Gone && len(w.Tasks) == 0 {
		d.workers.drop(w.Name)
		return
	}
	w.State = w.state()
	w.Version = d.index
	if old, ok := d.workers.get(w.Name); ok && w.shrinks(*old) {
		d.fleet = d.index
	}
	d.workers.set(w.Name, &w)
}

// shrinks reports whether w can hold less than old could.
func (w Worker) shrinks(old Worker) bool {
	was, is := old.Worker, w.Worker
	if is.State != was.State && is.State != model.WorkerReady {
		return true
	}
	was.State, is.State = "", ""
	return was != is
}

// assign gives the worker a task.
func (d *data) assign(name string, t TaskRef) {
	d.editTasks(name, func(tasks []TaskRef) []TaskRef {
		at, found := slices.BinarySearchFunc(tasks, t, compareTasks)
		if found {
			return tasks
		}
		return slices.Insert(slices.Clone(tasks), at, t)
	})
}

// unassign takes a task from the worker.
func (d *data) unassign(name string, t TaskRef) {
	d.editTasks(name, func(tasks []TaskRef) []TaskRef {
		at, found := slices.BinarySearchFunc(tasks, t, compareTasks)
		if !found {
			return tasks
		}
		return slices.Delete(slices.Clone(tasks), at, at+1)
	})
}

// editTasks stores the worker with the tasks that edit returns. Edit must not
// change its argument in place.
func (d *data) editTasks(name string, edit func([]TaskRef) []TaskRef) {
	old, ok := d.workers.get(name)
	if !ok {
		return
	}
	w := *old
	w.Tasks = edit(w.Tasks)
	d.putWorker(w)
}
