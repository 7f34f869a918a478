package allot

import (
	"maps"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// serveUrgent serves urgent tasks that aren't a gang, each like a gang of one.
func (p *planner) serveUrgent(n *Need) {
	kept := p.claims[n].shares
	used := maps.Clone(n.Used)
	if used == nil {
		used = map[jobs.Worker]int{}
	}
	placed, last := 0, Waits
	for _, index := range n.Indexes {
		one := *n
		one.Indexes, one.Used = []int{index}, used
		claim, had := choice{}, len(kept) > 0
		if had {
			claim.shares = []share{{kept[0].slot, 1}}
			if kept[0].tasks--; kept[0].tasks == 0 {
				kept = kept[1:]
			}
			p.release(&one, claim)
		}
		starts := len(p.plan.Starts)
		last = p.carryOut(&one, claim, had)
		if last == Started {
			placed++
			used[p.plan.Starts[starts].Places[0].Worker]++
		}
	}
	p.release(n, choice{shares: kept}) // claimed for more tasks than are left
	switch placed {
	case len(n.Indexes):
		p.rule(n, Started, placed)
	case 0:
		p.rule(n, last, 0)
	default:
		p.rule(n, Partly, placed)
	}
}

// serveSingles places tasks one by one, each on the preferred worker.
func (p *planner) serveSingles(n *Need) {
	placed := 0
	taken := map[int]int{}
	for _, index := range n.Indexes {
		at := p.bestSingle(n, taken)
		if at < 0 {
			break
		}
		taken[at]++
		p.take(at, n.Room)
		p.plan.Starts = append(p.plan.Starts, jobs.Start{Places: []jobs.Place{p.place(n, index, at)}})
		placed++
	}
	switch {
	case placed == len(n.Indexes):
		p.rule(n, Started, placed)
		return
	case placed > 0:
		p.rule(n, Partly, placed)
	default:
		p.rule(n, Waits, 0)
	}
}

// bestSingle returns the index of the slot for one task, or -1. A slot far from the data is used only
// if waiting for one near the data would take longer.
func (p *planner) bestSingle(n *Need, taken map[int]int) int {
	best, bestAt := 0.0, -1
	for i := range p.slots {
		s := &p.slots[i]
		if !n.allowed(s.w) || taken[i] >= n.limit(s.w) || s.free().Holds(n.Room, 1) == 0 {
			continue
		}
		f := p.factor(n, s.w)
		if bestAt < 0 || p.prefer(n, f, s, best, &p.slots[bestAt]) < 0 {
			best, bestAt = f, i
		}
	}
	if bestAt >= 0 && n.DataRack != "" && p.slots[bestAt].w.Rack != n.DataRack {
		if wait, ok := p.freeIn(n, n.DataRack, 1); ok && p.waited(n)+wait+n.Work < stretch(n.Work, best) {
			return -1
		}
	}
	return bestAt
}
