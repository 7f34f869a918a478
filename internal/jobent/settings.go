package jobent

import (
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// RoleName is the role's name in the settings and in connections to peers.
const RoleName = "jobentry"

// Settings are the jobentry role's part of the settings file.
type Settings struct {
	Listen       string   `json:"listen" validate:"ipport" listen:"true" help:"IP:port for callers"`
	ReadyListen  string   `json:"ready" validate:"ipport" listen:"true" help:"IP:port for the platform's readiness check"`
	Seeds        []string `json:"seeds" validate:"min=1,dive,ipport" help:"operators' addresses of some control processes; only their hosts are used, with the port setting"`
	ControlPort  uint16   `json:"port" validate:"min=1" help:"port on which control processes accept connections"`
	MaxBodyBytes int64    `json:"body" validate:"min=1024,max=8388608" help:"largest request body in bytes"`
	DrainDelayMs int64    `json:"leave" validate:"min=0" help:"milliseconds for which a stopping process still accepts calls, so that the platform can notice that it isn't ready"`
}

// Validate implements kern.Settings.
func (s *Settings) Validate() []kern.Problem { return kern.CheckStruct(s) }

// role registers the jobentry role.
type role struct{}

func init() { kern.Register(role{}) }

// Name implements kern.Role.
func (role) Name() string { return RoleName }

// Defaults implements kern.Role.
func (role) Defaults() kern.Settings {
	return &Settings{Listen: "127.0.0.1:7510", ReadyListen: "127.0.0.1:7511", ControlPort: 7500, MaxBodyBytes: 256 << 10, DrainDelayMs: 2500}
}

// New implements kern.Role.
func (role) New(env *kern.Env, s kern.Settings) (kern.Runner, error) {
	return New(env, s.(*Settings))
}
