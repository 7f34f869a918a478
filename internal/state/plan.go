package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// planRetention is how long a plan is kept, so that a resent intent gets the same
// answer.
const planRetention = 7 * 24 * time.Hour

// hashBytes is the number of bytes kept of an intent's SHA-256. With a collision,
// an operator would only get an older answer to one of their own intents.
const hashBytes = 16

// CheckResult is the scheduler's assessment of valid operations.
type CheckResult struct {
	Preempts []string        `json:"preempts,omitempty"` // ids of jobs that would be stopped
	Touches  []string        `json:"touches,omitempty"`  // guarantees that are affected
	Refusals []model.Refusal `json:"refusals,omitempty"`
}

// Checker checks operations against the fleet. The leader calls it before it
// proposes a command, which keeps Apply cheap and deterministic.
type Checker interface {
	Check(v View, ops []model.Op) CheckResult
}

// PlanIntent requests a plan for an intent.
type PlanIntent struct {
	Intent      model.Intent `json:"intent"`
	Deadline    time.Time    `json:"deadline"` // the plan must be confirmed before this time
	CheckResult CheckResult  `json:"verdict"`
}

// planRecord is a plan with the data needed to confirm it.
type planRecord struct {
	Plan         model.Plan `json:"plan"`
	Hash         string     `json:"hash"`          // hash of the intent's content
	CreatedIndex uint64     `json:"made"`          // log index at which the plan was created
	Ops          []model.Op `json:"ops,omitempty"` // kept while the plan is open
}

// PreparePlan checks an intent against a view and returns the command to propose.
// The checker is called only if all operations are valid.
func PreparePlan(v View, in model.Intent, c Checker, now, deadline time.Time) PlanIntent {
	p := PlanIntent{Intent: in, Deadline: deadline}
	if len(newDraft(v.data, now, in.Ops).refusals) == 0 {
		p.CheckResult = c.Check(v, in.Ops)
	}
	return p
}

// DryRun returns the plan that an intent would get. The plan isn't stored and has
// no id, so it can't be confirmed.
func DryRun(v View, p PlanIntent, now time.Time) model.Plan {
	return v.data.buildPlan(p, now)
}

func intentKey(operator, intent string) string { return operator + "\x00" + intent }

// intentHash returns a hash of an intent's content. It ignores whether the intent
// is a dry run.
func intentHash(in model.Intent) (string, error) {
	in.DryRun = false
	b, err := json.Marshal(in)
	if err != nil {
		return "", errors.Wrapf(ErrBadCommand, "hash intent: %v", err)
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:hashBytes]), nil
}

func (d *data) planIntent(c PlanIntent) Result {
	in := c.Intent
	refusals := append(checkLabel("id", in.ID), checkLabel("operator", in.Operator)...)
	if len(refusals) > 0 {
		return refusedResult(refusals)
	}
	if !c.Deadline.After(d.now) || c.Deadline.After(d.expiryAfter(planRetention)) {
		return errorResult(errors.Wrapf(ErrBadCommand, "plan deadline %s is out of range", c.Deadline))
	}
	if in.DryRun {
		p := d.buildPlan(c, d.now)
		return Result{Plan: &p, Refusals: p.Refusals, Err: planError(p)}
	}
	hash, err := intentHash(in)
	if err != nil {
		return errorResult(err)
	}
	if id, ok := d.intents.get(intentKey(in.Operator, in.ID)); ok {
		return d.storedIntentResult(id, hash)
	}
	return d.storePlan(c, hash)
}

// storedIntentResult returns the stored answer to an intent whose id was used
// before.
func (d *data) storedIntentResult(id, hash string) Result {
	rec, _ := d.plans.get(id)
	if rec.Hash != hash {
		return errorResult(errors.Wrapf(ErrIntentReused, "operator %q, plan %s", rec.Plan.Operator, id))
	}
	d.expirePlan(id)
	return d.planResult(id)
}

func (d *data) storePlan(c PlanIntent, hash string) Result {
	p := d.buildPlan(c, d.now)
	p.ID = fmt.Sprintf("p%d", d.index)
	rec := planRecord{Plan: p, Hash: hash, CreatedIndex: d.index}
	if p.State == model.PlanOpen {
		rec.Ops = c.Intent.Ops
		d.setDeadline(p.Deadline, deadlineOpenPlan, p.ID)
	}
	d.plans.set(p.ID, &rec)
	d.intents.set(intentKey(p.Operator, p.Intent), p.ID)
	d.setDeadline(d.expiryAfter(planRetention), deadlinePlan, p.ID)
	return d.planResult(p.ID)
}

// buildPlan returns the plan for an intent without storing it.
func (d *data) buildPlan(c PlanIntent, now time.Time) model.Plan {
	in := c.Intent
	dr := newDraft(d, now, in.Ops)
	p := model.Plan{
		Intent: in.ID, Operator: in.Operator, State: model.PlanOpen, BaseRevision: in.BaseRevision, Deadline: c.Deadline.UTC(),
		Changes: dr.changes, PreemptedJobs: c.CheckResult.Preempts, AffectedGuarantees: c.CheckResult.Touches,
		Refusals: append(dr.refusals, c.CheckResult.Refusals...),
	}
	if p.BaseRevision == 0 {
		p.BaseRevision = d.config.Revision()
	}
	if p.BaseRevision > d.config.Revision() {
		p.Refusals = append(p.Refusals, newRefusal("base", p.BaseRevision, "is a revision that doesn't exist yet"))
	}
	if len(p.Refusals) > 0 {
		p.State = model.PlanRefused
		return p
	}
	if conflict, ok := d.findConflict(p.BaseRevision, d.index, in.Ops); ok {
		p.State = model.PlanConflict
		p.Refusals = []model.Refusal{conflict}
	}
	return p
}

// planError returns the error for a plan's state, or nil if the plan is open or
// confirmed.
func planError(p model.Plan) error {
	var first model.Refusal
	if len(p.Refusals) > 0 {
		first = p.Refusals[0]
	}
	switch p.State {
	case model.PlanRefused:
		return errors.Wrapf(ErrRefused, "%s %s", first.Field, first.Reason)
	case model.PlanConflict:
		return errors.Wrapf(ErrConflict, "%s %s %s", first.Field, first.Value, first.Reason)
	case model.PlanExpired:
		return errors.Wrapf(ErrExpired, "deadline was %s", p.Deadline)
	}
	return nil
}

// planResult returns the result for a stored plan. It is the same each time the
// plan is requested.
func (d *data) planResult(id string) Result {
	rec, _ := d.plans.get(id)
	p := rec.Plan
	return Result{Plan: &p, Refusals: p.Refusals, Err: planError(p)}
}

// finalizePlan stores the final state of a plan and drops its operations.
func (d *data) finalizePlan(id string, s model.PlanState, refusals ...model.Refusal) {
	old, _ := d.plans.get(id)
	p := old.Plan
	p.State = s
	p.Refusals = refusals
	d.putFinalPlan(*old, p)
}

// putFinalPlan stores a plan that is in its final state. The plan no longer needs
// its operations or a deadline for confirmation.
func (d *data) putFinalPlan(rec planRecord, p model.Plan) {
	rec.Plan = p
	rec.Ops = nil
	d.plans.set(p.ID, &rec)
	d.deadlines.drop(timeKey(p.Deadline, deadlineOpenPlan, p.ID))
}

// expirePlan marks an open plan whose deadline has passed as expired.
func (d *data) expirePlan(id string) {
	rec, ok := d.plans.get(id)
	if ok && rec.Plan.State == model.PlanOpen && !d.now.Before(rec.Plan.Deadline) {
		d.finalizePlan(id, model.PlanExpired)
	}
}

func (d *data) dropPlan(id string) {
	rec, ok := d.plans.get(id)
	if !ok {
		return
	}
	d.intents.drop(intentKey(rec.Plan.Operator, rec.Plan.Intent))
	d.plans.drop(id)
}
