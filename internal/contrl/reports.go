package contrl

import (
	"context"

	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func apiExplain(_ context.Context, call *apiCall) (any, error) {
	j, ok := call.c.state.View().Job(call.pathParams[0])
	if !ok {
		return nil, notFound("job", call.pathParams[0])
	}
	l := call.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.sched.Explain(j.ID, call.c.env.Clock.Now())
	out := client.Explanation{Job: j.Job, Reason: e.Reason, Needs: e.Needs, Earliest: e.Earliest}
	if j.State.Ended() {
		out.Reason = j.Reason
	}
	for _, id := range e.Blockers {
		out.Blockers = append(out.Blockers, client.Blocker{WaitsFor: "job " + id, Reason: "holds what this job needs"})
	}
	return out, nil
}

// apiGuarantees returns for each guarantee how many of its shapes are in use, how
// many of the others could be claimed at once, and how many the fleet can't hold.
func apiGuarantees(_ context.Context, call *apiCall) (any, error) {
	l := call.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	out := client.GuaranteeReport{At: call.c.env.Clock.Now(), Revision: l.configRevision, Lines: []client.GuaranteeLine{}}
	for _, g := range l.sched.Guarantees() {
		line := client.GuaranteeLine{Team: g.Team, Count: g.Count, InUse: g.Used, Shortfall: g.Short, Claimable: g.Count - g.Used - g.Short}
		if len(g.Units) > 0 {
			line.Shape = g.Units[0].Shape
		}
		if g.Short > 0 {
			line.Reason = "the fleet holds too few workers at present"
		}
		out.Lines = append(out.Lines, line)
	}
	return out, nil
}

func apiFragmentation(_ context.Context, call *apiCall) (any, error) {
	l := call.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.sched.Fragmentation()
	out := client.FragmentationReport{At: call.c.env.Clock.Now(), Free: f.Accels}
	for _, g := range f.Gangs {
		out.Lines = append(out.Lines, client.FragmentationLine{Shape: g.Shape, Fits: g.Fits, Possible: g.Possible, FragmentedShare: g.FragmentedShare()})
	}
	return out, nil
}

// checkOps returns the scheduler's check of operations. The caller holds the lock.
func (l *leader) checkOps(ops []model.Op) state.CheckResult {
	r := l.sched.Check(ops, l.c.env.Clock.Now())
	return state.CheckResult{Preempts: r.PreemptedJobs, Touches: r.AffectedGuarantees, Refusals: r.Refusals}
}
