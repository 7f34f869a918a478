package kern_test

import (
	"context"
	"encoding/hex"
	"strings"
	"sync"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

// echoSettings holds the settings of echoRole.
type echoSettings struct {
	Listen string   `json:"listen" help:"address to serve at" validate:"required,ipport"`
	Peers  []string `json:"peers"  help:"addresses of peers" validate:"dive,ipport"`
	Limit  int      `json:"limit"  help:"requests at once" validate:"min=1"`
	Nodes  string   `json:"nodes"  help:"address for nodes" validate:"omitempty,ipport" listen:"true"`
	Secret string   `json:"secret" help:"a key" validate:"omitempty,hexkey" secret:"true"`
}

// Validate returns every problem.
func (s *echoSettings) Validate() []kern.Problem { return kern.CheckStruct(s) }

// echoRole is a role, and its own runner, whose behavior a test controls.
type echoRole struct {
	mu       sync.Mutex
	newErr   error         // returned by New
	runErr   error         // returned by Run at once
	workDone chan struct{} // Drain waits until it is closed
	events   []string
}

func (*echoRole) Name() string { return "echo" }

func (*echoRole) Defaults() kern.Settings { return &echoSettings{Listen: "127.0.0.1:0", Limit: 8} }

func (r *echoRole) New(_ *kern.Env, _ kern.Settings) (kern.Runner, error) {
	if r.newErr != nil {
		return nil, r.newErr
	}
	return r, nil
}

func (r *echoRole) record(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

func (r *echoRole) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.events...)
}

func (r *echoRole) Run(ctx context.Context) error {
	if r.runErr != nil {
		return r.runErr
	}
	r.record("run")
	<-ctx.Done()
	r.record("closed")
	return nil
}

func (r *echoRole) Drain(ctx context.Context) error {
	r.record("drain")
	if r.workDone == nil {
		return nil
	}
	select {
	case <-r.workDone:
		r.record("drained")
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *echoRole) Dump() any { return map[string]int{"requests": 3} }

var selfKey = strings.Repeat("ab", kern.MinKeyBytes)

// settingsText returns the text of a complete settings file with the given
// settings of the role.
func settingsText(roleSettings string) string {
	return `{
  "cluster": "linen",
  "node": {"name": "n1", "domain": "a", "region": "pl"},
  "drain": {"seconds": 1},
  "keys": {"self": "` + selfKey + `"},
  "roles": {"echo": ` + roleSettings + `}
}`
}

func adminToken() string {
	key, _ := hex.DecodeString(selfKey)
	return kern.AdminToken(key)
}
