package conf

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Errors with which a delta is refused.
var (
	// ErrStale says that the delta ends at a revision below the one held.
	ErrStale = errors.New("configuration revision is lower than the one held")
	// ErrWrongCluster says that the delta is of another cluster.
	ErrWrongCluster = errors.New("configuration is of another cluster")
	// ErrGap says that the delta begins after the revision held, so that a
	// full copy or a longer delta is needed.
	ErrGap = errors.New("configuration delta begins after the revision held")
)

// Delta is what changed between two revisions, or a full copy.
type Delta struct {
	Cluster         string          `json:"cluster,omitempty"`
	From            uint64          `json:"from,omitempty"` // revision that it begins at; unused in a full copy
	Revision        uint64          `json:"revision"`       // revision that it ends at
	Full            bool            `json:"full,omitempty"` // holds everything, not changes
	Teams           []model.Team    `json:"teams,omitempty"`
	DroppedTeams    []string        `json:"droppedteams,omitempty"`
	Services        []model.Service `json:"services,omitempty"`
	DroppedServices []string        `json:"droppedservices,omitempty"`
}

// WithCluster returns the delta marked as being of a cluster.
func (d Delta) WithCluster(cluster string) Delta {
	d.Cluster = cluster
	return d
}

// FullDelta returns the whole configuration as a delta.
func (c Config) FullDelta() Delta {
	return Delta{Revision: c.revision, Full: true, Teams: c.Teams(), Services: c.Services()}
}

// DeltaSince returns the delta that takes a configuration from an earlier revision
// to this one, given the names of what was set or dropped in between. Names may
// stand in the lists more than once.
func (c Config) DeltaSince(from uint64, teams, services []string) Delta {
	d := Delta{From: from, Revision: c.revision}
	d.Teams, d.DroppedTeams = split(c.teams, teams)
	d.Services, d.DroppedServices = split(c.services, services)
	return d
}

// split returns the present values of the names, in order, and the names that
// have none.
func split[T any](held map[string]T, names []string) (present []T, dropped []string) {
	names = slices.Sorted(slices.Values(names))
	for _, name := range slices.Compact(names) {
		if v, ok := held[name]; ok {
			present = append(present, v)
			continue
		}
		dropped = append(dropped, name)
	}
	return present, dropped
}

// names returns the teams and services that the delta sets or drops.
func (d Delta) names() (teams, services []string) {
	for _, t := range d.Teams {
		teams = append(teams, t.Name)
	}
	for _, s := range d.Services {
		services = append(services, s.Name)
	}
	return append(teams, d.DroppedTeams...), append(services, d.DroppedServices...)
}

// Apply returns the configuration at the delta's end. A delta that begins
// below the configuration's revision applies too, since it carries values and
// not differences; one that ends below it is refused.
func (c Config) Apply(d Delta) (Config, error) {
	if d.Revision < c.revision {
		return c, errors.Wrapf(ErrStale, "delta to revision %d, held %d", d.Revision, c.revision)
	}
	if d.Full {
		return fromLists(d.Revision, d.Teams, d.Services), nil
	}
	if d.From > c.revision {
		return c, errors.Wrapf(ErrGap, "delta from revision %d, held %d", d.From, c.revision)
	}
	return c.merge(d), nil
}

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
