package jobagt

import (
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// RoleName is the role's name in settings and in the handshake with peers.
const RoleName = "jobagent"

// Settings are the role's part of the settings file.
type Settings struct {
	Listen string   `json:"listen" validate:"ipport" listen:"true" help:"IP:port at which the worker beside this process announces itself"`
	Worker string   `json:"worker" validate:"ipport" help:"IP:port at which the worker beside this process takes orders"`
	Seeds  []string `json:"seeds" validate:"min=1,dive,ipport" help:"operators' addresses of some control processes; only the hosts are used, with port"`
	Port   uint16   `json:"port" validate:"min=1" help:"port on which control processes take connections"`
}

// Validate implements kern.Settings.
func (s *Settings) Validate() []kern.Problem { return kern.CheckStruct(s) }

type role struct{}

func init() { kern.Register(role{}) }

// Name implements kern.Role.
func (role) Name() string { return RoleName }

// Defaults implements kern.Role.
func (role) Defaults() kern.Settings {
	return &Settings{Listen: "127.0.0.1:7520", Worker: "127.0.0.1:7521", Port: 7500}
}

// New implements kern.Role.
func (role) New(env *kern.Env, s kern.Settings) (kern.Runner, error) {
	return New(env, s.(*Settings))
}
