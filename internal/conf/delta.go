package conf

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Errors of a refused delta.
var (
	// ErrStale means that the delta ends at a revision below the one held.
	ErrStale = errors.New("configuration revision is lower than the one held")
	// ErrWrongCluster means that the delta is of another cluster.
	ErrWrongCluster = errors.New("configuration is of another cluster")
	// ErrGap means that the delta begins after the revision held, so that a
	// full copy or a longer delta is needed.
	ErrGap = errors.New("configuration delta begins after the revision held")
)

// Delta holds the changes between two revisions, or a full copy.
type Delta struct {
	Cluster         string          `json:"cluster,omitempty"`
	From            uint64          `json:"from,omitempty"` // revision that the changes begin at; unused in a full copy
	Revision        uint64          `json:"revision"`       // revision that the changes end at
	Full            bool            `json:"full,omitempty"` // full copy instead of changes
	Teams           []model.Team    `json:"teams,omitempty"`
	DroppedTeams    []string        `json:"droppedteams,omitempty"`
	Services        []model.Service `json:"services,omitempty"`
	DroppedServices []string        `json:"droppedservices,omitempty"`
}

// WithCluster returns the delta with its cluster set.
func (d Delta) WithCluster(cluster string) Delta {
	d.Cluster = cluster
	return d
}

// FullDelta returns a delta that is a full copy of the configuration.
func (c Config) FullDelta() Delta {
	return Delta{Revision: c.revision, Full: true, Teams: c.Teams(), Services: c.Services()}
}

// DeltaSince returns the delta that takes a configuration from an earlier revision
// to this one, given the names of the teams and services that were set or dropped
// in between. A name may be listed more than once.
func (c Config) DeltaSince(from uint64, teams, services []string) Delta {
	d := Delta{From: from, Revision: c.revision}
	d.Teams, d.DroppedTeams = splitByPresence(c.teams, teams)
	d.Services, d.DroppedServices = splitByPresence(c.services, services)
	return d
}

// splitByPresence returns the values of the names that are in values, ordered by
// name, and the names that aren't.
func splitByPresence[T any](values map[string]T, names []string) (present []T, absent []string) {
	names = slices.Sorted(slices.Values(names))
	for _, name := range slices.Compact(names) {
		if v, ok := values[name]; ok {
			present = append(present, v)
			continue
		}
		absent = append(absent, name)
	}
	return present, absent
}

// changedNames returns the names of the teams and services that the delta sets or
// drops.
func (d Delta) changedNames() (teams, services []string) {
	for _, t := range d.Teams {
		teams = append(teams, t.Name)
	}
	for _, s := range d.Services {
		services = append(services, s.Name)
	}
	return append(teams, d.DroppedTeams...), append(services, d.DroppedServices...)
}

// Apply returns the configuration with the delta applied. The delta may begin
// below the configuration's revision, since it carries values and not
// differences. It is refused if it ends below that revision (ErrStale) or begins
// above it (ErrGap).
func (c Config) Apply(d Delta) (Config, error) {
	if d.Revision < c.revision {
		return c, errors.Wrapf(ErrStale, "delta to revision %d, held %d", d.Revision, c.revision)
	}
	if d.Full {
		return newConfig(d.Revision, d.Teams, d.Services), nil
	}
	if d.From > c.revision {
		return c, errors.Wrapf(ErrGap, "delta from revision %d, held %d", d.From, c.revision)
	}
	return c.merge(d), nil
}

// merge returns the configuration with the delta's changes.
func (c Config) merge(d Delta) Config {
	out := Config{revision: d.Revision, teams: maps.Clone(c.teams), services: maps.Clone(c.services)}
	if out.teams == nil {
		out.teams = map[string]model.Team{}
	}
	if out.services == nil {
		out.services = map[string]model.Service{}
	}
	for _, t := range d.Teams {
		out.teams[t.Name] = t
	}
	for _, name := range d.DroppedTeams {
		delete(out.teams, name)
	}
	for _, s := range d.Services {
		out.services[s.Name] = s
	}
	for _, name := range d.DroppedServices {
		delete(out.services, name)
	}
	return out
}
