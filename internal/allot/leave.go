package allot

import "time"

const (
	// shutdownMargin is by how much a run must be expected to outlast its worker before it is stopped, since
	// workers shut down a little later than announced.
	shutdownMargin = 300 * time.Millisecond
	// saveTime is how long before the shutdown of its worker a run is stopped at the latest: the order, the stop,
	// in which the run writes its checkpoint, and the report of its end take up to a second.
	saveTime = 1500 * time.Millisecond
)

// stopOnLeavingWorkers stops the runs that can't end before their worker shuts down, gangs whole. Runs without
// checkpoints restart sooner than if they ran until the shutdown, and less of their work is lost. Those with
// checkpoints move if there is room for them on other workers; otherwise they go on as long as there is time to save
// what they have done, and so do long-running tasks.
func (p *planner) stopOnLeavingWorkers() {
	var room []Resources // free on each slot for runs that move; nil until it is needed
	for i := range p.slots {
		w := p.slots[i].worker
		if w.ShutdownAt.IsZero() {
			continue
		}
		left := w.ShutdownAt.Sub(p.in.Now)
		for _, v := range p.slots[i].victims {
			if v.group.stopped || !v.LongRunning && v.Remaining <= left+shutdownMargin {
				continue
			}
			if room == nil {
				room = p.roomForMoves()
			}
			fits := p.moveGroup(room, v.group)
			mayGoOn := v.LongRunning || v.Checkpoints
			if mayGoOn && left > saveTime && (v.LongRunning || !fits) || v.LongRunning && !fits {
				continue
			}
			p.stopRuns(ForShutdown, []victim{v})
		}
	}
}

// roomForMoves returns what is free on each slot once stopping runs have ended, nothing on workers that take no tasks.
func (p *planner) roomForMoves() []Resources {
	room := make([]Resources, len(p.slots))
	for i := range p.slots {
		if s := &p.slots[i]; s.worker.schedulable() {
			room[i] = s.freeSoon
		}
	}
	return room
}

// moveGroup reports whether all runs of a group fit on workers that stay, beside what they free there, and takes up that
// room if so. All runs of a group need the same resources.
func (p *planner) moveGroup(room []Resources, g *runGroup) bool {
	service, resources := p.slots[g.slots[0]].worker.Service, g.runs[0].Resources
	released := map[int]int{}
	for _, i := range g.slots {
		if p.slots[i].worker.schedulable() {
			released[i]++
		}
	}
	remaining := len(g.runs)
	taken := map[int]int{}
	for i := range p.slots {
		if w := p.slots[i].worker; remaining == 0 || !w.schedulable() || w.Service != service {
			continue
		}
		taken[i] = room[i].Plus(resources.Times(released[i])).CapacityFor(resources, remaining)
		remaining -= taken[i]
	}
	if remaining > 0 {
		return false
	}
	for i, n := range taken {
		room[i] = room[i].Plus(resources.Times(released[i])).Minus(resources.Times(n))
	}
	return true
}
