package entry

import (
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// Settings are the entry's part of the settings file.
type Settings struct {
	Listen          string            `json:"listen" validate:"ipport" listen:"true" help:"IP:port for callers and operators, behind the platform's load balancer"`
	AgentListen     string            `json:"agents" validate:"ipport" listen:"true" help:"IP:port on which agents connect"`
	ControlAddrs    []string          `json:"control" validate:"min=1,unique,dive,ipport" help:"IP:port of each control process"`
	OperatorKeys    map[string]string `json:"operators" validate:"dive,hexkey" secret:"true" help:"hex key of each operator, by name"`
	MaxQueued       int               `json:"queued" validate:"min=1,max=1000000" help:"requests that one team may have queued here for one service"`
	MaxConns        int               `json:"conns" validate:"min=1,max=100000" help:"most connections of callers that may be open at once"`
	DrainDelayMs    int               `json:"leave" validate:"min=0,max=60000" help:"milliseconds for which requests are still accepted after the health check starts to fail at a planned stop, so that the load balancer can stop sending them"`
	BodyBufferBytes int64             `json:"buffer" validate:"min=1048576" help:"most bytes that the bodies of all current requests may take together"`
	TraceFile       string            `json:"record" help:"file to which a trace of all requests is written; empty for none"`
}

// Validate implements kern.Settings.
func (s *Settings) Validate() []kern.Problem {
	ps := kern.CheckStruct(s)
	if s.Listen == s.AgentListen {
		ps = append(ps, kern.Problem{Field: "agents", Value: s.AgentListen, Want: "another address than listen"})
	}
	return ps
}

// role registers the entry role.
type role struct{}

func init() { kern.Register(role{}) }

// Name implements kern.Role.
func (role) Name() string { return RoleName }

// Defaults implements kern.Role.
func (role) Defaults() kern.Settings {
	return &Settings{Listen: "127.0.0.1:7300", AgentListen: "127.0.0.1:7301", MaxQueued: 20_000, MaxConns: 20_000, DrainDelayMs: 3000, BodyBufferBytes: 512 << 20}
}

// New implements kern.Role.
func (role) New(env *kern.Env, s kern.Settings) (kern.Runner, error) {
	return New(env, s.(*Settings))
}
