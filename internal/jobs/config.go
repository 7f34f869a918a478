package jobs

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidConfig marks an invalid configuration.
var ErrInvalidConfig = errors.New("invalid configuration")

// Config is the configuration set by operators: queues, the services that run their
// tasks, and teams. It is immutable.
type Config struct {
	Version  uint64    `json:"version"`
	Queues   []Queue   `json:"queues,omitempty"`
	Services []Service `json:"services,omitempty"`
	Teams    []Team    `json:"teams,omitempty"`
	// Text is the configuration as the operator sent it; it is returned unchanged
	// when the configuration is read.
	Text []byte `json:"text,omitempty"`
}

// Queue accepts jobs from callers under a host and a path prefix.
type Queue struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`             // HTTP host, in lower case
	PathPrefix  string  `json:"prefix"`           // of the path of calls to this queue
	Service     string  `json:"service"`          // whose workers run the tasks
	TimeoutMs   int64   `json:"limit"`            // how long a caller waits for an answer
	Priority    int     `json:"priority"`         // of the jobs; lower values take precedence
	MaxAttempts int     `json:"attempts"`         // failed runs of a task after which its job fails
	SlackFactor float64 `json:"slack"`            // the objective for completing a job is this multiple of its critical path
	TargetMs    int64   `json:"target"`           // plus this time, in milliseconds
	Public      bool    `json:"public,omitempty"` // calls need no valid key
	Advice      *Advice `json:"advice,omitempty"`
}

// Advice configures the external service that advises which workers to use for the
// queue's steps. It answers with a ticket, which is valid for a limited time.
type Advice struct {
	DecisionMs  int64 `json:"decision"`  // base response time of the service
	PerWorkerMs int64 `json:"perworker"` // additional response time for each candidate worker
	ValidMs     int64 `json:"valid"`     // validity of a ticket
}

// Service is a pool of workers.
type Service struct {
	Name           string `json:"name"`
	EnforcesLimits bool   `json:"guards,omitempty"`  // workers reject tasks that exceed their resources
	Standby        bool   `json:"standby,omitempty"` // hosts are powered off until they are moved to another service
}

// Team owns jobs and has a guaranteed number of accelerators.
type Team struct {
	Name             string   `json:"name"`
	Keys             []string `json:"keys,omitempty"`
	GuaranteedAccels int64    `json:"accels,omitempty"`  // guaranteed at all times to its jobs of priority 0
	Priority         int      `json:"ranking,omitempty"` // set by the operator and only stored
}

// Validate returns an ErrInvalidConfig that names the first error. It rejects only
// configurations that are ambiguous or can't be applied; all other values are the
// operator's choice.
func (c *Config) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	routes := map[[2]string]string{}
	for _, q := range c.Queues {
		switch {
		case !services[q.Service]:
			return errors.Wrapf(ErrInvalidConfig, "queue %q: unknown service %q", q.Name, q.Service)
		case q.TimeoutMs <= 0:
			return errors.Wrapf(ErrInvalidConfig, "queue %q: timeout of %d ms, want more than 0", q.Name, q.TimeoutMs)
		}
		route := [2]string{q.Host, q.PathPrefix}
		if other, ok := routes[route]; ok {
			return errors.Wrapf(ErrInvalidConfig, "queue %q: same host and path prefix as queue %q", q.Name, other)
		}
		routes[route] = q.Name
	}
	return c.validateTeams()
}

func (c *Config) validateTeams() error {
	teamOfKey := map[string]string{}
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			if other, ok := teamOfKey[k]; ok && other != t.Name {
				return errors.Wrapf(ErrInvalidConfig, "teams %q and %q share a key", other, t.Name)
			}
			teamOfKey[k] = t.Name
		}
	}
	return nil
}

// Match returns the queue of the host with the longest prefix of the path.
func (c *Config) Match(host, path string) (Queue, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.PathPrefix) && (best < 0 || len(q.PathPrefix) > len(c.Queues[best].PathPrefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return c.Queues[best], true
}

// Queue returns the queue with the given name.
func (c *Config) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// TeamOfKey returns the name of the team that owns an API key.
func (c *Config) TeamOfKey(key string) (string, bool) {
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

// Guarantee returns the number of accelerators guaranteed to a team.
func (c *Config) Guarantee(team string) int64 {
	for _, t := range c.Teams {
		if t.Name == team {
			return t.GuaranteedAccels
		}
	}
	return 0
}
