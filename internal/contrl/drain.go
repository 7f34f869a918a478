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
	return call.markAgent(ctx, model.OpCordon)
}

// apiUndrain uncordons the worker that an agent runs on.
func apiUndrain(ctx context.Context, call *apiCall) (any, error) {
	return call.markAgent(ctx, model.OpUncordon)
}

// markAgent plans and confirms an operation on the worker that an agent runs on.
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
		Ops: []model.Op{{Kind: kind, Name: n.Worker, Scope: model.NearWorker}},
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
