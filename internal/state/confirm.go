package state

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// ConfirmPlan executes an open plan. If the leader has checked the plan again,
// the command holds the result and the fleet index of the view that it was
// checked on.
type ConfirmPlan struct {
	PlanID      string       `json:"plan"`
	Operator    string       `json:"operator"`
	CheckResult *CheckResult `json:"verdict,omitempty"`
	FleetIndex  uint64       `json:"seen,omitempty"` // fleet index of the view that was checked; 0 disables the comparison
}

// PrepareConfirm checks an open plan against a view again and returns the command
// to propose.
func PrepareConfirm(v View, planID, operator string, c Checker) ConfirmPlan {
	out := ConfirmPlan{PlanID: planID, Operator: operator}
	rec, ok := v.data.plans.get(planID)
	if !ok || rec.Plan.State != model.PlanOpen {
		return out
	}
	result := c.Check(v, rec.Ops)
	out.CheckResult = &result
	out.FleetIndex = v.FleetIndex()
	return out
}

func (d *data) confirmPlan(c ConfirmPlan) Result {
	rec, ok := d.plans.get(c.PlanID)
	if !ok {
		return errorResult(errors.Wrapf(ErrNotFound, "plan %q", c.PlanID))
	}
	if rec.Plan.Operator != c.Operator {
		return refusedResult([]model.Refusal{newRefusal("operator", c.Operator, "did not make this plan")})
	}
	d.expirePlan(c.PlanID)
	if rec, _ = d.plans.get(c.PlanID); rec.Plan.State != model.PlanOpen {
		return d.planResult(c.PlanID)
	}
	if c.CheckResult != nil && c.FleetIndex != 0 && c.FleetIndex != d.fleetIndex {
		return errorResult(errors.Wrapf(ErrSuperseded, "checked at fleet index %d, now %d", c.FleetIndex, d.fleetIndex))
	}
	d.executePlan(*rec, c.CheckResult)
	return d.planResult(c.PlanID)
}

// executePlan executes an open plan, unless a conflicting change was committed
// first or the operations are no longer possible.
func (d *data) executePlan(rec planRecord, result *CheckResult) {
	id := rec.Plan.ID
	if refusal, ok := d.findConflict(rec.Plan.BaseRevision, rec.CreatedIndex, rec.Ops); ok {
		d.finalizePlan(id, model.PlanConflict, refusal)
		return
	}
	dr := newDraft(d, d.now, rec.Ops)
	if result != nil {
		dr.refusals = append(dr.refusals, result.Refusals...)
	}
	if len(dr.refusals) > 0 {
		d.finalizePlan(id, model.PlanRefused, dr.refusals...)
		return
	}
	if refusal, ok := unplannedPreemption(rec.Plan, result); ok {
		d.finalizePlan(id, model.PlanConflict, refusal)
		return
	}
	d.applyDraft(rec, dr)
}

// unplannedPreemption returns a refusal for a job that would be stopped now but
// isn't listed in the plan that the operator confirmed.
func unplannedPreemption(p model.Plan, result *CheckResult) (model.Refusal, bool) {
	if result == nil {
		return model.Refusal{}, false
	}
	for _, id := range result.Preempts {
		if !slices.Contains(p.PreemptedJobs, id) {
			return newRefusal("preempts", id, "would be stopped too since the fleet has changed"), true
		}
	}
	return model.Refusal{}, false
}

// applyDraft applies the changes of a draft and marks the plan as confirmed.
func (d *data) applyDraft(rec planRecord, dr *draft) {
	p := rec.Plan
	p.State = model.PlanConfirmed
	if len(dr.teams)+len(dr.services)+len(dr.marks) > 0 {
		p.Revision = d.addRevision(Revision{
			Operator: p.Operator, Plan: p.ID, Time: d.now,
			Changes: p.Changes, Teams: dr.teams, Services: dr.services,
		}, dr.config)
	}
	if len(dr.teams) > 0 {
		d.fleetIndex = d.index
	}
	d.applyDraftJobs(p.ID, dr)
	for _, m := range dr.marks {
		d.applyPlanMark(p, m)
	}
	d.putFinalPlan(rec, p)
}

func (d *data) applyDraftJobs(planID string, dr *draft) {
	for _, submitted := range dr.newJobs {
		j := Job{Job: submitted.WithState(model.JobQueued, ""), Plan: planID, PlanIndex: d.index}
		if team, ok := d.config.Team(j.Team); ok {
			j.Team = team.Name
		}
		if j.Urgency == "" {
			j.Urgency = model.Normal
		}
		j.Submitted = d.now
		d.putJob(j)
	}
	for _, id := range dr.cancelledJobs {
		d.cancelJob(planID, id)
	}
}

// cancelJob ends a queued job at once. For any other job it tells the members
// to stop; the leader ends the job after they have stopped.
func (d *data) cancelJob(planID, id string) {
	old, _ := d.jobs.get(id)
	j := *old
	j.Plan = planID
	j.PlanIndex = d.index
	j.CancelRequested = true
	if j.State == model.JobQueued {
		j.Job = j.WithState(model.JobCancelled, "cancelled by "+planID)
		j.Ended = d.now
		d.putJob(j)
		return
	}
	if j.State != model.JobStopping {
		j.Job = j.WithState(model.JobStopping, "cancelled by "+planID)
		j.PhaseIndex = d.index
	}
	d.putJob(j)
	d.assignMembers(j)
}

func (d *data) applyPlanMark(p model.Plan, m MarkWorker) {
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

// findConflict returns a refusal for the first operation that conflicts with an
// earlier change. Operations on teams and services conflict with any revision
// after base that changed a team or service. Operations on workers conflict with
// a revision after base that changed one of the workers. Operations on a job
// conflict with a plan for the same job that was confirmed after createdIndex.
func (d *data) findConflict(base, createdIndex uint64, ops []model.Op) (model.Refusal, bool) {
	for i, op := range ops {
		var refusal model.Refusal
		var found bool
		field := fmt.Sprintf("ops[%d]", i)
		switch op.Kind {
		case model.OpSubmitJob:
			refusal, found = d.jobConflict(field+".job.id", createdIndex, op.Job.ID)
		case model.OpCancelJob:
			refusal, found = d.jobConflict(field+".name", createdIndex, op.Name)
		case model.OpCordon, model.OpDrain, model.OpUncordon:
			refusal, found = d.workerConflict(field+".name", base, op)
		default:
			refusal, found = d.teamServiceConflict(base)
		}
		if found {
			return refusal, true
		}
	}
	return model.Refusal{}, false
}

func (d *data) teamServiceConflict(base uint64) (model.Refusal, bool) {
	if d.teamServiceRevision <= base {
		return model.Refusal{}, false
	}
	first, ok := d.firstTeamServiceChange(base)
	if !ok {
		return newRefusal("base", base, fmt.Sprintf("is older than revision %d", d.teamServiceRevision)), true
	}
	return newRefusal("base", base, conflictReason(first.Number, first.Plan, first.Operator)), true
}

func (d *data) workerConflict(field string, base uint64, op model.Op) (model.Refusal, bool) {
	for _, name := range d.workersInScope(op.Scope, op.Name) {
		w, _ := d.workers.get(name)
		if w.Revision > base {
			return newRefusal(field, name, conflictReason(w.Revision, w.Plan, d.planOperator(w.Plan))), true
		}
	}
	return model.Refusal{}, false
}

func (d *data) jobConflict(field string, createdIndex uint64, id string) (model.Refusal, bool) {
	j, ok := d.jobs.get(id)
	if !ok || j.PlanIndex <= createdIndex {
		return model.Refusal{}, false
	}
	reason := fmt.Sprintf("was changed first by plan %s of operator %s", j.Plan, d.planOperator(j.Plan))
	return newRefusal(field, id, reason), true
}

func (d *data) planOperator(planID string) string {
	rec, ok := d.plans.get(planID)
	if !ok {
		return "unknown"
	}
	return rec.Plan.Operator
}

func conflictReason(revision uint64, planID, operator string) string {
	return fmt.Sprintf("was overtaken: revision %d by plan %s of operator %s came first", revision, planID, operator)
}
