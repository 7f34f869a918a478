package state

import (
	"fmt"
	"strings"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// submit adds a new job to the draft.
func (g *draft) submit(i int, field string, j *model.Job) {
	if j == nil {
		g.refuse(field, "", "is missing")
		return
	}
	if !g.take(checkFields(field, *j)) || !g.take(checkRuntime(field, *j)) {
		return
	}
	if j.Stoppable && !j.Idempotent {
		g.refuse(field+".stoppable", "true", "needs idempotent, since a job that was stopped runs again from its checkpoint")
		return
	}
	team, ok := g.config.Team(j.Team)
	if !ok {
		g.refuse(field+".team", j.Team, "is not a team")
		return
	}
	if _, held := g.data.jobs.get(j.ID); held {
		g.refuse(field+".id", j.ID, "is the id of a job that exists")
		return
	}
	if !g.once(i, field+".id", "job "+j.ID) || !g.take(g.checkDemand(field, *j, team)) {
		return
	}
	g.joined[j.Team] = i
	g.submits = append(g.submits, *j)
	g.change("job "+j.ID, "", string(model.JobQueued)+" "+j.Shape.String()+" for "+j.Team)
}

// checkDemand refuses a job that could never run: its deadline has passed, it
// exceeds its team's quota, or the fleet can't hold its shape.
func (g *draft) checkDemand(field string, j model.Job, team model.Team) []model.Refusal {
	if !j.Deadline.IsZero() && !j.Deadline.After(g.now) {
		return []model.Refusal{refuse(field+".deadline", j.Deadline.UTC(), "has passed")}
	}
	if n := j.Shape.TotalAccels(); team.Quota > 0 && n > team.Quota {
		why := fmt.Sprintf("is more accelerators than the quota of team %q, %d", team.Name, team.Quota)
		return []model.Refusal{refuse(field+".shape", n, why)}
	}
	return g.data.checkShape(field+".shape", j.Shape)
}

// checkRuntime refuses a job with values in fields that only the system sets.
func checkRuntime(field string, j model.Job) []model.Refusal {
	const why = "is set by the system"
	switch {
	case j.State != "":
		return []model.Refusal{refuse(field+".state", j.State, why)}
	case j.Epoch != 0:
		return []model.Refusal{refuse(field+".epoch", j.Epoch, why)}
	case len(j.Members) > 0:
		return []model.Refusal{refuse(field+".members", len(j.Members), why)}
	case j.Attempts != 0:
		return []model.Refusal{refuse(field+".attempts", j.Attempts, why)}
	case len(j.FailedOn) > 0:
		return []model.Refusal{refuse(field+".failedon", len(j.FailedOn), why)}
	case j.Borrowed:
		return []model.Refusal{refuse(field+".borrowed", j.Borrowed, why)}
	case j.Reason != "":
		return []model.Refusal{refuse(field+".reason", j.Reason, why)}
	case !j.Submitted.IsZero() || !j.Started.IsZero() || !j.Ended.IsZero():
		return []model.Refusal{{Field: field + ".submitted", Reason: why + ", as are started and ended"}}
	}
	return nil
}

// cancel adds the cancellation of a job to the draft.
func (g *draft) cancel(i int, field, id string) {
	j, ok := g.data.jobs.get(id)
	if !ok {
		g.refuse(field, id, "is not a job")
		return
	}
	if j.State.Ended() {
		g.refuse(field, id, "has ended: "+string(j.State))
		return
	}
	if !g.once(i, field, "job "+id) {
		return
	}
	g.cancels = append(g.cancels, id)
	g.change("job "+id, string(j.State), string(model.JobCancelled))
}

// mark adds the cordon, drain or uncordon of the workers in a scope to the draft.
func (g *draft) mark(i int, field string, op model.Op) {
	if op.Scope != model.NearWorker && op.Scope != model.NearRack && op.Scope != model.NearDomain {
		g.refuse(field+".scope", op.Scope, "must be one of: worker rack domain")
		return
	}
	names := g.data.scope(op.Scope, op.Name)
	if len(names) == 0 {
		g.refuse(field+".name", op.Name, "is not a listed "+string(op.Scope))
		return
	}
	before, after := map[model.WorkerState]int{}, map[model.WorkerState]int{}
	for _, name := range names {
		if !g.once(i, field+".name", "worker "+name) {
			return
		}
		m := MarkWorker{Name: name, Mark: markOf(op.Kind)}
		w, _ := g.data.workers.get(name)
		marked, _ := w.withMark(m.Mark)
		before[w.Wanted]++
		after[marked.Wanted]++
		g.marks = append(g.marks, m)
	}
	g.change(string(op.Scope)+" "+op.Name, summary(before), summary(after))
}

func markOf(k model.OpKind) Mark {
	switch k {
	case model.OpCordon:
		return MarkCordon
	case model.OpDrain:
		return MarkDrain
	}
	return MarkUncordon
}

// summary formats the number of workers in each desired state.
func summary(counts map[model.WorkerState]int) string {
	var parts []string
	for _, s := range []model.WorkerState{model.WorkerReady, model.WorkerCordoned, model.WorkerDraining} {
		if n := counts[s]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, s))
		}
	}
	return strings.Join(parts, ", ")
}

// scope returns the names of the workers in a scope.
func (d *data) scope(near model.Near, name string) []string {
	if near == model.NearWorker {
		if w, ok := d.workers.get(name); ok {
			return []string{w.Name}
		}
		return nil
	}
	var names []string
	for _, w := range d.workers.all() {
		if (near == model.NearRack && w.Rack == name) || (near == model.NearDomain && w.Domain == name) {
			names = append(names, w.Name)
		}
	}
	return names
}
