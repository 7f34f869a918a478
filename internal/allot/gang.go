package allot

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// placement assigns all tasks of a step to slots.
type placement struct {
	assignments []slotAssignment
	duration    time.Duration // expected duration of the run
	victims     []victim      // runs to stop first

	freeRacks  int   // completely free racks that it uses
	freeHosts  int   // completely free hosts that it uses
	freeAccels int64 // accelerators that stay free on the hosts used
}

// betterThan reports whether pl completes the gang sooner than o. Between about equal durations the one
// that uses fewer free hosts and racks is better, because large gangs need whole ones.
func (pl placement) betterThan(o placement) bool {
	return cmp.Or(
		cmp.Compare(durationBucket(pl.duration), durationBucket(o.duration)),
		cmp.Compare(pl.freeRacks, o.freeRacks),
		cmp.Compare(pl.freeHosts, o.freeHosts),
		cmp.Compare(len(pl.assignments), len(o.assignments)),
		cmp.Compare(pl.freeAccels, o.freeAccels),
	) < 0
}

// durationBucket returns the duration on a logarithmic scale in steps of about a fifth, since learned speeds
// are no more exact than that.
func durationBucket(d time.Duration) int {
	return int(math.Round(4 * math.Log2(max(d.Seconds(), 0.001))))
}

// option is a way to serve a gang: to start it, to stop runs for it or to let it wait.
type option struct {
	placement placement
	wait      time.Duration // until its resources are free
	utility   float64       // utility of completing the job this way, minus the cost of the runs that are stopped
	verdict   Verdict
	rack      string // rack that the gang waits for; empty for all racks
}

const (
	// stopDelay is how long a stopping run still holds its resources. The platform allows 0.2 to
	// 0.4 s.
	stopDelay = 300 * time.Millisecond
	// startNowBonus is added to the utility of starting at once, as a share of the value of completing
	// in time, because the utility of waiting is less certain.
	startNowBonus = 0.05
)

// planGang starts all tasks of a gang together, claims resources for it, stops runs for it or lets it
// wait, whichever has the highest utility.
func (p *planner) planGang(step *PendingStep) {
	claim, hasClaim := p.claims[step]
	if hasClaim {
		p.releaseClaim(step, claim)
	}
	verdict := p.applyBestOption(step, claim, hasClaim)
	if verdict == Started {
		p.recordVerdict(step, verdict, len(step.Indexes))
		return
	}
	p.recordVerdict(step, verdict, 0)
}

// applyBestOption applies the option with the highest utility to all tasks of a step together.
func (p *planner) applyBestOption(step *PendingStep, claim placement, hasClaim bool) Verdict {
	best, ok := p.bestOption(step, claim, hasClaim)
	if !ok {
		return Waits
	}
	switch best.verdict {
	case Started:
		p.startGang(step, best.placement)
	case Reclaims:
		p.stopRuns(step.Job, best.placement.victims)
		p.claim(step, best.placement)
	case WaitsForClaim:
		p.claim(step, best.placement)
	case Waits, WaitsForBetter:
		if hasClaim {
			// The runs there are stopping already. Without the claim, the next plan would stop others.
			p.claim(step, claim)
			break
		}
		p.reserveForWaitingGang(step, best.rack)
	default:
		p.reserveForWaitingGang(step, best.rack)
	}
	return best.verdict
}

// bestOption returns the option with the highest utility for a gang.
func (p *planner) bestOption(step *PendingStep, claim placement, hasClaim bool) (option, bool) {
	var best, startNow option
	found, canStart := false, false
	add := func(o option) {
		o.utility += p.utility(step, o.wait, o.placement.duration)
		if !found || o.utility > best.utility {
			best, found = o, true
		}
	}
	if pl, ok := p.bestPlacement(step, availableNow); ok {
		startNow, canStart = option{placement: pl, verdict: Started}, true
		startNow.utility = p.utility(step, 0, pl.duration) + startNowBonus*priorityValue(step.Priority)*step.accelSeconds()
		best, found = startNow, true
	}
	if step.Guaranteed || step.Priority <= urgentPriority {
		for _, o := range p.stopOptions(step, claim, hasClaim) {
			add(o)
		}
	}
	if rack, wait, ok := p.soonestRack(step); ok && (!step.Guaranteed || p.waited(step)+wait < p.in.MaxGuaranteeWait) {
		o := option{placement: placement{duration: step.TaskDuration}, wait: wait, verdict: Waits, rack: rack}
		if canStart {
			o.verdict = WaitsForBetter
		}
		// Runs that are overdue aren't waited for any longer, and a job with nothing running doesn't wait at all
		// while there is plenty of room.
		if !canStart || !p.startsAnywhere(step) && p.waited(step)+wait+step.TaskDuration < startNow.placement.duration {
			add(o)
		}
	}
	return best, found
}

// stopOptions returns the options that use resources of runs that are stopping or would have to be
// stopped.
func (p *planner) stopOptions(step *PendingStep, claim placement, hasClaim bool) []option {
	if hasClaim {
		claim.duration = p.gangDuration(step, claim)
		return []option{{placement: claim, wait: stopDelay, verdict: WaitsForClaim}}
	}
	var options []option
	if pl, ok := p.bestPlacement(step, availableSoon); ok {
		options = append(options, option{placement: pl, wait: stopDelay, verdict: WaitsForClaim})
	}
	pricings := []stopPricing{wholeLoss}
	if len(step.Indexes) > 1 && p.in.Stops == StopsWhole {
		pricings = append(pricings, lossPerMember)
	}
	for _, pricing := range pricings {
		capacities := p.capacitiesWithStops(step, pricing)
		for _, rack := range p.racksAndAll() {
			if pl, ok := p.placeWithStops(step, rack, capacities); ok {
				options = append(options, option{placement: pl, wait: stopDelay, verdict: Reclaims, utility: -stopCost(pl.victims, wholeLoss)})
			}
		}
	}
	return options
}

// gangDuration returns how long a gang takes on the workers of a placement.
func (p *planner) gangDuration(step *PendingStep, pl placement) time.Duration {
	maxFactor := 0.0
	racks := map[string]bool{}
	for _, a := range pl.assignments {
		w := p.slots[a.slot].worker
		maxFactor = max(maxFactor, p.durationFactor(step, w))
		racks[w.Rack] = true
	}
	if step.Compact && len(racks) > 1 {
		maxFactor *= p.in.RemoteFactor
	}
	return scale(step.TaskDuration, maxFactor)
}

// waited returns how long the tasks have been waiting.
func (p *planner) waited(step *PendingStep) time.Duration { return max(0, p.in.Now.Sub(step.ReadyAt)) }

// startGang starts all tasks of the gang on the workers of the placement.
func (p *planner) startGang(step *PendingStep, pl placement) {
	start := jobs.Start{}
	next := 0
	for _, a := range pl.assignments {
		p.allocate(a.slot, step.Resources.Times(a.tasks))
		for range a.tasks {
			start.Placements = append(start.Placements, p.placeTask(step, step.Indexes[next], a.slot))
			next++
		}
	}
	p.plan.Starts = append(p.plan.Starts, start)
}

// reservePlacement keeps the resources of a placement from later steps in this plan.
func (p *planner) reservePlacement(step *PendingStep, pl placement) {
	for _, a := range pl.assignments {
		p.reserve(a.slot, step.Resources.Times(a.tasks))
	}
}

// releaseClaim returns the resources of a claim.
func (p *planner) releaseClaim(step *PendingStep, pl placement) {
	for _, a := range pl.assignments {
		s := &p.slots[a.slot]
		s.freeSoon = s.freeSoon.Plus(step.Resources.Times(a.tasks))
	}
}

// claim keeps resources for a gang in this plan and the next.
func (p *planner) claim(step *PendingStep, pl placement) {
	p.reservePlacement(step, pl)
	p.recordClaim(step, pl)
}

// recordClaim passes a claim on to the next plan.
func (p *planner) recordClaim(step *PendingStep, pl placement) {
	claim := Claim{Job: step.Job, Occurrence: step.Occurrence, Step: step.Step}
	for _, a := range pl.assignments {
		claim.Assignments = append(claim.Assignments, Assignment{Worker: p.slots[a.slot].worker.ID, Tasks: a.tasks})
	}
	p.plan.Claims = append(p.plan.Claims, claim)
}

// availableNow returns the resources that are free now.
func availableNow(s *slot) Resources { return s.available() }

// availableSoon returns the resources that are free once stopping runs have ended.
func availableSoon(s *slot) Resources { return s.freeSoon }

// bestPlacement returns the placement that completes a gang soonest within the resources that available
// returns for each slot. It tries each rack alone, then all racks together.
func (p *planner) bestPlacement(step *PendingStep, available func(*slot) Resources) (placement, bool) {
	best, found := placement{}, false
	try := func(rack string) {
		if pl, ok := p.fillRack(step, rack, available); ok && (!found || pl.betterThan(best)) {
			best, found = pl, true
		}
	}
	for _, rack := range p.racks {
		try(rack)
	}
	try("")
	return best, found
}

// fillRack places a gang on the fastest workers of a rack, or of all racks if rack is "". Among workers of
// about the same speed it prefers those that are in use already.
func (p *planner) fillRack(step *PendingStep, rack string, available func(*slot) Resources) (placement, bool) {
	type candidate struct {
		slot, capacity int
		factor         float64
	}
	var candidates []candidate
	spare := p.spareWorkers(step)
	for i := range p.slots {
		s := &p.slots[i]
		if !step.allowed(s.worker) || (rack != "" && s.worker.Rack != rack) {
			continue
		}
		if s.empty() && spare == 0 {
			continue
		}
		if capacity := available(s).CapacityFor(step.Resources, min(len(step.Indexes), step.limit(s.worker))); capacity > 0 {
			f := p.durationFactor(step, s.worker)
			candidates = append(candidates, candidate{i, capacity, f})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		x, y := &p.slots[a.slot], &p.slots[b.slot]
		return cmp.Or(
			p.compareSlots(step, a.factor, x, b.factor, y),
			cmp.Compare(a.slot, b.slot),
		)
	})
	remaining, maxFactor := len(step.Indexes), 0.0
	pl := placement{}
	racks := map[string]bool{}
	for _, c := range candidates {
		if p.slots[c.slot].empty() {
			if spare == 0 {
				continue
			}
			spare--
		}
		k := min(remaining, c.capacity)
		pl.assignments = append(pl.assignments, slotAssignment{c.slot, k})
		racks[p.slots[c.slot].worker.Rack] = true
		maxFactor = max(maxFactor, c.factor)
		if remaining -= k; remaining == 0 {
			break
		}
	}
	if remaining > 0 {
		return placement{}, false
	}
	if step.Compact && len(racks) > 1 {
		maxFactor *= p.in.RemoteFactor
	}
	pl.duration = scale(step.TaskDuration, maxFactor)
	p.measureFragmentation(step, &pl)
	return pl, true
}

// measureFragmentation counts the free hosts and racks that a placement uses and the accelerators that it leaves
// free on its hosts.
func (p *planner) measureFragmentation(step *PendingStep, pl *placement) {
	rackFree := map[string]bool{}
	for i := range p.slots {
		s := &p.slots[i]
		wasFree, seen := rackFree[s.worker.Rack]
		rackFree[s.worker.Rack] = s.empty() && (wasFree || !seen)
	}
	racks := map[string]bool{}
	for _, a := range pl.assignments {
		s := &p.slots[a.slot]
		if s.empty() {
			pl.freeHosts++
		}
		if rackFree[s.worker.Rack] && !racks[s.worker.Rack] {
			pl.freeRacks++
			racks[s.worker.Rack] = true
		}
		pl.freeAccels += s.available().Accels - int64(a.tasks)*step.Resources.Accels
	}
}
