package conf

// keepSteps is the maximum number of deltas in a trail.
const keepSteps = 1024

// step holds the revision at which a delta ended and the names of the teams and
// services that it set or dropped.
type step struct {
	revision uint64
	teams    []string
	services []string
}

// trail holds the latest deltas that led to a configuration, so that a relay can
// send changes instead of full copies. It is immutable.
type trail struct {
	floor uint64 // revision before the first step; changes up to it are unknown
	steps []step
}

// with returns the trail with a delta added. A full copy empties it.
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

// since returns the delta from a revision to the configuration, or a full copy if
// the trail doesn't reach back that far. A step that began before the revision
// adds more names than needed, which is harmless, since deltas carry values.
func (t trail) since(from uint64, c Config) Delta {
	if from == 0 || from < t.floor || from > c.Revision() {
		return c.Full()
	}
	var teams, services []string
	for _, s := range t.steps {
		if s.revision > from {
			teams = append(teams, s.teams...)
			services = append(services, s.services...)
		}
	}
	return c.Since(from, teams, services)
}
