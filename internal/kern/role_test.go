package kern_test

import (
	"context"
	"encoding/hex"
	"strings"
	"sync"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// echoSettings are the settings of the role that the tests register.
type echoSettings struct {
	Listen string   `json:"listen" help:"address to serve at" validate:"required,ipport"`
	Peers  []string `json:"peers"  help:"addresses of peers" validate:"dive,ipport"`
	Limit  int      `json:"limit"  help:"requests at once" validate:"min=1"`
	Nodes  string   `json:"nodes"  help:"address for nodes" validate:"omitempty,ipport" listen:"true"`
	Secret string   `json:"secret" help:"a key" validate:"omitempty,hexkey" secret:"true"`
}

// Validate returns every problem.
func (s *echoSettings) Validate() []kern.Problem { return kern.CheckStruct(s) }

// echoRole is a role whose runner does as a test tells it.
type echoRole struct {
	mu     sync.Mutex
	fails  error         // from New
	ends   error         // from Run, at once
	work   chan struct{} // Drain waits until it is closed
	events []string
}

func (*echoRole) Name() string { return "echo" }

func (*echoRole) Defaults() kern.Settings { return &echoSettings{Listen: "127.0.0.1:0", Limit: 8} }

func (r *echoRole) New(_ *kern.Env, _ kern.Settings) (kern.Runner, error) {
	if r.fails != nil {
		return nil, r.fails
	}
	return r, nil
}

func (r *echoRole) note(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

func (r *echoRole) seen() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.events...)
}

func (r *echoRole) Run(ctx context.Context) error {
	if r.ends != nil {
		return r.ends
	}
	r.note("run")
	<-ctx.Done()
	r.note("closed")
	return nil
}

func (r *echoRole) Drain(ctx context.Context) error {
	r.note("drain")
	if r.work == nil {
		return nil
	}
	select {
	case <-r.work:
		r.note("drained")
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *echoRole) Dump() any { return map[string]int{"requests": 3} }

var selfKey = strings.Repeat("ab", kern.MinKeyBytes)

// settings returns the text of a settings file, whole but for the given part of
// the role.
func settings(role string) string {
	return `{
  "cluster": "linen",
  "node": {"name": "n1", "domain": "a", "region": "pl"},
  "drain": {"seconds": 1},
  "keys": {"self": "` + selfKey + `"},
  "roles": {"echo": ` + role + `}
}`
}

func token() string {
	key, _ := hex.DecodeString(selfKey)
	return kern.AdminToken(key)
}
