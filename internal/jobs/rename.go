package jobs

import "maps"

// Operators may give queues and teams other names. A queue is known by its place, at which callers reach it, and a team
// by its keys, with which they identify themselves. The state keeps the present names.

// Place returns where callers reach the queue: the HTTP host and the path prefix.
func (q Queue) Place() string { return q.Host + " " + q.PathPrefix }

// Has reports whether a job belongs to the queue. Jobs of earlier releases may have no place.
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
	d.renameUse(owners)
	d.countStored()
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
