package contrl

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// maxSuperseded bounds the attempts to confirm a plan. A confirmation is prepared
// again if the fleet changed before it was committed.
const maxSuperseded = 5

// apiIntent makes a plan for an intent and returns it.
func apiIntent(ctx context.Context, call *apiCall) (any, error) {
	var in model.Intent
	if err := call.read(&in); err != nil {
		return nil, err
	}
	if in.Operator != "" && in.Operator != call.operator {
		return nil, invalid("operator", in.Operator+" is not the operator that sent the request")
	}
	in.Operator = call.operator
	now := call.c.env.Clock.Now()
	p := state.PreparePlan(call.c.state.View(), in, call.lead, now, now.Add(planLimit))
	if in.DryRun {
		return state.DryRun(call.c.state.View(), p, now), nil
	}
	res, err := call.c.propose(ctx, state.Command{Plan: &p})
	return planOf(res, err)
}

// apiConfirm confirms a plan, which puts it into effect.
func apiConfirm(ctx context.Context, call *apiCall) (any, error) {
	for try := 1; ; try++ {
		cmd := state.PrepareConfirm(call.c.state.View(), call.args[0], call.operator, call.lead)
		res, err := call.c.propose(ctx, state.Command{Confirm: &cmd})
		if err == nil && errors.Is(res.Err, state.ErrSuperseded) && try < maxSuperseded {
			continue
		}
		return planOf(res, err)
	}
}

// planOf returns the plan in a result. A plan that is refused, expired or in
// conflict is returned as an answer too, with its reasons.
func planOf(res state.Result, err error) (any, error) {
	switch {
	case err != nil:
		return nil, err
	case res.Plan != nil:
		return res.Plan, nil
	case res.Err != nil:
		return nil, stateFault(res)
	}
	return nil, errors.New("no plan in the result")
}

func apiPlan(_ context.Context, call *apiCall) (any, error) {
	p, ok := call.c.state.View().Plan(call.args[0])
	if !ok {
		return nil, missing("plan", call.args[0])
	}
	return p, nil
}

// Check implements state.Checker. The scheduler checks the effects of operations
// that have already been validated.
func (l *lead) Check(v state.View, ops []model.Op) state.CheckResult {
	l.learn(v)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.judge(ops)
}
