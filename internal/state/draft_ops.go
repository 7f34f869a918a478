package state

import (
	"fmt"
	"strings"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// submitJob adds a new job to the draft.
func (dr *draft) submitJob(i int, field string, j *model.Job) {
	if j == nil {
		dr.addRefusal(field, "", "is missing")
		return
	}
	if !dr.accept(checkFields(field, *j)) || !dr.accept(checkSystemFields(field, *j)) {
		return
	}
	if j.Stoppable && !j.Idempotent {
		dr.addRefusal(field+".stoppable", "true", "needs idempotent, since a job that was stopped runs again from its checkpoint")
		return
	}
	team, ok := dr.config.Team(j.Team)
	if !ok {
		dr.addRefusal(field+".team", j.Team, "is not a team")
		return
	}
	if _, exists := dr.data.jobs.get(j.ID); exists {
		dr.addRefusal(field+".id", j.ID, "is the id of a job that exists")
		return
	}
	if !dr.recordObject(i, field+".id", "job "+j.ID) || !dr.accept(dr.checkFeasible(field, *j, team)) {
		return
	}
	dr.submittedBy[j.Team] = i
	dr.newJobs = append(dr.newJobs, *j)
	dr.addChange("job "+j.ID, "", string(model.JobQueued)+" "+j.Shape.String()+" for "+j.Team)
}

// checkFeasible refuses a job that could never run: its deadline has passed, it
// exceeds its team's quota, or the fleet can't hold its shape.
func (dr *draft) checkFeasible(field string, j model.Job, team model.Team) []model.Refusal {
	if !j.Deadline.IsZero() && !j.Deadline.After(dr.now) {
		return []model.Refusal{newRefusal(field+".deadline", j.Deadline.UTC(), "has passed")}
	}
	if n := j.Shape.TotalAccels(); team.Quota > 0 && n > team.Quota {
		reason := fmt.Sprintf("is more accelerators than the quota of team %q, %d", team.Name, team.Quota)
		return []model.Refusal{newRefusal(field+".shape", n, reason)}
	}
	return dr.data.checkShape(field+".shape", j.Shape)
}

// checkSystemFields refuses a job with values in fields that only the system
// sets.
func checkSystemFields(field string, j model.Job) []model.Refusal {
	const reason = "is set by the system"
	switch {
	case j.State != "":
		return []model.Refusal{newRefusal(field+".state", j.State, reason)}
	case j.Epoch != 0:
		return []model.Refusal{newRefusal(field+".epoch", j.Epoch, reason)}
	case len(j.Members) > 0:
		return []model.Refusal{newRefusal(field+".members", len(j.Members), reason)}
	case j.Attempts != 0:
		return []model.Refusal{newRefusal(field+".attempts", j.Attempts, reason)}
	case len(j.FailedOn) > 0:
		return []model.Refusal{newRefusal(field+".failedon", len(j.FailedOn), reason)}
	case j.Borrowed:
		return []model.Refusal{newRefusal(field+".borrowed", j.Borrowed, reason)}
	case j.Reason != "":
		return []model.Refusal{newRefusal(field+".reason", j.Reason, reason)}
	case !j.Submitted.IsZero() || !j.Started.IsZero() || !j.Ended.IsZero():
		return []model.Refusal{{Field: field + ".submitted", Reason: reason + ", as are started and ended"}}
	}
	return nil
}

// cancelJob adds the cancellation of a job to the draft.
func (dr *draft) cancelJob(i int, field, id string) {
	j, ok := dr.data.jobs.get(id)
	if !ok {
		dr.addRefusal(field, id, "is not a job")
		return
	}
	if j.State.Ended() {
		dr.addRefusal(field, id, "has ended: "+string(j.State))
		return
	}
	if !dr.recordObject(i, field, "job "+id) {
		return
	}
	dr.cancelledJobs = append(dr.cancelledJobs, id)
	dr.addChange("job "+id, string(j.State), string(model.JobCancelled))
}

// markWorkers adds the cordon, drain or uncordon of the workers in a scope to the
// draft.
func (dr *draft) markWorkers(i int, field string, op model.Op) {
	if op.Scope != model.ProximityWorker && op.Scope != model.ProximityRack && op.Scope != model.ProximityDomain {
		dr.addRefusal(field+".scope", op.Scope, "must be one of: worker rack domain")
		return
	}
	names := dr.data.workersInScope(op.Scope, op.Name)
	if len(names) == 0 {
		dr.addRefusal(field+".name", op.Name, "is not a listed "+string(op.Scope))
		return
	}
	before, after := map[model.WorkerState]int{}, map[model.WorkerState]int{}
	for _, name := range names {
		if !dr.recordObject(i, field+".name", "worker "+name) {
			return
		}
		m := MarkWorker{Name: name, Mark: markForOp(op.Kind)}
		w, _ := dr.data.workers.get(name)
		marked, _ := w.withMark(m.Mark)
		before[w.DesiredState]++
		after[marked.DesiredState]++
		dr.marks = append(dr.marks, m)
	}
	dr.addChange(string(op.Scope)+" "+op.Name, formatCounts(before), formatCounts(after))
}

func markForOp(k model.OpKind) Mark {
	switch k {
	case model.OpCordon:
		return MarkCordon
	case model.OpDrain:
		return MarkDrain
	}
	return MarkUncordon
}

// formatCounts formats the number of workers in each desired state.
func formatCounts(counts map[model.WorkerState]int) string {
	var parts []string
	for _, s := range []model.WorkerState{model.WorkerReady, model.WorkerCordoned, model.WorkerDraining} {
		if n := counts[s]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, s))
		}
	}
	return strings.Join(parts, ", ")
}

// workersInScope returns the names of the workers in a rack or failure domain, or
// of a single worker.
func (d *data) workersInScope(proximity model.Proximity, name string) []string {
	if proximity == model.ProximityWorker {
		if w, ok := d.workers.get(name); ok {
			return []string{w.Name}
		}
		return nil
	}
	var names []string
	for _, w := range d.workers.all() {
		if (proximity == model.ProximityRack && w.Rack == name) || (proximity == model.ProximityDomain && w.Domain == name) {
			names = append(names, w.Name)
		}
	}
	return names
}
