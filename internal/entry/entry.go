// Package entry is the role that callers and operators reach. It admits
// requests by team and urgency, queues them until a backend server has a free
// slot, and gives each caller one true answer.
package entry

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
	"golang.org/x/sync/semaphore"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/opapi"
	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// RoleName is the role's name in settings and towards its peers.
const RoleName = "entry"

const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 10 * time.Minute
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
	expireInterval = 40 * time.Millisecond
	drainCheck     = 10 * time.Millisecond
)

// Entry is the role at work.
type Entry struct {
	env    *kern.Env
	cfg    *Settings
	conf   *conf.Holder
	disp   *dispatcher
	poller *poll.Poller
	rec    *recorder
	meters meters
	links  []*wire.Link
	server *wire.Server
	http   *http.Server
	ln     net.Listener // callers and operators
	peers  net.Listener // agents

	leaving  atomic.Bool // the health check fails
	draining atomic.Bool // requests are refused
	running  atomic.Int64
	buffer   *semaphore.Weighted // bytes of bodies
	orphans  orphans

	mu       sync.Mutex
	sessions map[string]*wire.Session
	keys     *callers
}

// New builds the role and opens its listeners.
func New(env *kern.Env, cfg *Settings) (*Entry, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "entry: listen for callers")
	}
	peers, err := net.Listen("tcp", cfg.AgentListen)
	if err != nil {
		_ = ln.Close()
		return nil, errors.Wrap(err, "entry: listen for agents")
	}
	e := &Entry{
		env: env, cfg: cfg, ln: limitConns(ln, cfg.MaxConns), peers: peers,
		conf:     conf.NewHolder(env.Node.Cluster),
		buffer:   semaphore.NewWeighted(cfg.BodyBufferBytes),
		orphans:  newOrphans(),
		rec:      newRecorder(cfg.TraceFile, env),
		sessions: map[string]*wire.Session{},
		keys:     newCallers(conf.Config{}),
	}
	e.disp = newDispatcher(env.Clock, admit.Options{MaxQueued: cfg.MaxQueued}.Defaults(), e.rec)
	e.meters = newMeters(env.Metrics)
	id := wire.NewIdentity(env.Node, RoleName, env.Keys, uuid.NewString())
	mux := wire.NewMux(env.Log)
	mux.Handle(wire.MethodGrant, e.handleGrant)
	e.server = wire.NewServer(id, mux, env.Log, e.keep)
	idle := wire.NewMux(env.Log)
	var controls []poll.Link
	for _, addr := range cfg.ControlAddrs {
		l := wire.NewLink(addr, id, idle, env.Log, nil)
		e.links = append(e.links, l)
		controls = append(controls, l)
	}
	e.poller = poll.New(env.Node.Name, controls, e, env.Clock, env.Log)
	e.http = &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(env.Log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
	}
	return e, nil
}

func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(callPrefix, e.handleCall)
	mux.HandleFunc("GET /healthz", e.handleHealth)
	mux.Handle("/v1/", opapi.New(e.cfg.OperatorKeys, e.passOn, e.env.Log))
	return mux
}

// passOn sends an operator's request to a control process.
func (e *Entry) passOn(ctx context.Context, req *wire.ApiRequest) (*wire.ApiReply, error) {
	rep := &wire.ApiReply{}
	return rep, e.poller.Call(ctx, wire.MethodAPI, req, rep)
}

// handleHealth tells the platform's balancer whether to send callers here.
func (e *Entry) handleHealth(w http.ResponseWriter, _ *http.Request) {
	code := e.closed(e.env.Clock.Now())
	if e.leaving.Load() {
		code = client.CodeDraining
	}
	if code != "" {
		http.Error(w, string(code), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// keep registers an agent's session. While the same agent's older session
// lives, a process with another incarnation is refused.
func (e *Entry) keep(s *wire.Session) (func(), error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := s.Peer()
	if old := e.sessions[p.Name]; old != nil && old.Peer().Incarnation != p.Incarnation && alive(old) {
		return nil, errors.Newf("agent %q is connected from %s", p.Name, old.Peer().Addr)
	}
	e.sessions[p.Name] = s
	return func() { e.release(s) }, nil
}

func alive(s *wire.Session) bool {
	select {
	case <-s.Done():
		return false
	default:
		return true
	}
}

func (e *Entry) release(s *wire.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[s.Peer().Name] == s {
		delete(e.sessions, s.Peer().Name)
	}
}

func (e *Entry) session(name string) *wire.Session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sessions[name]
}

// callers returns the keys of the configuration in force.
func (e *Entry) callers() *callers {
	cfg := e.conf.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.keys.revision != cfg.Revision() {
		e.keys = newCallers(cfg)
	}
	return e.keys
}

// Run implements kern.Runner.
func (e *Entry) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range e.links {
		g.Go(func() error { return l.Run(ctx) })
	}
	g.Go(func() error { return e.poller.Run(ctx) })
	g.Go(func() error { return e.server.Serve(ctx, e.peers) })
	g.Go(func() error { return e.watchDeadlines(ctx) })
	g.Go(func() error { return e.watchClaims(ctx) })
	g.Go(func() error { return e.watchMeters(ctx) })
	g.Go(func() error {
		stop := context.AfterFunc(ctx, func() { _ = e.http.Close() })
		defer stop()
		if err := e.http.Serve(e.ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "entry: callers")
		}
		return nil
	})
	return g.Wait()
}

func (e *Entry) watchDeadlines(ctx context.Context) error {
	return kern.Every(ctx, expireInterval, e.disp.expire)
}

// Drain implements kern.Runner. The health check fails first, so that the
// balancer turns away; what has arrived is served to its end.
func (e *Entry) Drain(ctx context.Context) error {
	e.leaving.Store(true)
	kern.Sleep(ctx, time.Duration(e.cfg.DrainDelayMs)*time.Millisecond)
	e.draining.Store(true)
	t := time.NewTicker(drainCheck)
	defer t.Stop()
	for e.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "entry: %d requests still run", e.running.Load())
		case <-t.C:
		}
	}
	return e.http.Shutdown(ctx)
}

func (e *Entry) began() { e.running.Add(1) }

func (e *Entry) ended() { e.running.Add(-1) }

func (e *Entry) count(out client.Outcome) { e.meters.outcomes[out].Inc(1) }

// SyncRequest implements poll.Node.
func (e *Entry) SyncRequest() *wire.SyncRequest {
	now := e.env.Clock.Now()
	req := &wire.SyncRequest{Revision: e.conf.Revision(), Fresh: e.conf.Fresh(now), State: stateReady}
	if e.leaving.Load() {
		req.State = "draining"
	}
	return req
}

// HandleSyncReply implements poll.Node.
func (e *Entry) HandleSyncReply(rep *wire.SyncReply, deadline time.Time) error {
	before := e.conf.Revision()
	if err := poll.ApplyConfig(e.conf, rep, deadline, e.env.Log); err != nil {
		return err
	}
	if cfg := e.conf.Config(); cfg.Revision() != before {
		e.disp.configure(cfg)
		e.rec.begin(e.env.Node.Cluster, cfg, e.disp.slotCount())
	}
	return nil
}

// dump is the entry's whole state.
type dump struct {
	Revision uint64         `json:"revision"`
	Fresh    bool           `json:"fresh"`
	Until    time.Time      `json:"until"`
	Draining bool           `json:"draining"`
	Running  int64          `json:"running"`
	Dispatch dispatcherDump `json:"dispatch"`
	Agents   []agentDump    `json:"agents"`
}

// Dump implements kern.Runner.
func (e *Entry) Dump() any {
	return dump{
		Revision: e.conf.Revision(),
		Fresh:    e.conf.Fresh(e.env.Clock.Now()),
		Until:    e.conf.FreshUntil(),
		Draining: e.draining.Load(),
		Running:  e.running.Load(),
		Dispatch: e.disp.dump(e.conf.Config()),
		Agents:   e.disp.agentList(),
	}
}
