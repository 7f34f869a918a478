package allot

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// choice is a placement of all tasks of a gang.
type choice struct {
	shares  []share
	took    time.Duration // expected duration of the run
	victims []victim      // runs to stop first

	idleRacks int   // completely free racks that it uses
	idleHosts int   // completely free hosts that it uses
	left      int64 // accelerators that stay free on the hosts used
}

// better reports whether c completes the gang sooner than o. Between about equal durations the choice
// that uses fewer free hosts and racks is better, because large gangs need whole ones.
func (c choice) better(o choice) bool {
	return cmp.Or(
		cmp.Compare(grade(c.took), grade(o.took)),
		cmp.Compare(c.idleRacks, o.idleRacks),
		cmp.Compare(c.idleHosts, o.idleHosts),
		cmp.Compare(len(c.shares), len(o.shares)),
		cmp.Compare(c.left, o.left),
	) < 0
}

// grade returns the duration on a logarithmic scale in steps of about a fifth, since learned speeds
// are no more exact than that.
func grade(d time.Duration) int {
	return int(math.Round(4 * math.Log2(max(d.Seconds(), 0.001))))
}

// option is a way to serve a gang: to start it, to stop runs for it or to let it wait.
type option struct {
	choice  choice
	wait    time.Duration // until its resources are free
	utility float64       // of completing the job this way, minus the cost of the runs that are stopped
	verdict Verdict
	rack    string // that the gang waits for
}

const (
	// stopWait is how long a stopping run still holds its resources. The platform allows 0.2 to
	// 0.4 s.
	stopWait = 300 * time.Millisecond
	// preferNow is added to the utility of starting at once, as a share of the value of completing
	// in time, because the utility of waiting is less certain.
	preferNow = 0.05
)

// serveGang starts all tasks of a gang together, claims resources for it, stops runs for it or lets it
// wait, whichever has the highest utility.
func (p *planner) serveGang(n *Need) {
	claim, had := p.claims[n]
	if had {
		p.release(n, claim)
	}
	v := p.carryOut(n, claim, had)
	if v == Started {
		p.rule(n, v, len(n.Indexes))
		return
	}
	p.rule(n, v, 0)
}

// carryOut applies the option with the highest utility to all tasks of a step together.
func (p *planner) carryOut(n *Need, claim choice, had bool) Verdict {
	best, ok := p.bestOption(n, claim, had)
	if !ok {
		return Waits
	}
	switch best.verdict {
	case Started:
		p.startGang(n, best.choice)
	case Reclaims:
		p.evict(n.Job, best.choice.victims)
		p.claim(n, best.choice)
	case Held:
		p.claim(n, best.choice)
	default:
		p.reserve(n, best.rack)
	}
	return best.verdict
}

// bestOption returns the option with the highest utility for a gang.
func (p *planner) bestOption(n *Need, claim choice, had bool) (option, bool) {
	var best, now option
	found, free := false, false
	add := func(o option) {
		o.utility += p.utility(n, o.wait, o.choice.took)
		if !found || o.utility > best.utility {
			best, found = o, true
		}
	}
	if c, ok := p.bestGang(n, freeRoom); ok {
		now, free = option{choice: c, verdict: Started}, true
		now.utility = p.utility(n, 0, c.took) + preferNow*importance(n.Priority)*n.size()
		best, found = now, true
	}
	if n.Sure || n.Priority <= urgent {
		for _, o := range p.madeRoom(n, claim, had) {
			add(o)
		}
	}
	if rack, wait, ok := p.soonest(n); ok && (!n.Sure || p.waited(n)+wait < p.in.Patient) {
		o := option{choice: choice{took: n.Work}, wait: wait, verdict: Waits, rack: rack}
		if free {
			o.verdict = Better
		}
		// Runs that are overdue aren't waited for any longer.
		if !free || p.waited(n)+wait+n.Work < now.choice.took {
			add(o)
		}
	}
	return best, found
}

// madeRoom returns the options that use resources of runs that are stopping or would have to be
// stopped.
func (p *planner) madeRoom(n *Need, claim choice, had bool) []option {
	if had {
		claim.took = p.took(n, claim)
		return []option{{choice: claim, wait: stopWait, verdict: Held}}
	}
	var list []option
	if c, ok := p.bestGang(n, soonRoom); ok {
		list = append(list, option{choice: c, wait: stopWait, verdict: Held})
	}
	clearings := p.clearings(n)
	for _, rack := range p.racksAndAll() {
		if c, ok := p.clear(n, rack, clearings); ok {
			list = append(list, option{choice: c, wait: stopWait, verdict: Reclaims, utility: -cost(c.victims)})
		}
	}
	return list
}

// took returns how long a gang takes on the workers of a choice.
func (p *planner) took(n *Need, c choice) time.Duration {
	worst := 0.0
	racks := map[string]bool{}
	for _, sh := range c.shares {
		w := p.slots[sh.slot].w
		worst = max(worst, p.factor(n, w))
		racks[w.Rack] = true
	}
	if n.Compact && len(racks) > 1 {
		worst *= p.in.Remote
	}
	return stretch(n.Work, worst)
}

// waited returns how long the tasks have been waiting.
func (p *planner) waited(n *Need) time.Duration { return max(0, p.in.Now.Sub(n.Ready)) }

// startGang starts all tasks of the gang on the workers of the choice.
func (p *planner) startGang(n *Need, c choice) {
	st := jobs.Start{}
	next := 0
	for _, sh := range c.shares {
		p.take(sh.slot, n.Room.Times(sh.tasks))
		for range sh.tasks {
			st.Places = append(st.Places, p.place(n, n.Indexes[next], sh.slot))
			next++
		}
	}
	p.plan.Starts = append(p.plan.Starts, st)
}

// keepAll keeps the resources of a choice from later steps in this plan.
func (p *planner) keepAll(n *Need, c choice) {
	for _, sh := range c.shares {
		p.keep(sh.slot, n.Room.Times(sh.tasks))
	}
}

// release returns the resources of a claim.
func (p *planner) release(n *Need, c choice) {
	for _, sh := range c.shares {
		s := &p.slots[sh.slot]
		s.soon = s.soon.Plus(n.Room.Times(sh.tasks))
	}
}

// claim keeps resources for a gang in this plan and the next.
func (p *planner) claim(n *Need, c choice) {
	p.keepAll(n, c)
	p.note(n, c)
}

// note passes a claim on to the next plan.
func (p *planner) note(n *Need, c choice) {
	cl := Claim{Job: n.Job, Occur: n.Occur, Step: n.Step}
	for _, sh := range c.shares {
		cl.Shares = append(cl.Shares, Share{Worker: p.slots[sh.slot].w.ID, Tasks: sh.tasks})
	}
	p.plan.Claims = append(p.plan.Claims, cl)
}

// freeRoom returns the resources that are free now.
func freeRoom(s *slot) Room { return s.free() }

// soonRoom returns the resources that are free once stopping runs have ended.
func soonRoom(s *slot) Room { return s.soon }

// bestGang returns the placement that completes a gang soonest within the resources that room returns
// for each slot. It tries each rack alone, then all racks together.
func (p *planner) bestGang(n *Need, room func(*slot) Room) (choice, bool) {
	best, found := choice{}, false
	try := func(rack string) {
		if c, ok := p.fill(n, rack, room); ok && (!found || c.better(best)) {
			best, found = c, true
		}
	}
	for _, rack := range p.racks {
		try(rack)
	}
	try("")
	return best, found
}

// fill places a gang on the fastest workers of a rack, or of all racks if rack is "". Among workers of
// about the same speed it prefers those that are in use already.
func (p *planner) fill(n *Need, rack string, room func(*slot) Room) (choice, bool) {
	type candidate struct {
		slot, holds int
		factor      float64
	}
	var cands []candidate
	for i := range p.slots {
		s := &p.slots[i]
		if !n.allowed(s.w) || (rack != "" && s.w.Rack != rack) {
			continue
		}
		if h := room(s).Holds(n.Room, min(len(n.Indexes), n.limit(s.w))); h > 0 {
			f := p.factor(n, s.w)
			cands = append(cands, candidate{i, h, f})
		}
	}
	slices.SortFunc(cands, func(a, b candidate) int {
		x, y := &p.slots[a.slot], &p.slots[b.slot]
		return cmp.Or(
			p.prefer(n, a.factor, x, b.factor, y),
			cmp.Compare(a.slot, b.slot),
		)
	})
	left, worst := len(n.Indexes), 0.0
	c := choice{}
	racks := map[string]bool{}
	for _, cand := range cands {
		k := min(left, cand.holds)
		c.shares = append(c.shares, share{cand.slot, k})
		racks[p.slots[cand.slot].w.Rack] = true
		worst = max(worst, cand.factor)
		if left -= k; left == 0 {
			break
		}
	}
	if left > 0 {
		return choice{}, false
	}
	if n.Compact && len(racks) > 1 {
		worst *= p.in.Remote
	}
	c.took = stretch(n.Work, worst)
	p.weighHoles(n, &c)
	return c, true
}

// weighHoles counts the free hosts and racks that a choice uses and the accelerators that it leaves
// free on its hosts.
func (p *planner) weighHoles(n *Need, c *choice) {
	idle := map[string]bool{}
	for i := range p.slots {
		s := &p.slots[i]
		was, seen := idle[s.w.Rack]
		idle[s.w.Rack] = s.idle() && (was || !seen)
	}
	racks := map[string]bool{}
	for _, sh := range c.shares {
		s := &p.slots[sh.slot]
		if s.idle() {
			c.idleHosts++
		}
		if idle[s.w.Rack] && !racks[s.w.Rack] {
			c.idleRacks++
			racks[s.w.Rack] = true
		}
		c.left += s.free().Accels - int64(sh.tasks)*n.Room.Accels
	}
}
