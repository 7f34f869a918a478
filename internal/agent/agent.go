// Package agent implements the agent role: one process on the host of each
// backend server. It receives the backend server's announcements, divides its
// slots among the entries, decides whether each request may still start, and
// keeps the leases of the worker that it runs on.
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

// RoleName is the role's name in settings and in the handshake with peers.
const RoleName = "agent"

const (
	maxServerConns    = 60
	serverIdleTimeout = 20 * time.Second
	serverDialTimeout = 500 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
	// minDrainTime is how long a drain takes at least, so that a request that
	// an entry had already sent is still answered with "not run".
	minDrainTime      = 500 * time.Millisecond
	httpHeaderTimeout = 2 * time.Second
	maxHeaderBytes    = 16 << 10
	bodyCost          = 3 // an announcement is read and decoded
)

// Agent is a running instance of the role.
type Agent struct {
	env     *kern.Env
	cfg     *Settings
	conf    *conf.Holder
	server  *server
	grants  *grants
	usage   *teamUsage
	tasks   *taskReconciler
	metrics metrics

	transport      *http.Transport // for requests to the backend server
	probeTransport *http.Transport // for health checks
	entryLinks     []*wire.Link    // to the entries
	controlLinks   []*wire.Link    // to the control processes
	poller         *poll.Poller
	ln             net.Listener
	streamCount    atomic.Uint64  // number of grant streams opened so far
	entryWatches   errgroup.Group // goroutines that watch entries while a request runs
	lateOutcomes   chan lateOutcome
	bodies         *bodies

	mu             sync.Mutex
	sentState      serverState // state last sent to the entries
	sentServer     string      // service and ID of the backend server last sent to the entries
	drainRequested bool        // control asked this agent to drain
	stopping       bool        // the process is being stopped
}

// New returns an agent and opens its listener for announcements.
func New(env *kern.Env, cfg *Settings) (*Agent, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "agent: listen for announcements")
	}
	a := &Agent{
		env:            env,
		cfg:            cfg,
		conf:           conf.NewHolder(env.Node.Cluster),
		server:         &server{},
		grants:         newGrants(env.Clock, env.Log),
		usage:          newTeamUsage(),
		transport:      newTransport(),
		probeTransport: newTransport(),
		ln:             ln,
		metrics:        newMetrics(env.Metrics),
		sentState:      serverNone,
		lateOutcomes:   make(chan lateOutcome, maxLateOutcomes),
		bodies:         newBodies(env.Memory),
	}
	id := wire.NewIdentity(env.Node, RoleName, env.Keys, uuid.NewString())
	mux := wire.NewMux(env.Log)
	mux.Handle(wire.MethodWork, a.handleWork)
	for _, addr := range cfg.Entries {
		a.entryLinks = append(a.entryLinks, wire.NewLink(addr, id, mux, env.Log, a.serveEntry))
	}
	emptyMux := wire.NewMux(env.Log)
	var pollLinks []poll.Link
	for _, addr := range cfg.Control {
		l := wire.NewLink(addr, id, emptyMux, env.Log, nil)
		a.controlLinks = append(a.controlLinks, l)
		pollLinks = append(pollLinks, l)
	}
	a.poller = poll.New(env.Node.Name, pollLinks, a, env.Clock, env.Log)
	a.tasks = newTaskReconciler(env, cfg.Worker, newPlatform(cfg), a.poller)
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
	for _, l := range a.entryLinks {
		g.Go(func() error { return l.Run(ctx) })
	}
	for _, l := range a.controlLinks {
		g.Go(func() error { return l.Run(ctx) })
	}
	g.Go(func() error { return a.poller.Run(ctx) })
	g.Go(func() error { return a.watchHealth(ctx) })
	g.Go(func() error { return a.recordLateOutcomes(ctx) })
	g.Go(func() error { return a.sendUsage(ctx) })
	if a.cfg.Worker != "" {
		g.Go(func() error { return a.tasks.run(ctx) })
	}
	g.Go(func() error { return a.serveAnnounce(ctx) })
	err := g.Wait()
	_ = a.entryWatches.Wait()
	return err
}

func (a *Agent) serveAnnounce(ctx context.Context) error {
	srv := &http.Server{
		Handler:           a.announceHandler(),
		ReadHeaderTimeout: httpHeaderTimeout,
		ReadTimeout:       announcementTimeout,
		WriteTimeout:      announcementTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	a.env.Guard.Serve(srv, bodyCost)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(a.env.Guard.Listen(a.ln)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "agent: announcements")
	}
	return nil
}

// Drain implements kern.Runner. It tells the entries first and then waits for
// the running requests to finish.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.updateGrants()
	earliestEnd := a.env.Clock.Now().Add(minDrainTime)
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for a.server.running() > 0 || a.env.Clock.Now().Before(earliestEnd) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "agent: %d requests still run", a.server.running())
		case <-t.C:
		}
	}
	return nil
}

// announcedState returns the state to send to the entries: a ready backend
// server is reported as down while the configuration is stale.
func (a *Agent) announcedState() serverState {
	now := a.env.Clock.Now()
	st := a.server.state(now)
	if st == serverReady && !a.conf.Fresh(now) {
		return serverDown
	}
	return st
}

// updateGrants updates the grants after a change of the backend server's state,
// of the configuration or of its freshness, and sends a changed state to the
// entries. Entries learn that a server is not ready after their credits are
// revoked, and that it is ready before they get new ones.
func (a *Agent) updateGrants() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.setDraining(a.stopping || a.drainRequested)
	ann := a.server.current()
	state := a.announcedState()
	opt := route.AllocatorOptions{Slots: ann.Slots, MaxReserve: max(0, ann.Slots-2)}
	if svc, ok := a.conf.Config().Service(ann.Service); ok {
		opt.Reserve = svc.Reserve
	}
	server := ann.Service + " " + ann.ID
	if state == a.sentState && server == a.sentServer {
		a.grants.configure(opt, state == serverReady)
		return
	}
	a.sentState, a.sentServer = state, server
	a.env.Log.Info("state sent to entries changed", zap.String("state", string(state)), zap.String("server", ann.ID))
	if state != serverReady {
		a.grants.configure(opt, false)
		a.grants.broadcast(a.announceEvent())
		return
	}
	a.grants.broadcast(a.announceEvent())
	a.grants.configure(opt, true)
}

// dump is the agent's state as written by Dump.
type dump struct {
	Server     announcement `json:"server"`
	State      serverState  `json:"state"`
	Busy       int          `json:"busy"`
	Revision   uint64       `json:"revision"`
	Fresh      bool         `json:"fresh"`
	FreshUntil time.Time    `json:"until"`
	Grants     grantsDump   `json:"grants"`
	Tasks      []taskDump   `json:"tasks"`
}

// Dump implements kern.Runner.
func (a *Agent) Dump() any {
	now := a.env.Clock.Now()
	return dump{
		Server:     a.server.current(),
		State:      a.announcedState(),
		Busy:       a.server.running(),
		Revision:   a.conf.Revision(),
		Fresh:      a.conf.Fresh(now),
		FreshUntil: a.conf.FreshUntil(),
		Grants:     a.grants.dump(),
		Tasks:      a.tasks.dump(),
	}
}
