// Package agent is the role of the process beside each backend server. It
// takes the backend server's announcement, shares its slots among the entries,
// makes the last check before work starts, and keeps the leases of the worker
// that it runs on.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/platf"
	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/internal/route"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// RoleName is the role's name in settings and towards its peers.
const RoleName = "agent"

const (
	maxServerConns    = 60
	serverIdleTimeout = 20 * time.Second
	serverDialTimeout = 500 * time.Millisecond
	drainCheck        = 10 * time.Millisecond
	// drainLinger is how long the agent still answers after a drain, so that a
	// request that was on its way gets its "not run".
	drainLinger       = 500 * time.Millisecond
	httpHeaderTimeout = 2 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Agent is the role at work.
type Agent struct {
	env    *kern.Env
	cfg    *Settings
	conf   *conf.Holder
	server *server
	grants *grants
	shares *shares
	tasks  *tasks
	meters meters

	transport *http.Transport // requests to the backend server
	probes    *http.Transport // health checks
	links     []*wire.Link    // to entries
	controls  []*wire.Link
	poller    *poll.Poller
	ln        net.Listener
	streams   atomic.Uint64
	group     errgroup.Group
	late      chan late

	mu       sync.Mutex
	offer    serverState // last announced to entries
	offerID  string
	asked    bool // control asked this agent to drain
	stopping bool // the process is being stopped
}

// New builds the role and opens its listener.
func New(env *kern.Env, cfg *Settings) (*Agent, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "agent: listen for announcements")
	}
	a := &Agent{
		env:       env,
		cfg:       cfg,
		conf:      conf.NewHolder(env.Node.Cluster),
		server:    &server{},
		grants:    newGrants(env.Clock, env.Log),
		shares:    newShares(),
		transport: newTransport(),
		probes:    newTransport(),
		ln:        ln,
		meters:    newMeters(env.Metrics),
		offer:     serverNone,
		late:      make(chan late, maxLate),
	}
	id := wire.NewIdentity(env.Node, RoleName, env.Keys, uuid.NewString())
	mux := wire.NewMux(env.Log)
	mux.Handle(wire.MethodWork, a.handleWork)
	for _, addr := range cfg.Entries {
		a.links = append(a.links, wire.NewLink(addr, id, mux, env.Log, a.serveEntry))
	}
	idle := wire.NewMux(env.Log)
	var controls []poll.Link
	for _, addr := range cfg.Control {
		l := wire.NewLink(addr, id, idle, env.Log, nil)
		a.controls = append(a.controls, l)
		controls = append(controls, l)
	}
	a.poller = poll.New(env.Node.Name, controls, a, env.Clock, env.Log)
	a.tasks = newTasks(env, cfg.Worker, newPlatform(cfg), a.poller)
	return a, nil
}

func newPlatform(cfg *Settings) platform {
	return platf.New(cfg.Platform, &http.Client{Transport: newTransport()})
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: serverDialTimeout}).DialContext,
		MaxConnsPerHost:     maxServerConns,
		MaxIdleConnsPerHost: maxServerConns,
		IdleConnTimeout:     serverIdleTimeout,
		DisableCompression:  true,
	}
}

// Run implements kern.Runner.
func (a *Agent) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range a.links {
		g.Go(func() error { return l.Run(ctx) })
	}
	for _, l := range a.controls {
		g.Go(func() error { return l.Run(ctx) })
	}
	g.Go(func() error { return a.poller.Run(ctx) })
	g.Go(func() error { return a.watchHealth(ctx) })
	g.Go(func() error { return a.watchLate(ctx) })
	g.Go(func() error { return a.tellShares(ctx) })
	if a.cfg.Worker != "" {
		g.Go(func() error { return a.tasks.run(ctx) })
	}
	g.Go(func() error { return a.serveAnnounce(ctx) })
	err := g.Wait()
	_ = a.group.Wait()
	return err
}

func (a *Agent) serveAnnounce(ctx context.Context) error {
	srv := &http.Server{
		Handler:           a.announceHandler(),
		ReadHeaderTimeout: httpHeaderTimeout,
		ReadTimeout:       announceTimeout,
		WriteTimeout:      announceTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(a.ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "agent: announcements")
	}
	return nil
}

// Drain implements kern.Runner. Entries are told first; what runs finishes.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.changed()
	until := a.env.Clock.Now().Add(drainLinger)
	t := time.NewTicker(drainCheck)
	defer t.Stop()
	for a.server.running() > 0 || a.env.Clock.Now().Before(until) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "agent: %d requests still run", a.server.running())
		case <-t.C:
		}
	}
	return nil
}

// offered returns the state that entries are told.
func (a *Agent) offered() serverState {
	now := a.env.Clock.Now()
	st := a.server.state(now)
	if st == serverReady && !a.conf.Fresh(now) {
		return serverDown
	}
	return st
}

// changed brings the grants in line with the backend server's state, the
// configuration and its freshness, and tells the entries of a new state.
func (a *Agent) changed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.drain(a.stopping || a.asked)
	ann := a.server.current()
	offer := a.offered()
	opt := route.AllocatorOptions{Slots: ann.Slots, MaxReserve: max(0, ann.Slots-2)}
	if svc, ok := a.conf.Config().Service(ann.Service); ok {
		opt.Reserve = svc.Reserve
	}
	id := ann.Service + " " + ann.ID
	if offer == a.offer && id == a.offerID {
		a.grants.configure(opt, offer == serverReady)
		return
	}
	a.offer, a.offerID = offer, id
	a.env.Log.Info("offer to entries changed", zap.String("state", string(offer)), zap.String("server", ann.ID))
	if offer != serverReady {
		a.grants.configure(opt, false)
		a.grants.broadcast(a.announceEvent())
		return
	}
	a.grants.broadcast(a.announceEvent())
	a.grants.configure(opt, true)
}

// dump is the agent's whole state.
type dump struct {
	Server   announcement `json:"server"`
	State    serverState  `json:"state"`
	Busy     int          `json:"busy"`
	Revision uint64       `json:"revision"`
	Fresh    bool         `json:"fresh"`
	FreshUntil    time.Time    `json:"until"`
	Grants   grantsDump   `json:"grants"`
	Tasks    []taskDump   `json:"tasks"`
}

// Dump implements kern.Runner.
func (a *Agent) Dump() any {
	now := a.env.Clock.Now()
	return dump{
		Server:   a.server.current(),
		State:    a.offered(),
		Busy:     a.server.running(),
		Revision: a.conf.Revision(),
		Fresh:    a.conf.Fresh(now),
		FreshUntil:    a.conf.FreshUntil(),
		Grants:   a.grants.dump(),
		Tasks:    a.tasks.dump(),
	}
}
