package contrl

import (
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// Settings are the control role's part of the settings file.
type Settings struct {
	Listen    string            `json:"listen" validate:"ipport" listen:"true" help:"IP:port on which entries, agents and other control processes connect"`
	API       string            `json:"api" validate:"omitempty,ipport" listen:"true" help:"IP:port for operators when no entry can be reached; empty for none"`
	Data      string            `json:"data" validate:"required" help:"folder for the replicated log; the only place that the process writes to"`
	Peers     map[string]string `json:"peers" validate:"min=1,dive,keys,name,endkeys,ipport" help:"listen address of each control process, this one included, by node name"`
	Voters    []string          `json:"voters" validate:"min=1,unique,dive,name" help:"names of the control processes that form the cluster when it first starts"`
	Platform  string            `json:"platform" validate:"omitempty,url" help:"URL of the platform's interface; empty if no jobs are run"`
	Operators map[string]string `json:"operators" validate:"dive,hexkey" secret:"true" help:"hex key of each operator, by name; used with api"`
}

// Validate implements kern.Settings.
func (s *Settings) Validate() []kern.Problem {
	ps := kern.CheckStruct(s)
	addrs := map[string]string{}
	for name, addr := range s.Peers {
		if other, ok := addrs[addr]; ok {
			ps = append(ps, kern.Problem{Field: "peers." + name, Value: addr, Want: "an address that " + other + " doesn't have"})
		}
		addrs[addr] = name
	}
	for _, name := range s.Voters {
		if _, ok := s.Peers[name]; !ok {
			ps = append(ps, kern.Problem{Field: "voters", Value: name, Want: "a name that is in peers"})
		}
	}
	if s.API != "" && s.API == s.Listen {
		ps = append(ps, kern.Problem{Field: "api", Value: s.API, Want: "another address than listen"})
	}
	return ps
}

type role struct{}

func init() { kern.Register(role{}) }

// Name implements kern.Role.
func (role) Name() string { return RoleName }

// Defaults implements kern.Role.
func (role) Defaults() kern.Settings {
	return &Settings{Listen: "127.0.0.1:7320", Data: "data"}
}

// New implements kern.Role.
func (role) New(env *kern.Env, s kern.Settings) (kern.Runner, error) {
	return New(env, s.(*Settings))
}
