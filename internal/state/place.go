package state

import (
	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// PlaceJob assigns the members of a queued job to workers under a new fencing
// epoch, which is the log index of the command.
type PlaceJob struct {
	ID         string         `json:"id"`
	Members    []model.Member `json:"members"`
	Borrowed   bool           `json:"borrowed,omitempty"` // runs outside its team's guarantee
	FleetIndex uint64         `json:"seen,omitempty"`     // fleet index of the view that the placement was decided on; 0 disables the check
}

func (d *data) placeJob(c PlaceJob) Result {
	j, err := d.findJob(c.ID)
	if err != nil {
		return errorResult(err)
	}
	if j.State != model.JobQueued {
		return errorResult(stateError(j))
	}
	if c.FleetIndex != 0 && c.FleetIndex != d.fleetIndex {
		return errorResult(errors.Wrapf(ErrSuperseded, "decided at fleet index %d, now %d", c.FleetIndex, d.fleetIndex))
	}
	members, err := d.checkMembers(j, c.Members)
	if err != nil {
		return errorResult(err)
	}
	j.Job = j.WithState(model.JobPreparing, "")
	j.Epoch = d.index
	j.Members = members
	j.Borrowed = c.Borrowed
	j.Attempts++
	j.MemberStates = make([]MemberState, len(members))
	d.fleetIndex = d.index
	j.PhaseIndex = d.index
	d.putJob(j)
	d.assignMembers(j)
	return Result{Job: &j}
}

// checkMembers returns the members with the name strings of the workers table,
// so that equal strings share memory. It refuses members that are out of order,
// or on workers that aren't ready or lack free resources. Tasks that are still
// stopping use resources until their job has ended.
func (d *data) checkMembers(j Job, members []model.Member) ([]model.Member, error) {
	if len(members) != j.Shape.Members {
		return nil, errors.Wrapf(ErrRefused, "members: %d given, the shape has %d", len(members), j.Shape.Members)
	}
	out := make([]model.Member, len(members))
	remaining := map[string]resources{}
	for i, m := range members {
		if m.Index != i {
			return nil, errors.Wrapf(ErrRefused, "members[%d].index is %d", i, m.Index)
		}
		w, ok := d.workers.get(m.Worker)
		if !ok || w.State != model.WorkerReady {
			return nil, errors.Wrapf(ErrRefused, "members[%d].worker: %q is not ready", i, m.Worker)
		}
		if _, known := remaining[w.Name]; !known {
			remaining[w.Name] = d.freeResources(w)
		}
		remaining[w.Name] = remaining[w.Name].minus(j.Shape)
		if remaining[w.Name].exceeded() || (j.Shape.Kind != "" && j.Shape.Kind != w.Kind) {
			return nil, errors.Wrapf(ErrRefused, "members[%d].worker: %q has no room for the shape", i, m.Worker)
		}
		out[i] = model.Member{Index: i, Worker: w.Name}
	}
	return out, nil
}

// resources is the amount of resources that are free on a worker.
type resources struct {
	cores  int
	memory int64
	accels int
}

func (r resources) minus(s model.Shape) resources {
	return resources{cores: r.cores - s.Cores, memory: r.memory - s.Memory, accels: r.accels - s.Accels}
}

func (r resources) exceeded() bool { return r.cores < 0 || r.memory < 0 || r.accels < 0 }

// freeResources returns the resources of a worker that its tasks don't use.
func (d *data) freeResources(w *Worker) resources {
	r := resources{cores: w.Cores, memory: w.Memory, accels: w.Accels}
	for _, t := range w.Tasks {
		if j, ok := d.jobs.get(t.Job); ok {
			r = r.minus(j.Shape)
		}
	}
	return r
}
