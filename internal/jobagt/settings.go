package jobagt

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobctl"
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

	Orders           string `json:"orders" help:"how the worker takes orders; only push, calls to its address, is served"`
	RenewalTimeoutMs int64  `json:"hold" validate:"min=1000" help:"maximum time in milliseconds for which the worker continues runs without a lease renewal, as in the settings of jobctl"`
	ExpiryDelayMs    int64  `json:"thaw" validate:"min=0" help:"maximum time in milliseconds for the worker to notice that a lease has ended, as in the settings of jobctl"`
}

// leaseTerms returns the terms for the worker's lease.
func (s *Settings) leaseTerms() jobctl.LeaseTerms {
	return jobctl.LeaseTerms{
		RenewalTimeout: time.Duration(s.RenewalTimeoutMs) * time.Millisecond,
		ExpiryDelay:    time.Duration(s.ExpiryDelayMs) * time.Millisecond,
	}
}

// ordersPush is the way of giving orders in which the agent calls its worker.
const ordersPush = "push"

// Validate implements kern.Settings. It refuses a worker that fetches its orders with its heartbeats:
// such a worker would announce itself and never start anything.
func (s *Settings) Validate() []kern.Problem {
	ps := kern.CheckStruct(s)
	if s.Orders != ordersPush {
		ps = append(ps, kern.Problem{Field: "orders", Value: s.Orders, Want: "push; workers that fetch orders with their heartbeats are not served"})
	}
	return ps
}

type role struct{}

func init() { kern.Register(role{}) }

// Name implements kern.Role.
func (role) Name() string { return RoleName }

// Defaults implements kern.Role.
func (role) Defaults() kern.Settings {
	return &Settings{Listen: "127.0.0.1:7520", Worker: "127.0.0.1:7521", Port: 7500, Orders: ordersPush, RenewalTimeoutMs: 10000, ExpiryDelayMs: 300}
}

// New implements kern.Role.
func (role) New(env *kern.Env, s kern.Settings) (kern.Runner, error) {
	return New(env, s.(*Settings))
}
