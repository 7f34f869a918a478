package allot

import (
	"cmp"
	"math"
	"slices"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// account is what a team uses during planning.
type account struct {
	use   TeamUse
	share float64 // of the resource of which it has the largest share
}

// turns decides whose step is planned next.
type turns struct {
	total    Resources // of all workers
	accounts map[string]*account
	shares   map[string]*TeamShare // of the teams between which shares have decided
}

func (p *planner) newTurns() *turns {
	t := &turns{accounts: map[string]*account{}, shares: map[string]*TeamShare{}}
	for i := range p.slots {
		t.total = t.total.Plus(p.slots[i].worker.Capacity)
	}
	for team, use := range p.in.Use {
		t.accounts[team] = &account{use: use}
		t.accounts[team].update(t.total)
	}
	return t
}

// update computes the share. What is held counts at once, and what was held until it has decayed.
func (a *account) update(total Resources) {
	a.share = max(a.use.Held.shareOf(total), a.use.Lately.shareOf(total))
}

// account returns the account of a team, creating it if needed.
func (t *turns) account(team string) *account {
	a, ok := t.accounts[team]
	if !ok {
		a = &account{}
		t.accounts[team] = a
	}
	return a
}

// planInTurn plans the steps, which are in order of class and deadline. Where more than one team waits in a class and the
// room isn't enough for the work up to and including that class, the teams take turns by their shares.
func (p *planner) planInTurn(steps []PendingStep) {
	if len(p.in.Use) == 0 {
		for i := range steps {
			p.planStep(&steps[i])
		}
		return
	}
	t := p.newTurns()
	demand := map[string]Resources{} // by service, of the classes so far
	free := p.freeResources()
	for first := 0; first < len(steps); {
		end := first + 1
		for end < len(steps) && compareClasses(steps[first], steps[end], p.in.Now) == 0 {
			end++
		}
		p.planClass(t, steps[first:end], demand, free)
		first = end
	}
	for _, s := range t.shares {
		p.plan.Shares = append(p.plan.Shares, *s)
	}
	slices.SortFunc(p.plan.Shares, func(a, b TeamShare) int { return cmp.Compare(a.Team, b.Team) })
}

// freeResources returns what is free now on workers that take tasks, by service.
func (p *planner) freeResources() map[string]Resources {
	free := map[string]Resources{}
	for i := range p.slots {
		if s := &p.slots[i]; s.worker.schedulable() {
			free[s.worker.Service] = free[s.worker.Service].Plus(s.available())
		}
	}
	return free
}

// planClass plans the steps of one class. Each service whose teams contend has its steps in the places that it had by
// deadline, in the order of turns.
func (p *planner) planClass(t *turns, class []PendingStep, demand, free map[string]Resources) {
	waiting := map[string][]turn{} // by service, in order of deadline
	for i := range class {
		step := &class[i]
		waiting[step.Service] = append(waiting[step.Service], turn{step, t.account(step.Team)})
		if len(p.claims[step].assignments) == 0 { // the claims aren't in the free resources either
			demand[step.Service] = demand[step.Service].Plus(step.Resources.Times(len(step.Indexes)))
		}
	}
	tolerance := map[string]float64{} // by service in which teams contend
	for service, list := range waiting {
		if teams := teamsOf(list); teams > 1 && demand[service].exceeds(free[service]) && !class[0].Guaranteed {
			tolerance[service] = max(p.in.MinShareDifference, 1/float64(teams))
			t.note(list)
		}
	}
	for i := range class {
		service := class[i].Service
		list := waiting[service]
		next := 0
		if tol, contended := tolerance[service]; contended {
			next = nextTurn(list, tol)
		}
		step, account := list[next].step, list[next].account
		waiting[service] = slices.Delete(list, next, next+1)
		p.planStep(step)
		t.charge(step, account, p.plan.Decisions[len(p.plan.Decisions)-1])
	}
}

// turn is a waiting step with the account of its team.
type turn struct {
	step    *PendingStep
	account *account
}

// exceeds reports whether r is more than o of any resource.
func (r Resources) exceeds(o Resources) bool {
	return r.CPU > o.CPU || r.Memory > o.Memory || r.Accels > o.Accels
}

// teamsOf returns the number of teams that wait.
func teamsOf(list []turn) int {
	teams := map[*account]bool{}
	for _, w := range list {
		teams[w.account] = true
	}
	return len(teams)
}

// nextTurn returns the index of the step to plan next: the first of those whose team has at most the given share more
// than the least served one.
func nextTurn(list []turn, tolerance float64) int {
	least := math.Inf(1)
	for _, w := range list {
		least = min(least, w.account.share)
	}
	return slices.IndexFunc(list, func(w turn) bool { return w.account.share <= least+tolerance })
}

// charge adds to a team's account what a plan starts for it or clears for it, gangs whole.
func (t *turns) charge(step *PendingStep, a *account, d Decision) {
	n := d.Tasks
	if d.Verdict == Reclaims || d.Verdict == WaitsForClaim {
		n = len(step.Indexes)
	}
	if s, ok := t.shares[step.Team]; ok {
		s.Started += d.Tasks
	}
	a.use.Held = a.use.Held.Plus(step.Resources.Times(n))
	a.update(t.total)
}

// note records the teams that contend, with their shares before the plan has started anything for them in this class.
func (t *turns) note(list []turn) {
	for _, w := range list {
		step := w.step
		s, ok := t.shares[step.Team]
		if !ok {
			s = &TeamShare{Team: step.Team, Share: w.account.share}
			t.shares[step.Team] = s
		}
		s.Waiting += len(step.Indexes)
	}
}

// ResourcesOf returns the resources of a team's use, in whole units.
func ResourcesOf(u jobs.Use) Resources {
	return Resources{CPU: int64(u.CPU), Memory: int64(u.Memory), Accels: int64(math.Round(u.Accels))}
}
