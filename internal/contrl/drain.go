package contrl

import (
	"context"

	"github.com/google/uuid"

	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// apiDrain gives an agent no more work by cordoning the worker that it runs
// on, which is committed and so outlives the leader. What runs finishes.
func apiDrain(ctx context.Context, call *apiCall) (any, error) {
	return call.markAgent(ctx, model.OpCordon)
}

// apiUndrain gives an agent work again.
func apiUndrain(ctx context.Context, call *apiCall) (any, error) {
	return call.markAgent(ctx, model.OpUncordon)
}

func (call *apiCall) markAgent(ctx context.Context, kind model.OpKind) (any, error) {
	n, ok := call.findAgent(call.args[0])
	if !ok {
		return nil, missing("agent", call.args[0])
	}
	if n.Worker == "" {
		return nil, invalid("agent", n.Name+" runs on no worker; ask its admin address to drain")
	}
	v := call.c.state.View()
	now := call.c.env.Clock.Now()
	in := model.Intent{
		ID: "agent-" + uuid.NewString(), Operator: call.operator,
		Ops: []model.Op{{Kind: kind, Name: n.Worker, Scope: model.ProximityWorker}},
	}
	p := state.PreparePlan(v, in, call.lead, now, now.Add(planLimit))
	res, err := call.c.propose(ctx, state.Command{Plan: &p})
	if err != nil {
		return nil, err
	}
	if res.Plan == nil || res.Plan.State != model.PlanOpen {
		return nil, stateFault(res)
	}
	confirm := state.PrepareConfirm(call.c.state.View(), res.Plan.ID, call.operator, call.lead)
	res, err = call.c.propose(ctx, state.Command{Confirm: &confirm})
	if err != nil {
		return nil, err
	}
	if res.Err != nil {
		return nil, stateFault(res)
	}
	a := call.agent(n)
	a.State = client.AgentDraining
	if kind == model.OpUncordon {
		a.State = client.AgentReady
	}
	return a, nil
}

func (call *apiCall) findAgent(name string) (nodeInfo, bool) {
	for _, n := range call.c.nodes.list() {
		if n.Role == "agent" && n.Name == name {
			return n, true
		}
	}
	return nodeInfo{}, false
}
