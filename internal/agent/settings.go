package agent

import (
	"net"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// Settings are the agent's part of the settings file.
type Settings struct {
	Listen   string   `json:"listen" validate:"ipport" listen:"true" help:"loopback IP:port on which the backend server beside the agent announces itself"`
	Entries  []string `json:"entries" validate:"min=1,unique,dive,ipport" help:"IP:port of each entry's listener for agents"`
	Control  []string `json:"control" validate:"min=1,unique,dive,ipport" help:"IP:port of each control process"`
	Worker   string   `json:"worker" validate:"omitempty,name" help:"name of the platform's worker that the agent runs on; empty if it keeps no leases"`
	Platform string   `json:"platform" validate:"required_with=Worker,omitempty,url" help:"URL of the platform's interface; needed with worker"`
}

// Validate implements kern.Settings.
func (s *Settings) Validate() []kern.Problem {
	ps := kern.CheckStruct(s)
	if host, _, err := net.SplitHostPort(s.Listen); err == nil && !net.ParseIP(host).IsLoopback() {
		ps = append(ps, kern.Problem{Field: "listen", Value: s.Listen, Want: "a loopback address"})
	}
	return ps
}

type role struct{}

func init() { kern.Register(role{}) }

// Name implements kern.Role.
func (role) Name() string { return RoleName }

// Defaults implements kern.Role.
func (role) Defaults() kern.Settings { return &Settings{Listen: "127.0.0.1:7310"} }

// New implements kern.Role.
func (role) New(env *kern.Env, s kern.Settings) (kern.Runner, error) {
	return New(env, s.(*Settings))
}
