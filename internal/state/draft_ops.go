package state

import (
	"fmt"
	"strings"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// submitJob adds a new job to the draft.
func (g *draft) submitJob(i int, field string, j *model.Job) {
	if j == nil {
		g.addRefusal(field, "", "is missing")
		return
	}
	if !g.accept(checkFields(field, *j)) || !g.accept(checkSystemFields(field, *j)) {
		return
	}
	if j.Stoppable && !j.Idempotent {
		g.addRefusal(field+".stoppable", "true", "needs idempotent, since a job that was stopped runs again from its checkpoint")
		return
	}
	team, ok := g.config.Team(j.Team)
	if !ok {
		g.addRefusal(field+".team", j.Team, "is not a team")
		return
	}
	if _, exists := g.data.jobs.get(j.ID); exists {
		g.addRefusal(field+".id", j.ID, "is the id of a job that exists")
		return
	}
	if !g.recordObject(i, field+".id", "job "+j.ID) || !g.accept(g.checkFeasible(field, *j, team)) {
		return
	}
	g.submittedBy[j.Team] = i
	g.newJobs = append(g.newJobs, *j)
	g.addChange("job "+j.ID, "", string(model.JobQueued)+" "+j.Shape.String()+" for "+j.Team)
}

// checkFeasible refuses a job that could never run: its deadline has passed, it
// exceeds its team's quota, or the fleet can't hold its shape.
func (g *draft) checkFeasible(field string, j model.Job, team model.Team) []model.Refusal {
	if !j.Deadline.IsZero() && !j.Deadline.After(g.now) {
		return []model.Refusal{newRefusal(field+".deadline", j.Deadline.UTC(), "has passed")}
	}
	if n := j.Shape.TotalAccels(); team.Quota > 0 && n > team.Quota {
		reason := fmt.Sprintf("is more accelerators than the quota of team %q, %d", team.Name, team.Quota)
		return []model.Refusal{newRefusal(field+".shape", n, reason)}
	}
	return g.data.checkShape(field+".shape", j.Shape)
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
func (g *draft) cancelJob(i int, field, id string) {
	j, ok := g.data.jobs.get(id)
	if !ok {
		g.addRefusal(field, id, "is not a job")
		return
	}
	if j.State.Ended() {
		g.addRefusal(field, id, "has ended: "+string(j.State))
		return
	}
	if !g.recordObject(i, field, "job "+id) {
		return
	}
	g.cancelledJobs = append(g.cancelledJobs, id)
	g.addChange("job "+id, string(j.State), string(model.JobCancelled))
}

// markWorkers adds the cordon, drain or uncordon of the workers in a scope to the
// draft.
func (g *draft) markWorkers(i int, field string, op model.Op) {
	if op.Scope != model.ProximityWorker && op.Scope != model.ProximityRack && op.Scope != model.ProximityDomain {
		g.addRefusal(field+".scope", op.Scope, "must be one of: worker rack domain")
		return
	}
	names := g.data.workersInScope(op.Scope, op.Name)
	if len(names) == 0 {
		g.addRefusal(field+".name", op.Name, "is not a listed "+string(op.Scope))
		return
	}
	before, after := map[model.WorkerState]int{}, map[model.WorkerState]int{}
	for _, name := range names {
		if !g.recordObject(i, field+".name", "worker "+name) {
			return
		}
		m := MarkWorker{Name: name, Mark: markForOp(op.Kind)}
		w, _ := g.data.workers.get(name)
		marked, _ := w.withMark(m.Mark)
		before[w.DesiredState]++
		after[marked.DesiredState]++
		g.marks = append(g.marks, m)
	}
	g.addChange(string(op.Scope)+" "+op.Name, formatCounts(before), formatCounts(after))
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
func (d *data) workersInScope(near model.Proximity, name string) []string {
	if near == model.ProximityWorker {
		if w, ok := d.workers.get(name); ok {
			return []string{w.Name}
		}
		return nil
	}
	var names []string
	for _, w := range d.workers.all() {
		if (near == model.ProximityRack && w.Rack == name) || (near == model.ProximityDomain && w.Domain == name) {
			names = append(names, w.Name)
		}
	}
	return names
}
