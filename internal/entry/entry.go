// Package entry implements the entry role, which serves callers and operators.
// It admits requests by team and urgency, queues them until a backend server has
// a free slot, and tells each caller once whether the request was answered, did
// not run or may have run.
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

// RoleName is the role's name in the settings and in connections to peers.
const RoleName = "entry"

const (
	headerTimeout     = 5 * time.Second
	readTimeout       = 30 * time.Second
	bodyCost          = 2 // a body is read and passed on
	writeTimeout      = 10 * time.Minute
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
	expireInterval    = 40 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
)

// Entry is a running instance of the entry role.
type Entry struct {
	env            *kern.Env
	cfg            *Settings
	conf           *conf.Holder
	dispatcher     *dispatcher
	poller         *poll.Poller
	recorder       *recorder
	metrics        metrics
	controlLinks   []*wire.Link
	agentServer    *wire.Server
	httpServer     *http.Server
	callerListener net.Listener // for callers and operators
	agentListener  net.Listener // for agents

	unready      atomic.Bool         // the health check fails; requests are still accepted
	draining     atomic.Bool         // requests are refused
	requestCount atomic.Int64        // number of requests in progress
	bodyBuffer   *semaphore.Weighted // limits the bytes of all request bodies
	orphans      orphanQueue

	mu       sync.Mutex
	sessions map[string]*wire.Session // by agent name
	teamKeys *teamKeys
}

// New returns an entry with its listeners open.
func New(env *kern.Env, cfg *Settings) (*Entry, error) {
	callerListener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "entry: listen for callers")
	}
	agentListener, err := net.Listen("tcp", cfg.AgentListen)
	if err != nil {
		_ = callerListener.Close()
		return nil, errors.Wrap(err, "entry: listen for agents")
	}
	e := &Entry{
		env: env, cfg: cfg, callerListener: env.Guard.Listen(limitConns(callerListener, cfg.MaxConns)), agentListener: agentListener,
		conf:       conf.NewHolder(env.Node.Cluster),
		bodyBuffer: semaphore.NewWeighted(cfg.BodyBufferBytes),
		orphans:    newOrphanQueue(),
		recorder:   newRecorder(cfg.TraceFile, env),
		sessions:   map[string]*wire.Session{},
		teamKeys:   newTeamKeys(conf.Config{}),
	}
	e.dispatcher = newDispatcher(env.Clock, admit.Options{MaxQueued: cfg.MaxQueued}.Defaults(), e.recorder)
	e.metrics = newMetrics(env.Metrics)
	id := wire.NewIdentity(env.Node, RoleName, env.Keys, uuid.NewString())
	mux := wire.NewMux(env.Log)
	mux.Handle(wire.MethodGrant, e.handleGrant)
	e.agentServer = wire.NewServer(id, mux, env.Log, e.addSession).WithHandshakes(env.Guard.Handshakes())
	emptyMux := wire.NewMux(env.Log)
	var controls []poll.Link
	for _, addr := range cfg.ControlAddrs {
		l := wire.NewLink(addr, id, emptyMux, env.Log, nil)
		e.controlLinks = append(e.controlLinks, l)
		controls = append(controls, l)
	}
	e.poller = poll.New(env.Node.Name, controls, e, env.Clock, env.Log)
	e.httpServer = &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(env.Log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
	}
	env.Guard.Serve(e.httpServer, bodyCost)
	return e, nil
}

// handler returns the HTTP handler for callers and operators.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(callPrefix, e.handleCall)
	mux.HandleFunc("GET /healthz", e.handleHealth)
	mux.Handle("/v1/", opapi.New(e.cfg.OperatorKeys, e.forwardToControl, e.env.Log))
	return mux
}

// forwardToControl forwards an operator's request to a control process.
func (e *Entry) forwardToControl(ctx context.Context, req *wire.ApiRequest) (*wire.ApiReply, error) {
	rep := &wire.ApiReply{}
	return rep, e.poller.Call(ctx, wire.MethodAPI, req, rep)
}

// handleHealth is the health check of the platform's load balancer. It fails while
// requests are or will soon be refused.
func (e *Entry) handleHealth(w http.ResponseWriter, _ *http.Request) {
	code := e.refusalCode(e.env.Clock.Now())
	if e.unready.Load() {
		code = client.CodeDraining
	}
	if code != "" {
		http.Error(w, string(code), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// addSession registers an agent's session. While an earlier session under the
// same name is open, a process with another incarnation is refused.
func (e *Entry) addSession(s *wire.Session) (func(), error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := s.Peer()
	if old := e.sessions[p.Name]; old != nil && old.Peer().Incarnation != p.Incarnation && isOpen(old) {
		return nil, errors.Newf("agent %q is already connected from %s", p.Name, old.Peer().Addr)
	}
	e.sessions[p.Name] = s
	return func() { e.removeSession(s) }, nil
}

// isOpen reports whether the session is still open.
func isOpen(s *wire.Session) bool {
	select {
	case <-s.Done():
		return false
	default:
		return true
	}
}

// removeSession removes a session, unless a newer one has replaced it.
func (e *Entry) removeSession(s *wire.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[s.Peer().Name] == s {
		delete(e.sessions, s.Peer().Name)
	}
}

// session returns the named agent's session, or nil.
func (e *Entry) session(name string) *wire.Session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sessions[name]
}

// currentKeys returns the team keys of the current configuration.
func (e *Entry) currentKeys() *teamKeys {
	cfg := e.conf.Config()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.teamKeys.revision != cfg.Revision() {
		e.teamKeys = newTeamKeys(cfg)
	}
	return e.teamKeys
}

// Run implements kern.Runner.
func (e *Entry) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range e.controlLinks {
		g.Go(func() error { return l.Run(ctx) })
	}
	g.Go(func() error { return e.poller.Run(ctx) })
	g.Go(func() error { return e.agentServer.Serve(ctx, e.agentListener) })
	g.Go(func() error { return e.expireRequests(ctx) })
	g.Go(func() error { return e.releaseOrphans(ctx) })
	g.Go(func() error { return e.updateMetrics(ctx) })
	g.Go(func() error {
		stop := context.AfterFunc(ctx, func() { _ = e.httpServer.Close() })
		defer stop()
		if err := e.httpServer.Serve(e.callerListener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "entry: serve callers")
		}
		return nil
	})
	return g.Wait()
}

// expireRequests expires queued requests until ctx is done.
func (e *Entry) expireRequests(ctx context.Context) error {
	return kern.Every(ctx, expireInterval, e.dispatcher.expire)
}

// Drain implements kern.Runner. The health check fails for some time before
// requests are refused, so that the load balancer stops sending them. Requests
// that were accepted are completed.
func (e *Entry) Drain(ctx context.Context) error {
	e.unready.Store(true)
	kern.Sleep(ctx, time.Duration(e.cfg.DrainDelayMs)*time.Millisecond)
	e.draining.Store(true)
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for e.requestCount.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "entry: %d requests still in progress", e.requestCount.Load())
		case <-t.C:
		}
	}
	return e.httpServer.Shutdown(ctx)
}

func (e *Entry) requestStarted() { e.requestCount.Add(1) }

func (e *Entry) requestEnded() { e.requestCount.Add(-1) }

func (e *Entry) countOutcome(outcome client.Outcome) { e.metrics.outcomes[outcome].Inc(1) }

// SyncRequest implements poll.Node.
func (e *Entry) SyncRequest() *wire.SyncRequest {
	now := e.env.Clock.Now()
	req := &wire.SyncRequest{Revision: e.conf.Revision(), Fresh: e.conf.Fresh(now), State: stateReady}
	if e.unready.Load() {
		req.State = "draining"
	}
	return req
}

// HandleSyncReply implements poll.Node.
func (e *Entry) HandleSyncReply(rep *wire.SyncReply, freshUntil time.Time) error {
	oldRevision := e.conf.Revision()
	if err := poll.ApplyConfig(e.conf, rep, freshUntil, e.env.Log); err != nil {
		return err
	}
	if cfg := e.conf.Config(); cfg.Revision() != oldRevision {
		e.dispatcher.applyConfig(cfg)
		e.recorder.start(e.env.Node.Cluster, cfg, e.dispatcher.totalSlots())
	}
	return nil
}

// dump is the state of the entry as written to a dump.
type dump struct {
	Revision   uint64         `json:"revision"`
	Fresh      bool           `json:"fresh"`
	FreshUntil time.Time      `json:"until"`
	Draining   bool           `json:"draining"`
	Running    int64          `json:"running"`
	Dispatch   dispatcherDump `json:"dispatch"`
	Agents     []agentDump    `json:"agents"`
}

// Dump implements kern.Runner.
func (e *Entry) Dump() any {
	return dump{
		Revision:   e.conf.Revision(),
		Fresh:      e.conf.Fresh(e.env.Clock.Now()),
		FreshUntil: e.conf.FreshUntil(),
		Draining:   e.draining.Load(),
		Running:    e.requestCount.Load(),
		Dispatch:   e.dispatcher.dump(e.conf.Config()),
		Agents:     e.dispatcher.agentList(),
	}
}
