// Package kern is the daemon's kernel: it holds the roles that registered
// themselves, checks the settings, and gives each role its logger, metrics and
// clock. It starts the roles, drains them and writes dumps of their state.
package kern

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Problem is one fault in a settings file.
type Problem struct {
	Field string `json:"field"` // path of the field, for example "roles.entry.listen"
	Value string `json:"value"` // what the file holds
	Want  string `json:"want"`  // what is expected
}

// Settings is a role's part of the settings file, a pointer to a struct with
// JSON tags.
type Settings interface {
	// Validate returns every problem, with field paths relative to the role.
	Validate() []Problem
}

// Role is a plug-in of the kernel. A role registers itself in an init function.
type Role interface {
	// Name is the role's key below "roles" in the settings file.
	Name() string
	// Defaults returns the role's settings with every default filled in.
	Defaults() Settings
	// New builds the role from settings that passed Validate.
	New(env *Env, s Settings) (Runner, error)
}

// Runner is a role at work.
type Runner interface {
	// Run serves until ctx is done and returns once all is closed.
	Run(ctx context.Context) error
	// Drain stops taking new work and returns once running work has finished
	// or ctx is done. Run still serves meanwhile.
	Drain(ctx context.Context) error
	// Dump returns the role's whole state as a value that encodes to JSON.
	Dump() any
}

// Reloader is a role that takes changed settings while it runs.
type Reloader interface {
	// Reload takes settings that passed Validate. What can't change at run time
	// is left as it is.
	Reload(s Settings)
}

// Clock tells the time. Tests inject their own.
type Clock interface {
	Now() time.Time
}

// Node is who this process is, from its settings.
type Node struct {
	Cluster string `json:"cluster"`
	Name    string `json:"name"`
	Domain  string `json:"domain"` // failure domain
	Region  string `json:"region"`
}

// Env is what the kernel gives to each role.
type Env struct {
	Node    Node
	Log     *zap.Logger
	Metrics tally.Scope
	Clock   Clock // time of day
	BootClock    Clock // counts the time that the host is suspended; for leases and terms
	Keys    Keys
}

// Keys are the secrets from the settings, each as raw bytes.
type Keys struct {
	Self []byte            // this node's own key
	Role map[string][]byte // master key of each role whose nodes may connect here
}
