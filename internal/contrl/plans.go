package contrl

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// maxConfirmAttempts bounds the attempts to confirm a plan. A confirmation is prepared
// again if the fleet changed before it was committed.
const maxConfirmAttempts = 5

// apiIntent makes a plan for an intent and returns it.
func apiIntent(ctx context.Context, call *apiCall) (any, error) {
	var intent model.Intent
	if err := call.decodeBody(&intent); err != nil {
		return nil, err
	}
	if intent.Operator != "" && intent.Operator != call.operator {
		return nil, invalidField("operator", intent.Operator+" is not the operator that sent the request")
	}
	intent.Operator = call.operator
	now := call.c.env.Clock.Now()
	p := state.PreparePlan(call.c.state.View(), intent, call.leader, now, now.Add(planTTL))
	if intent.DryRun {
		return state.DryRun(call.c.state.View(), p, now), nil
	}
	res, err := call.c.propose(ctx, state.Command{Plan: &p})
	return planResult(res, err)
}

// apiConfirm confirms a plan, which puts it into effect.
func apiConfirm(ctx context.Context, call *apiCall) (any, error) {
	for attempt := 1; ; attempt++ {
		cmd := state.PrepareConfirm(call.c.state.View(), call.pathParams[0], call.operator, call.leader)
		res, err := call.c.propose(ctx, state.Command{Confirm: &cmd})
		if err == nil && errors.Is(res.Err, state.ErrSuperseded) && attempt < maxConfirmAttempts {
			continue
		}
		return planResult(res, err)
	}
}

// planResult returns the plan in a result. A plan that is refused, expired or in
// conflict is returned as an answer too, with its reasons.
func planResult(res state.Result, err error) (any, error) {
	switch {
	case err != nil:
		return nil, err
	case res.Plan != nil:
		return res.Plan, nil
	case res.Err != nil:
		return nil, stateError(res)
	}
	return nil, errors.New("no plan in the result")
}

func apiPlan(_ context.Context, call *apiCall) (any, error) {
	p, ok := call.c.state.View().Plan(call.pathParams[0])
	if !ok {
		return nil, notFound("plan", call.pathParams[0])
	}
	return p, nil
}

// Check implements state.Checker. The scheduler checks the effects of operations
// that have already been validated.
func (l *leader) Check(v state.View, ops []model.Op) state.CheckResult {
	l.updateScheduler(v)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checkOps(ops)
}
