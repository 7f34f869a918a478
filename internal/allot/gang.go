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
	shares []share
	took   time.Duration // expected length of the run
	stops  []Stop
	lost   time.Duration // work thrown away by the stops

	idleRacks int   // idle racks that it makes use of
	idleHosts int   // the same of hosts
	left      int64 // accelerators that stay free on the hosts used
}

// better tells whether c ends the gang sooner than o, counting the work that is
// thrown away for it. Among about equals, the one that leaves more hosts and
// racks idle is better: large gangs need them whole.
func (c choice) better(o choice) bool {
	return cmp.Or(
		cmp.Compare(grade(c.took+c.lost), grade(o.took+o.lost)),
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

// serveGang places all tasks of a gang at once.
func (p *planner) serveGang(n *Need) {
	claim, had := p.claims[n]
	if had {
		p.release(n, claim)
	}
	if c, ok := p.bestGang(n, freeRoom); ok {
		if !n.Sure && p.worthWaiting(n, c) {
			p.rule(n, Better, 0)
			return
		}
		p.startGang(n, c)
		p.rule(n, Started, len(n.Indexes))
		return
	}
	if !n.Sure && n.Priority > 0 {
		p.rule(n, Waits, 0)
		return
	}
	if had {
		p.claim(n, claim)
		p.rule(n, Held, 0)
		return
	}
	if c, ok := p.bestGang(n, soonRoom); ok {
		p.claim(n, c)
		p.rule(n, Held, 0)
		return
	}
	if c, ok := p.reclaimGang(n); ok && (n.Sure || p.worthClearing(n, c)) {
		for _, st := range c.stops {
			p.evict(st)
		}
		p.plan.Stops = append(p.plan.Stops, c.stops...)
		p.claim(n, c)
		p.rule(n, Reclaims, 0)
		return
	}
	p.rule(n, Waits, 0)
}

// worthWaiting tells whether a gang that would run over racks, or far from its
// data, ends sooner if it waits for a better place. The time that it has waited
// already counts, so that it doesn't wait for ever for what is always about to end.
func (p *planner) worthWaiting(n *Need, c choice) bool {
	if !n.Compact && n.DataRack == "" {
		return false
	}
	racks := p.racks
	if n.DataRack != "" {
		racks = []string{n.DataRack}
	}
	for _, rack := range racks {
		wait, ok := p.freeIn(n, rack, len(n.Indexes))
		if ok && p.waited(n)+wait+n.Work < c.took {
			return true
		}
	}
	return false
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

// urgency is how many times as much work may be thrown away as an urgent task does
// itself. On the users' sheets a second of urgent work earns five times as much as
// one of the rest, and work thrown away costs a third of what that earns.
const urgency = 2

// worthClearing tells whether runs should be stopped for a gang that no guarantee
// covers: only if that completes it in time, waiting doesn't, and less work is
// thrown away than it does itself.
func (p *planner) worthClearing(n *Need, c choice) bool {
	if p.in.Now.Add(c.took + n.Rest).After(n.Deadline) {
		return false
	}
	if wait, ok := p.freeIn(n, "", len(n.Indexes)); ok && !p.in.Now.Add(wait+c.took+n.Rest).After(n.Deadline) {
		return false
	}
	return p.cost(c.stops) <= urgency*n.Work.Seconds()*n.Room.weight()*float64(len(n.Indexes))
}
