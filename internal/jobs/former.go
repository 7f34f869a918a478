package jobs

import "fmt"

// formerTeam is a team that the configuration in force doesn't have and whose jobs are still stored.
type formerTeam struct {
	Owner string `json:"owner"` // stands in its jobs for its name, which another team may have now
	Team  Team   `json:"team"`
}

// renameTeams returns the new names, by their old ones, of the teams that jobs are stored for. It keeps the teams that
// the next configuration doesn't have, which may come back.
func (d *stateData) renameTeams(next *Config) map[string]string {
	inUse := map[string]bool{}
	for _, j := range d.Jobs {
		inUse[j.Team] = true
	}
	for team := range d.LatelyHeld {
		inUse[team] = true
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
