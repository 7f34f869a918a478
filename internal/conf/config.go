package conf

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Config holds the teams and services at one revision. It is immutable: With and
// Without methods return a changed copy at the same revision. The zero value
// is an empty configuration at revision 0.
type Config struct {
	revision uint64
	teams    map[string]model.Team
	services map[string]model.Service
}

// Revision returns the revision of the configuration.
func (c Config) Revision() uint64 { return c.revision }

// Team returns the team with the given name.
func (c Config) Team(name string) (model.Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Service returns the service with the given name.
func (c Config) Service(name string) (model.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Teams returns every team, ordered by name.
func (c Config) Teams() []model.Team { return sortedValues(c.teams) }

// Services returns every service, ordered by name.
func (c Config) Services() []model.Service { return sortedValues(c.services) }

// WithRevision returns the configuration with its revision replaced.
func (c Config) WithRevision(revision uint64) Config {
	c.revision = revision
	return c
}

// WithTeam returns the configuration with the team added or replaced.
func (c Config) WithTeam(t model.Team) Config {
	c.teams = withValue(c.teams, t.Name, t)
	return c
}

// WithoutTeam returns the configuration without the team.
func (c Config) WithoutTeam(name string) Config {
	c.teams = withoutKey(c.teams, name)
	return c
}

// WithService returns the configuration with the service added or replaced.
func (c Config) WithService(s model.Service) Config {
	c.services = withValue(c.services, s.Name, s)
	return c
}

// WithoutService returns the configuration without the service.
func (c Config) WithoutService(name string) Config {
	c.services = withoutKey(c.services, name)
	return c
}

// configJSON is the JSON encoding of a Config.
type configJSON struct {
	Revision uint64          `json:"revision"`
	Teams    []model.Team    `json:"teams,omitempty"`
	Services []model.Service `json:"services,omitempty"`
}

// MarshalJSON encodes the configuration with teams and services sorted by name.
func (c Config) MarshalJSON() ([]byte, error) {
	return json.Marshal(configJSON{Revision: c.revision, Teams: c.Teams(), Services: c.Services()})
}

// UnmarshalJSON replaces the configuration with the encoded one.
func (c *Config) UnmarshalJSON(b []byte) error {
	var in configJSON
	if err := json.Unmarshal(b, &in); err != nil {
		return err
	}
	*c = newConfig(in.Revision, in.Teams, in.Services)
	return nil
}

func newConfig(revision uint64, teams []model.Team, services []model.Service) Config {
	c := Config{
		revision: revision,
		teams:    make(map[string]model.Team, len(teams)),
		services: make(map[string]model.Service, len(services)),
	}
	for _, t := range teams {
		c.teams[t.Name] = t
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// sortedValues returns the values of a map, ordered by key.
func sortedValues[T any](m map[string]T) []T {
	out := make([]T, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[key])
	}
	return out
}

// withValue returns a copy of a map with one value set.
func withValue[T any](m map[string]T, key string, v T) map[string]T {
	out := make(map[string]T, len(m)+1)
	maps.Copy(out, m)
	out[key] = v
	return out
}

// withoutKey returns a copy of a map without one key.
func withoutKey[T any](m map[string]T, key string) map[string]T {
	out := maps.Clone(m)
	delete(out, key)
	return out
}
