package agent

import (
	"net"
	"strings"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// Settings are the agent's part of the settings file.
type Settings struct {
	Listen   string   `json:"listen" help:"loopback IP:port on which the backend server beside the agent announces itself"`
	Entries  []string `json:"entries" help:"IP:port of each entry's listener for agents"`
	Control  []string `json:"control" help:"IP:port of each control process"`
	Worker   string   `json:"worker" help:"name of the platform's worker that the agent runs on; empty if it keeps no leases"`
	Platform string   `json:"platform" help:"URL of the platform's interface; needed with worker"`
}

// Validate implements kern.Settings.
func (s *Settings) Validate() []kern.Problem {
	var ps []kern.Problem
	ps = kern.CheckAddr(ps, "listen", s.Listen)
	ps = kern.CheckAddrs(ps, "entries", s.Entries)
	ps = kern.CheckAddrs(ps, "control", s.Control)
	if host, _, err := net.SplitHostPort(s.Listen); err == nil && !net.ParseIP(host).IsLoopback() {
		ps = append(ps, kern.Problem{Field: "listen", Value: s.Listen, Want: "a loopback address"})
	}
	if s.Worker != "" && !strings.HasPrefix(s.Platform, "http") {
		ps = append(ps, kern.Problem{Field: "platform", Value: s.Platform, Want: "an http or https URL, since worker is set"})
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
