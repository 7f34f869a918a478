package jobs

import (
	"fmt"
	"maps"
)

// Operators may give queues and teams other names. A queue is known by its place, at which callers reach it, and a team
// by its keys, with which they identify themselves. The state keeps the present names.

// formerTeam is a team that the configuration in force doesn't have and whose jobs are still stored.
type formerTeam struct {
	Owner string `json:"owner"` // stands in its jobs for its name, which another team may have now
	Team  Team   `json:"team"`
}

// Place returns where callers reach the queue: the HTTP host and the path prefix.
func (q Queue) Place() string { return q.Host + " " + q.PathPrefix }

// Has reports whether a job belongs to the queue.
func (q Queue) Has(j *Job) bool {
	if j.Place == "" {
		return j.Queue == q.Name
	}
	return j.Place == q.Place()
}

// queuesByPlace returns the queues of a configuration by their places.
func (c *Config) queuesByPlace() map[string]Queue {
	queues := map[string]Queue{}
	for _, q := range c.Queues {
		queues[q.Place()] = q
	}
	return queues
}

// replaceConfig puts a configuration in force and gives the stored jobs and estimates the names that it gives to their
// queues and teams. It returns the new names of queues by their old ones.
func (d *stateData) replaceConfig(next *Config) map[string]string {
	d.placeJobs()
	moved := d.Config.movedQueues(next)
	present := next.queuesByPlace()
	owners := d.renameTeams(next)
	for _, j := range d.Jobs {
		if to, ok := moved[j.Place]; ok {
			j.Place = to
		}
		if q, ok := present[j.Place]; ok {
			j.Queue, j.Service = q.Name, q.Service
		}
		if owner, ok := owners[j.Team]; ok {
			j.Team = owner
		}
	}
	renamed := d.Config.renamedQueues(present, moved)
	d.LogTaskSeconds = RenameKeys(d.LogTaskSeconds, renamed)
	d.Config = next
	return renamed
}

// placeJobs sets the places of jobs that an earlier release has stored.
func (d *stateData) placeJobs() {
	for _, j := range d.Jobs {
		if j.Place != "" {
			continue
		}
		if q, ok := d.Config.Queue(j.Queue); ok {
			j.Place = q.Place()
		}
	}
}

// movedQueues returns the new places, by their old ones, of the queues that the next configuration has under the same
// name at another place. A place that had a queue before belongs to that one.
func (c *Config) movedQueues(next *Config) map[string]string {
	before, present := c.queuesByPlace(), next.queuesByPlace()
	moved := map[string]string{}
	for place, q := range before {
		if _, stays := present[place]; stays {
			continue
		}
		for _, other := range next.Queues {
			if _, taken := before[other.Place()]; other.Name == q.Name && !taken {
				moved[place] = other.Place()
				break
			}
		}
	}
	return moved
}

// renamedQueues returns the new names, by their old ones, of the queues whose name has changed.
func (c *Config) renamedQueues(present map[string]Queue, moved map[string]string) map[string]string {
	renamed := map[string]string{}
	for _, q := range c.Queues {
		place := q.Place()
		if to, ok := moved[place]; ok {
			place = to
		}
		if now, ok := present[place]; ok && now.Name != q.Name {
			renamed[q.Name] = now.Name
		}
	}
	return renamed
}

// RenameKeys returns a copy of m in which keys have their new names. Names may be exchanged.
func RenameKeys[V any](m map[string]V, renamed map[string]string) map[string]V {
	result := maps.Clone(m)
	for old := range renamed {
		delete(result, old)
	}
	for old, name := range renamed {
		if v, ok := m[old]; ok {
			result[name] = v
		}
	}
	return result
}

// renameTeams returns the new names, by their old ones, of the teams that jobs are stored for. It keeps the teams that
// the next configuration doesn't have, which may come back.
func (d *stateData) renameTeams(next *Config) map[string]string {
	inUse := map[string]bool{}
	for _, j := range d.Jobs {
		inUse[j.Team] = true
	}
	before := d.FormerTeams
	for _, t := range d.Config.Teams {
		before = append(before[:len(before):len(before)], formerTeam{Owner: t.Name, Team: t})
	}
	d.FormerTeams = nil
	claimed := map[string]bool{} // teams that have keys of an earlier one
	for _, f := range before {
		if name, ok := next.teamWithKeysOf(f.Team); ok {
			claimed[name] = true
		}
	}
	owners := map[string]string{}
	for _, f := range before {
		if f.Owner == "" || !inUse[f.Owner] {
			continue
		}
		if name, ok := next.teamWithKeysOf(f.Team); ok {
			owners[f.Owner] = name
			continue
		}
		if next.hasTeam(f.Team.Name) && !claimed[f.Team.Name] {
			owners[f.Owner] = f.Team.Name
			continue
		}
		owner := fmt.Sprintf("%s (not in version %d)", f.Team.Name, next.Version)
		owners[f.Owner] = owner
		d.FormerTeams = append(d.FormerTeams, formerTeam{Owner: owner, Team: f.Team})
	}
	return owners
}

// teamWithKeysOf returns the name of the team that has keys of an earlier one: the one of the same name if it has any,
// otherwise the one that has most of them.
func (c *Config) teamWithKeysOf(earlier Team) (string, bool) {
	had := map[string]bool{}
	for _, k := range earlier.Keys {
		had[k] = true
	}
	best, most := "", 0
	for _, t := range c.Teams {
		shared := 0
		for _, k := range t.Keys {
			if had[k] {
				shared++
			}
		}
		if shared > 0 && t.Name == earlier.Name {
			return t.Name, true
		}
		if shared > most {
			best, most = t.Name, shared
		}
	}
	return best, most > 0
}

func (c *Config) hasTeam(name string) bool {
	for _, t := range c.Teams {
		if t.Name == name {
			return true
		}
	}
	return false
}
