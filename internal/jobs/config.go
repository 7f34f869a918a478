package jobs

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrConfig marks a configuration that can't be in force.
var ErrConfig = errors.New("invalid configuration")

// Config is what operators set: queues, the services that run their tasks, and
// teams. It is never changed in place.
type Config struct {
	Version  uint64    `json:"version"`
	Queues   []Queue   `json:"queues,omitempty"`
	Services []Service `json:"services,omitempty"`
	Teams    []Team    `json:"teams,omitempty"`
	// Text is the configuration as the operator sent it, for reading back.
	Text []byte `json:"text,omitempty"`
}

// Queue is where callers hand jobs in.
type Queue struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`    // HTTP host, in lower case
	Prefix   string  `json:"prefix"`  // path that calls for this queue begin with
	Service  string  `json:"service"` // whose workers run the tasks
	LimitMs  int64   `json:"limit"`   // longest that a caller waits for an answer
	Priority int     `json:"priority"`
	Attempts int     `json:"attempts"` // failed runs of a task after which its job has failed
	Slack    float64 `json:"slack"`    // the objective is this many times the longest chain of work,
	TargetMs int64   `json:"target"`   // and this much more
	Public   bool    `json:"public,omitempty"`
	Advice   *Advice `json:"advice,omitempty"`
}

// Advice says that workers for the queue's steps have to be asked for.
type Advice struct {
	DecisionMs  int64 `json:"decision"`  // time that the service takes for an answer,
	PerWorkerMs int64 `json:"perworker"` // and for each worker asked about
	ValidMs     int64 `json:"valid"`     // how long a ticket may be used
}

// Service is a set of workers.
type Service struct {
	Name    string `json:"name"`
	Guards  bool   `json:"guards,omitempty"`  // workers refuse what doesn't fit
	Standby bool   `json:"standby,omitempty"` // hosts are off until they are moved elsewhere
}

// Team is who jobs are run for.
type Team struct {
	Name    string   `json:"name"`
	Keys    []string `json:"keys,omitempty"`
	Accels  int64    `json:"accels,omitempty"` // guaranteed to its jobs of priority 0, at all times
	Ranking int      `json:"ranking,omitempty"`
}

// Validate returns an ErrConfig that names the first fault. It refuses only what
// could not be carried out unambiguously; any other figure is the operator's.
func (c *Config) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	places := map[[2]string]string{}
	for _, q := range c.Queues {
		switch {
		case !services[q.Service]:
			return errors.Wrapf(ErrConfig, "queue %q: unknown service %q", q.Name, q.Service)
		case q.LimitMs <= 0:
			return errors.Wrapf(ErrConfig, "queue %q: time limit of %d ms", q.Name, q.LimitMs)
		}
		at := [2]string{q.Host, q.Prefix}
		if other, ok := places[at]; ok {
			return errors.Wrapf(ErrConfig, "queue %q: same host and prefix as %q", q.Name, other)
		}
		places[at] = q.Name
	}
	return c.validateTeams()
}

func (c *Config) validateTeams() error {
	owner := map[string]string{}
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			if other, ok := owner[k]; ok && other != t.Name {
				return errors.Wrapf(ErrConfig, "teams %q and %q share a key", other, t.Name)
			}
			owner[k] = t.Name
		}
	}
	return nil
}

// Match returns the queue with the longest prefix of a path on a host.
func (c *Config) Match(host, path string) (Queue, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return c.Queues[best], true
}

// Queue returns the queue of a name.
func (c *Config) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Service returns the service of a name.
func (c *Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Owner returns the name of the team that a key belongs to.
func (c *Config) Owner(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			if k == key {
				return t.Name, true
			}
		}
	}
	return "", false
}

// Guarantee returns how many accelerators belong to a team.
func (c *Config) Guarantee(team string) int64 {
	for _, t := range c.Teams {
		if t.Name == team {
			return t.Accels
		}
	}
	return 0
}
