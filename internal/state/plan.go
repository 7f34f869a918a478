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

// keepPlans is how long the answer to an intent is kept for resends.
const keepPlans = 7 * 24 * time.Hour

// hashBytes is how much of an intent's SHA-256 is kept. A clash would only let
// an operator get an older answer of their own.
const hashBytes = 16

// Verdict is what the scheduler finds about operations that are valid by
// themselves.
type Verdict struct {
	Preempts []string        `json:"preempts,omitempty"` // ids of jobs that would be stopped
	Touches  []string        `json:"touches,omitempty"`  // guarantees that are touched
	Refusals []model.Refusal `json:"refusals,omitempty"`
}

// Checker judges operations against the fleet. The leader asks it before it
// proposes, so that Apply stays cheap and the same on every replica.
type Checker interface {
	Check(v View, ops []model.Op) Verdict
}

// PlanIntent asks for the plan that answers an intent.
type PlanIntent struct {
	Intent   model.Intent `json:"intent"`
	Deadline time.Time    `json:"deadline"` // until when the plan may be confirmed
	Verdict  Verdict      `json:"verdict"`
}

// planRecord is a plan with what confirming it needs.
type planRecord struct {
	Plan model.Plan `json:"plan"`
	Hash string     `json:"hash"`          // of the intent's content
	Made uint64     `json:"made"`          // log index at which the plan was made
	Ops  []model.Op `json:"ops,omitempty"` // until the plan is settled
}

// Prepare judges an intent on a view. A checker is asked only about operations
// that are valid by themselves.
func Prepare(v View, in model.Intent, c Checker, now, deadline time.Time) PlanIntent {
	p := PlanIntent{Intent: in, Deadline: deadline}
	if len(newDraft(v.data, now, in.Ops).refusals) == 0 {
		p.Verdict = c.Check(v, in.Ops)
	}
	return p
}

// DryRun returns the plan that an intent would get. It is stored nowhere and
// has no id, so it can't be confirmed.
func DryRun(v View, p PlanIntent, now time.Time) model.Plan {
	return v.data.makePlan(p, now)
}

func intentKey(operator, intent string) string { return operator + "\x00" + intent }

// contentHash returns a digest of what an intent asks for. Whether it was a
// dry run doesn't count.
func contentHash(in model.Intent) (string, error) {
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
	bad := append(checkLabel("id", in.ID), checkLabel("operator", in.Operator)...)
	if len(bad) > 0 {
		return refused(bad)
	}
	if !c.Deadline.After(d.now) || c.Deadline.After(d.later(keepPlans)) {
		return failed(errors.Wrapf(ErrBadCommand, "deadline %s of plan", c.Deadline))
	}
	if in.DryRun {
		p := d.makePlan(c, d.now)
		return Result{Plan: &p, Refusals: p.Refusals, Err: planError(p)}
	}
	hash, err := contentHash(in)
	if err != nil {
		return failed(err)
	}
	if id, ok := d.intents.get(intentKey(in.Operator, in.ID)); ok {
		return d.resentIntent(id, hash)
	}
	return d.storePlan(c, hash)
}

// resentIntent answers an intent whose id was used before.
func (d *data) resentIntent(id, hash string) Result {
	rec, _ := d.plans.get(id)
	if rec.Hash != hash {
		return failed(errors.Wrapf(ErrIntentReused, "by operator %q for plan %s", rec.Plan.Operator, id))
	}
	d.lapsePlan(id)
	return d.planResult(id)
}

func (d *data) storePlan(c PlanIntent, hash string) Result {
	p := d.makePlan(c, d.now)
	p.ID = fmt.Sprintf("p%d", d.index)
	rec := planRecord{Plan: p, Hash: hash, Made: d.index}
	if p.State == model.PlanOpen {
		rec.Ops = c.Intent.Ops
		d.setDue(p.Deadline, dueOpen, p.ID)
	}
	d.plans.set(p.ID, &rec)
	d.intents.set(intentKey(p.Operator, p.Intent), p.ID)
	d.setDue(d.later(keepPlans), duePlan, p.ID)
	return d.planResult(p.ID)
}

// makePlan works out the answer to an intent without storing it.
func (d *data) makePlan(c PlanIntent, now time.Time) model.Plan {
	in := c.Intent
	g := newDraft(d, now, in.Ops)
	p := model.Plan{
		Intent: in.ID, Operator: in.Operator, State: model.PlanOpen, Base: in.Base, Deadline: c.Deadline.UTC(),
		Changes: g.changes, Preempts: c.Verdict.Preempts, Touches: c.Verdict.Touches,
		Refusals: append(g.refusals, c.Verdict.Refusals...),
	}
	if p.Base == 0 {
		p.Base = d.config.Revision()
	}
	if p.Base > d.config.Revision() {
		p.Refusals = append(p.Refusals, refuse("base", p.Base, "is a revision that doesn't exist yet"))
	}
	if len(p.Refusals) > 0 {
		p.State = model.PlanRefused
		return p
	}
	if first, ok := d.conflict(p.Base, d.index, in.Ops); ok {
		p.State = model.PlanConflict
		p.Refusals = []model.Refusal{first}
	}
	return p
}

// planError returns the error that a plan's state stands for.
func planError(p model.Plan) error {
	var why model.Refusal
	if len(p.Refusals) > 0 {
		why = p.Refusals[0]
	}
	switch p.State {
	case model.PlanRefused:
		return errors.Wrapf(ErrRefused, "%s %s", why.Field, why.Reason)
	case model.PlanConflict:
		return errors.Wrapf(ErrConflict, "%s %s %s", why.Field, why.Value, why.Reason)
	case model.PlanExpired:
		return errors.Wrapf(ErrExpired, "at %s", p.Deadline)
	}
	return nil
}

// planResult returns the stored answer. Everyone who asks for the same plan
// gets the same one.
func (d *data) planResult(id string) Result {
	rec, _ := d.plans.get(id)
	p := rec.Plan
	return Result{Plan: &p, Refusals: p.Refusals, Err: planError(p)}
}

// settlePlan stores the final state of a plan and lets go of its operations.
func (d *data) settlePlan(id string, s model.PlanState, refusals ...model.Refusal) {
	old, _ := d.plans.get(id)
	p := old.Plan
	p.State = s
	p.Refusals = refusals
	d.putSettled(*old, p)
}

// putSettled stores a plan in its final state.
func (d *data) putSettled(rec planRecord, p model.Plan) {
	rec.Plan = p
	rec.Ops = nil
	d.plans.set(p.ID, &rec)
	d.due.drop(dueKey(p.Deadline, dueOpen, p.ID))
}

// lapsePlan marks an open plan whose deadline has passed as expired.
func (d *data) lapsePlan(id string) {
	rec, ok := d.plans.get(id)
	if ok && rec.Plan.State == model.PlanOpen && !d.now.Before(rec.Plan.Deadline) {
		d.settlePlan(id, model.PlanExpired)
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
