package contrl

import (
	"context"

	"github.com/google/uuid"

	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// apiDrain cordons the worker that an agent runs on, so that the agent gets no
// more work. The cordon is committed and so survives a change of leader. Running
// tasks finish.
func apiDrain(ctx context.Context, call *apiCall) (any, error) {
	return call.setCordon(ctx, model.OpCordon)
}

// apiUndrain uncordons the worker that an agent runs on.
func apiUndrain(ctx context.Context, call *apiCall) (any, error) {
	return call.setCordon(ctx, model.OpUncordon)
}

// setCordon plans and confirms the operation kind, which cordons or uncordons, on the
// worker that an agent runs on.
func (call *apiCall) setCordon(ctx context.Context, kind model.OpKind) (any, error) {
	n, ok := call.findAgent(call.pathParams[0])
	if !ok {
		return nil, notFound("agent", call.pathParams[0])
	}
	if n.Worker == "" {
		return nil, invalidField("agent", n.Name+" runs on no worker; ask its admin address to drain")
	}
	v := call.c.state.View()
	now := call.c.env.Clock.Now()
	intent := model.Intent{
		ID: "agent-" + uuid.NewString(), Operator: call.operator,
		Ops: []model.Op{{Kind: kind, Name: n.Worker, Scope: model.ProximityWorker}},
	}
	p := state.PreparePlan(v, intent, call.leader, now, now.Add(planTTL))
	res, err := call.c.propose(ctx, state.Command{Plan: &p})
	if err != nil {
		return nil, err
	}
	if res.Plan == nil || res.Plan.State != model.PlanOpen {
		return nil, stateError(res)
	}
	confirm := state.PrepareConfirm(call.c.state.View(), res.Plan.ID, call.operator, call.leader)
	res, err = call.c.propose(ctx, state.Command{Confirm: &confirm})
	if err != nil {
		return nil, err
	}
	if res.Err != nil {
		return nil, stateError(res)
	}
	a := call.agentStatus(n)
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
