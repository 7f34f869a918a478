package allot

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// choice is a way to place a whole gang.
type choice struct {
	shares  []share
	took    time.Duration // expected length of the run
	victims []victim      // that make room

	idleRacks int   // idle racks that it makes use of
	idleHosts int   // the same of hosts
	left      int64 // accelerators that stay free on the hosts used
}

// better tells whether c ends the gang sooner than o. Among about equals, the one that leaves more hosts and
// racks idle is better: large gangs need them whole.
func (c choice) better(o choice) bool {
	return cmp.Or(
		cmp.Compare(grade(c.took), grade(o.took)),
		cmp.Compare(c.idleRacks, o.idleRacks),
		cmp.Compare(c.idleHosts, o.idleHosts),
		cmp.Compare(len(c.shares), len(o.shares)),
		cmp.Compare(c.left, o.left),
	) < 0
}

// grade puts lengths of time that differ by less than a sixth together: learned
// speeds are no more exact than that.
func grade(d time.Duration) int {
	return int(math.Round(4 * math.Log2(max(d.Seconds(), 0.001))))
}

// option is a way to serve a gang.
type option struct {
	choice  choice
	wait    time.Duration // until its room is free
	utility float64       // of completing it so, less what is lost for it
	verdict Verdict
	rack    string // that it waits for
}

const (
	// stopWait is how long room takes to come free where runs are stopping. The
	// platform allows 0.2 to 0.4 s.
	stopWait = 300 * time.Millisecond
	// preferNow is the part of its worth by which something must be better than
	// starting at once: what lies ahead is less certain.
	preferNow = 0.05
)

// serveGang places all tasks of a gang at once, keeps room for it, makes room for
// it or lets it wait, whatever is worth most.
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

// carryOut serves a need, all of its tasks together, in the way that is worth most.
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

// bestOption weighs the ways to serve a gang.
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
		// What has been about to end for long isn't waited for any more.
		if !free || p.waited(n)+wait+n.Work < now.choice.took {
			add(o)
		}
	}
	return best, found
}

// madeRoom returns the ways to serve a gang where runs are stopping, or have to
// stop for it.
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

// waited returns for how long a need has been waiting.
func (p *planner) waited(n *Need) time.Duration { return max(0, p.in.Now.Sub(n.Ready)) }

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

func (p *planner) keepAll(n *Need, c choice) {
	for _, sh := range c.shares {
		p.keep(sh.slot, n.Room.Times(sh.tasks))
	}
}

// release gives up the room of a claim.
func (p *planner) release(n *Need, c choice) {
	for _, sh := range c.shares {
		s := &p.slots[sh.slot]
		s.soon = s.soon.Plus(n.Room.Times(sh.tasks))
	}
}

// claim keeps room for a gang in this plan and the next.
func (p *planner) claim(n *Need, c choice) {
	p.keepAll(n, c)
	p.note(n, c)
}

// note hands kept room to the next plan.
func (p *planner) note(n *Need, c choice) {
	cl := Claim{Job: n.Job, Occur: n.Occur, Step: n.Step}
	for _, sh := range c.shares {
		cl.Shares = append(cl.Shares, Share{Worker: p.slots[sh.slot].w.ID, Tasks: sh.tasks})
	}
	p.plan.Claims = append(p.plan.Claims, cl)
}

func freeRoom(s *slot) Room { return s.free() }
func soonRoom(s *slot) Room { return s.soon }

// bestGang returns the placement that ends a gang soonest within the room that
// room tells of. One rack is tried for each rack, then all of them together.
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

// fill puts a gang on the fastest workers of a rack, "" being all racks, and as
// few of them as it can among equals.
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

// weighHoles notes what a choice leaves.
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
