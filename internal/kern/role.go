// Package kern is the core of the daemon. It holds the registered roles,
// validates the settings, and gives each role its logger, metrics and clocks. It
// starts the roles, drains them and writes dumps of their state.
package kern

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/guard"
)

// Problem is one invalid field of a settings file.
type Problem struct {
	Field string `json:"field"` // path of the field, for example "roles.entry.listen"
	Value string `json:"value"` // value in the file
	Want  string `json:"want"`  // what is expected
}

// Settings holds a role's part of the settings file. It is a pointer to a struct
// with JSON tags.
type Settings interface {
	// Validate returns every problem, with field paths relative to the role.
	Validate() []Problem
}

// Role builds one of the roles that a process can run, such as entry or agent.
// It is registered in an init function, see Register.
type Role interface {
	// Name is the role's key below "roles" in the settings file.
	Name() string
	// Defaults returns the role's settings with every default filled in.
	Defaults() Settings
	// New builds the role from settings that passed Validate.
	New(env *Env, s Settings) (Runner, error)
}

// Runner is a role that was built from its settings and can be run.
type Runner interface {
	// Run serves until ctx is done and returns once everything is closed.
	Run(ctx context.Context) error
	// Drain stops accepting new work and returns once running work has finished
	// or ctx is done. Run keeps serving meanwhile.
	Drain(ctx context.Context) error
	// Dump returns the role's state as a value that can be encoded as JSON.
	Dump() any
}

// Reloader is implemented by a Runner whose settings can change at run time.
type Reloader interface {
	// Reload applies settings that passed Validate. Settings that can't change at
	// run time are ignored.
	Reload(s Settings)
}

// Clock returns the current time. Tests inject their own.
type Clock interface {
	Now() time.Time
}

// Node identifies this process, as set in its settings.
type Node struct {
	Cluster string `json:"cluster"`
	Name    string `json:"name"`
	Domain  string `json:"domain"` // failure domain
	Region  string `json:"region"`
}

// Env holds what the daemon provides to each role.
type Env struct {
	Node      Node
	Log       *zap.Logger
	Metrics   tally.Scope
	Clock     Clock // time of day
	BootClock Clock // includes the time that the host is suspended; for leases and terms
	Keys      Keys
	Guard     *guard.Budget // what clients may make the process hold; nil limits nothing
	Memory    int64         // bytes that the process may use; 0 if that isn't known
}

// Keys holds the keys from the settings as raw bytes.
type Keys struct {
	Self []byte            // this node's own key
	Role map[string][]byte // master key of each role whose nodes may connect here
}
