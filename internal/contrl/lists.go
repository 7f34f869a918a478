package contrl

import (
	"context"
	"slices"
	"strconv"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func apiTeams(_ context.Context, call *apiCall) (any, error) {
	return client.TeamList{Teams: call.c.state.View().Config().Teams()}, nil
}

func apiServices(_ context.Context, call *apiCall) (any, error) {
	return client.ServiceList{Services: call.c.state.View().Config().Services()}, nil
}

func apiJobs(_ context.Context, call *apiCall) (any, error) {
	out := client.JobList{Jobs: []model.Job{}}
	team := call.query.Get("team")
	for j := range call.c.state.View().Jobs() {
		if team == "" || j.Team == team {
			out.Jobs = append(out.Jobs, j.Job)
		}
	}
	return out, nil
}

func apiJob(_ context.Context, call *apiCall) (any, error) {
	j, ok := call.c.state.View().Job(call.pathParams[0])
	if !ok {
		return nil, notFound("job", call.pathParams[0])
	}
	return j.Job, nil
}

func apiWorkers(_ context.Context, call *apiCall) (any, error) {
	out := client.WorkerList{Workers: []model.Worker{}}
	for w := range call.c.state.View().Workers() {
		out.Workers = append(out.Workers, w.Worker)
	}
	return out, nil
}

func apiConfig(_ context.Context, call *apiCall) (any, error) {
	cfg := call.c.state.View().Config()
	return client.Config{Revision: cfg.Revision(), Teams: cfg.Teams(), Services: cfg.Services()}, nil
}

func apiHistory(_ context.Context, call *apiCall) (any, error) {
	v := call.c.state.View()
	out := client.History{Revisions: []client.Revision{}}
	for r := range v.History(0) {
		p, _ := v.Plan(r.Plan)
		out.Revisions = append(out.Revisions, client.Revision{
			Revision: r.Number, At: r.Time, Operator: r.Operator, Intent: p.Intent, Plan: r.Plan, Changes: r.Changes,
		})
	}
	slices.Reverse(out.Revisions)
	return out, nil
}

// apiDiff returns the changes after revision "from", up to and including "to".
func apiDiff(_ context.Context, call *apiCall) (any, error) {
	v := call.c.state.View()
	from, err := revisionParam(call, "from", 0)
	if err != nil {
		return nil, err
	}
	to, err := revisionParam(call, "to", v.Revision())
	if err != nil {
		return nil, err
	}
	if to < from || to > v.Revision() {
		return nil, invalidField("to", "want a revision from "+strconv.FormatUint(from, 10)+" to "+strconv.FormatUint(v.Revision(), 10))
	}
	out := client.Diff{From: from, To: to, Changes: []model.Change{}}
	for r := range v.History(from + 1) {
		if r.Number > to {
			break
		}
		out.Changes = append(out.Changes, r.Changes...)
	}
	return out, nil
}

// revisionParam returns the revision in a query parameter, or defaultRevision
// without one.
func revisionParam(call *apiCall, param string, defaultRevision uint64) (uint64, error) {
	s := call.query.Get(param)
	if s == "" {
		return defaultRevision, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, invalidField(param, "want a revision number, not "+strconv.Quote(s))
	}
	return n, nil
}

// apiStatus returns the configuration revision and freshness of each process.
func apiStatus(_ context.Context, call *apiCall) (any, error) {
	c := call.c
	out := client.Status{Revision: c.state.View().Revision(), Processes: c.controlProcesses()}
	for _, n := range c.nodes.list() {
		out.Processes = append(out.Processes, client.Process{
			Name: n.Name, Role: n.Role, Domain: n.Domain, Revision: n.Revision,
			Fresh: n.Fresh && c.env.Clock.Now().Sub(n.LastAnswered) < conf.MaxStaleness, LastSeen: n.LastAnswered,
		})
	}
	return out, nil
}

// apiAgents returns the state of each agent as of its last heartbeat.
func apiAgents(_ context.Context, call *apiCall) (any, error) {
	out := client.AgentList{Agents: []client.Agent{}}
	for _, n := range call.c.nodes.list() {
		if n.Role == "agent" {
			out.Agents = append(out.Agents, call.agentStatus(n))
		}
	}
	return out, nil
}

// agentStatus returns an agent's state for operators. An agent that has missed its
// heartbeats is suspect.
func (call *apiCall) agentStatus(n nodeInfo) client.Agent {
	a := client.Agent{
		Name: n.Name, Service: n.Service, Domain: n.Domain, Backend: n.Server, Slots: n.Slots,
		FreeSlots: n.Slots - n.Busy, State: client.AgentState(n.State), LastSeen: n.LastAnswered,
	}
	if call.c.env.Clock.Now().Sub(n.LastAnswered) > 2*poll.MaxHoldTime {
		a.State = client.AgentSuspect
	}
	return a
}
