package conf

// keepSteps is how many deltas a trail remembers.
const keepSteps = 1024

// step is one delta as a trail remembers it: where it ended and what it named.
type step struct {
	revision uint64
	teams    []string
	services []string
}

// trail remembers which deltas led to a configuration, so that a relay can pass
// changes on, and not only full copies. It is immutable.
type trail struct {
	floor uint64 // revision before the first step; nothing is known below it
	steps []step
}

// with returns the trail after a further delta. A full copy begins it anew.
func (t trail) with(d Delta) trail {
	if d.Full {
		return trail{floor: d.Revision}
	}
	teams, services := d.names()
	next := step{revision: d.Revision, teams: teams, services: services}
	steps := append(t.steps[:len(t.steps):len(t.steps)], next)
	if extra := len(steps) - keepSteps; extra > 0 {
		return trail{floor: steps[extra-1].revision, steps: steps[extra:]}
	}
	return trail{floor: t.floor, steps: steps}
}

// since returns what takes a process from a revision to the configuration, or a
// full copy if the trail doesn't reach back that far. A step that began before
// the revision names more than needed, which is harmless: deltas carry values.
func (t trail) since(from uint64, c Config) Delta {
	if from == 0 || from < t.floor || from > c.Revision() {
		return c.FullDelta()
	}
	var teams, services []string
	for _, s := range t.steps {
		if s.revision > from {
			teams = append(teams, s.teams...)
			services = append(services, s.services...)
		}
	}
	return c.DeltaSince(from, teams, services)
}
