package state

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// ConfirmPlan executes an open plan. If the leader has checked the plan again, the
// command holds the result and the fleet index of the view that it was checked on.
type ConfirmPlan struct {
	PlanID   string   `json:"plan"`
	Operator string   `json:"operator"`
	Verdict  *Verdict `json:"verdict,omitempty"`
	Seen     uint64   `json:"seen,omitempty"` // fleet index of the view that was checked; 0 disables the comparison
}

// PrepareConfirm checks an open plan against a view again and returns the command
// to propose.
func PrepareConfirm(v View, planID, operator string, c Checker) ConfirmPlan {
	out := ConfirmPlan{PlanID: planID, Operator: operator}
	rec, ok := v.data.plans.get(planID)
	if !ok || rec.Plan.State != model.PlanOpen {
		return out
	}
	verdict := c.Check(v, rec.Ops)
	out.Verdict = &verdict
	out.Seen = v.Fleet()
	return out
}

func (d *data) confirmPlan(c ConfirmPlan) Result {
	rec, ok := d.plans.get(c.PlanID)
	if !ok {
		return failed(errors.Wrapf(ErrNotFound, "plan %q", c.PlanID))
	}
	if rec.Plan.Operator != c.Operator {
		return refused([]model.Refusal{refuse("operator", c.Operator, "did not make this plan")})
	}
	d.lapsePlan(c.PlanID)
	if rec, _ = d.plans.get(c.PlanID); rec.Plan.State != model.PlanOpen {
		return d.planResult(c.PlanID)
	}
	if c.Verdict != nil && c.Seen != 0 && c.Seen != d.fleet {
		return failed(errors.Wrapf(ErrSuperseded, "checked at fleet index %d, now %d", c.Seen, d.fleet))
	}
	d.carryOut(*rec, c.Verdict)
	return d.planResult(c.PlanID)
}

// carryOut executes an open plan, unless a conflicting change was committed first
// or the operations are no longer possible.
func (d *data) carryOut(rec planRecord, v *Verdict) {
	id := rec.Plan.ID
	if first, ok := d.conflict(rec.Plan.Base, rec.Made, rec.Ops); ok {
		d.settlePlan(id, model.PlanConflict, first)
		return
	}
	g := newDraft(d, d.now, rec.Ops)
	if v != nil {
		g.refusals = append(g.refusals, v.Refusals...)
	}
	if len(g.refusals) > 0 {
		d.settlePlan(id, model.PlanRefused, g.refusals...)
		return
	}
	if more, ok := unplanned(rec.Plan, v); ok {
		d.settlePlan(id, model.PlanConflict, more)
		return
	}
	d.commit(rec, g)
}

// unplanned returns a refusal for a job that would be stopped now but isn't listed
// in the plan that the operator confirmed.
func unplanned(p model.Plan, v *Verdict) (model.Refusal, bool) {
	if v == nil {
		return model.Refusal{}, false
	}
	for _, id := range v.Preempts {
		if !slices.Contains(p.Preempts, id) {
			return refuse("preempts", id, "would be stopped too since the fleet has changed"), true
		}
	}
	return model.Refusal{}, false
}

// commit applies the changes of a draft and marks the plan as confirmed.
func (d *data) commit(rec planRecord, g *draft) {
	p := rec.Plan
	p.State = model.PlanConfirmed
	if len(g.teams)+len(g.services)+len(g.marks) > 0 {
		p.Revision = d.addRevision(Revision{
			Operator: p.Operator, Plan: p.ID, Time: d.now,
			Changes: p.Changes, Teams: g.teams, Services: g.services,
		}, g.config)
	}
	if len(g.teams) > 0 {
		d.fleet = d.index
	}
	d.commitJobs(p.ID, g)
	for _, m := range g.marks {
		d.commitMark(p, m)
	}
	d.putSettled(rec, p)
}

func (d *data) commitJobs(plan string, g *draft) {
	for _, in := range g.submits {
		j := Job{Job: in.WithState(model.JobQueued, ""), Plan: plan, Index: d.index}
		if team, ok := d.config.Team(j.Team); ok {
			j.Team = team.Name
		}
		if j.Urgency == "" {
			j.Urgency = model.Normal
		}
		j.Submitted = d.now
		d.putJob(j)
	}
	for _, id := range g.cancels {
		d.commitCancel(plan, id)
	}
}

// commitCancel ends a queued job at once. For any other job it tells the members
// to stop; the leader ends the job after they have stopped.
func (d *data) commitCancel(plan, id string) {
	old, _ := d.jobs.get(id)
	j := *old
	j.Plan = plan
	j.Index = d.index
	j.Cancel = true
	if j.State == model.JobQueued {
		j.Job = j.WithState(model.JobCancelled, "cancelled by "+plan)
		j.Ended = d.now
		d.putJob(j)
		return
	}
	if j.State != model.JobStopping {
		j.Job = j.WithState(model.JobStopping, "cancelled by "+plan)
		j.Moved = d.index
	}
	d.putJob(j)
	d.assignAll(j)
}

func (d *data) commitMark(p model.Plan, m MarkWorker) {
	old, _ := d.workers.get(m.Name)
	w, err := old.withMark(m.Mark)
	if err != nil {
		return // a draft holds only known marks
	}
	w.Revision = p.Revision
	w.Plan = p.ID
	w.Reason = "plan " + p.ID
	d.putWorker(w)
}

// conflict returns a refusal for the first operation that conflicts with an
// earlier change. Operations on teams and services conflict with any revision
// after base that changed a team or service. Operations on workers conflict with
// a revision after base that changed one of the workers. Operations on a job
// conflict with a plan for the same job that was confirmed after log index made.
func (d *data) conflict(base, made uint64, ops []model.Op) (model.Refusal, bool) {
	for i, op := range ops {
		var first model.Refusal
		var found bool
		field := fmt.Sprintf("ops[%d]", i)
		switch op.Kind {
		case model.OpSubmitJob:
			first, found = d.jobConflict(field+".job.id", made, op.Job.ID)
		case model.OpCancelJob:
			first, found = d.jobConflict(field+".name", made, op.Name)
		case model.OpCordon, model.OpDrain, model.OpUncordon:
			first, found = d.workerConflict(field+".name", base, op)
		default:
			first, found = d.rulesConflict(base)
		}
		if found {
			return first, true
		}
	}
	return model.Refusal{}, false
}

func (d *data) rulesConflict(base uint64) (model.Refusal, bool) {
	if d.rules <= base {
		return model.Refusal{}, false
	}
	first, ok := d.firstRules(base)
	if !ok {
		return refuse("base", base, fmt.Sprintf("is older than revision %d", d.rules)), true
	}
	return refuse("base", base, cameFirst(first.Number, first.Plan, first.Operator)), true
}

func (d *data) workerConflict(field string, base uint64, op model.Op) (model.Refusal, bool) {
	for _, name := range d.scope(op.Scope, op.Name) {
		w, _ := d.workers.get(name)
		if w.Revision > base {
			return refuse(field, name, cameFirst(w.Revision, w.Plan, d.operatorOf(w.Plan))), true
		}
	}
	return model.Refusal{}, false
}

func (d *data) jobConflict(field string, made uint64, id string) (model.Refusal, bool) {
	j, ok := d.jobs.get(id)
	if !ok || j.Index <= made {
		return model.Refusal{}, false
	}
	why := fmt.Sprintf("was changed first by plan %s of operator %s", j.Plan, d.operatorOf(j.Plan))
	return refuse(field, id, why), true
}

func (d *data) operatorOf(plan string) string {
	rec, ok := d.plans.get(plan)
	if !ok {
		return "unknown"
	}
	return rec.Plan.Operator
}

func cameFirst(revision uint64, plan, operator string) string {
	return fmt.Sprintf("was overtaken: revision %d by plan %s of operator %s came first", revision, plan, operator)
}
