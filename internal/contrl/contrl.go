// Package contrl implements the control role, which keeps the system's shared
// state: the replicated log of configuration, jobs, leases and claims, the
// scheduler that acts on it, and the answers to the heartbeats of entries and
// agents.
package contrl

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/opapi"
	"github.com/knapweedlug/knapweedlug/internal/peers"
	"github.com/knapweedlug/knapweedlug/internal/platf"
	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// RoleName is the role's name in settings and in connections to peers.
const RoleName = "control"

const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	bodyCost       = 4 // an intent is read, decoded and encoded
	writeTimeout   = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// handoverTimeout bounds the wait for a new leader before a planned stop. A
	// replica that resigned is a candidate again after three election timeouts,
	// 1.8 s.
	handoverTimeout = 2 * time.Second
	// quorumTimeout bounds the wait for a quorum of the other processes before a
	// planned stop. It leaves half of the default drain time, 20 s, for the rest of
	// the drain.
	quorumTimeout     = 10 * time.Second
	drainPollInterval = 10 * time.Millisecond
	// minFaultTolerantVoters is the lowest number of voters that have a quorum
	// without one of them.
	minFaultTolerantVoters = 3
)

// Control is a running control process.
type Control struct {
	env       *kern.Env
	cfg       *Settings
	name      string
	state     *state.State
	node      *replog.Node
	store     *store.Store
	machine   *stateMachine
	links     map[string]*wire.Link // to the other control processes, by name
	transport *peers.Transport
	nodes     *nodeRegistry
	metrics   metrics
	platform  *platf.Client // nil if no platform is configured

	server      *wire.Server
	listener    net.Listener
	apiListener net.Listener // nil if no api address is configured

	mu         sync.Mutex
	freshUntil time.Time // time until which the applied state may be served
	leader     *leader   // nil unless this process is the leader
}

// New opens the data folder and the listeners.
func New(env *kern.Env, cfg *Settings) (*Control, error) {
	dir, err := store.Dir(cfg.Data)
	if err != nil {
		return nil, fmt.Errorf("control: %w: %w", kern.ErrData, err)
	}
	st, err := store.Open(dir, store.Options{Cluster: env.Node.Cluster, Name: env.Node.Name, Incarnation: uuid.NewString()})
	if err != nil {
		return nil, fmt.Errorf("control: %w: %w", kern.ErrData, err)
	}
	c := &Control{
		env: env, cfg: cfg, name: env.Node.Name, store: st,
		state: state.New(), links: map[string]*wire.Link{}, nodes: newNodeRegistry(env.Clock),
		metrics: newMetrics(env.Metrics),
	}
	if cfg.Platform != "" {
		c.platform = platf.New(cfg.Platform, &http.Client{})
	}
	id := wire.NewIdentity(env.Node, RoleName, env.Keys, uuid.NewString())
	c.transport = peers.New(env.Log)
	mux := c.newMux()
	for name, addr := range cfg.Peers {
		if name != c.name {
			c.links[name] = wire.NewLink(addr, id, mux, env.Log, nil)
			c.transport.Add(name, c.links[name])
		}
	}
	c.machine = newStateMachine(c.state)
	c.node, err = replog.New(c.logOptions(), st, c.machine, c.transport, env.Log)
	if err != nil {
		_ = st.Close()
		return nil, errors.Wrap(err, "control: replicated log")
	}
	c.server = wire.NewServer(id, mux, env.Log, nil).WithHandshakes(env.Guard.Handshakes())
	return c, c.listen()
}

func (c *Control) logOptions() replog.Options {
	opt := replog.Options{Name: c.name, Cluster: c.env.Node.Cluster, Seed: electionSeed(c.name)}
	for _, name := range c.cfg.Voters {
		opt.Voters = append(opt.Voters, replog.Peer{Name: name})
	}
	return opt
}

func (c *Control) listen() error {
	var err error
	if c.listener, err = net.Listen("tcp", c.cfg.Listen); err != nil {
		return errors.Wrap(err, "control: listen")
	}
	if c.cfg.API == "" {
		return nil
	}
	if c.apiListener, err = net.Listen("tcp", c.cfg.API); err != nil {
		return errors.Wrap(err, "control: listen for operators")
	}
	return nil
}

func (c *Control) newMux() *wire.Mux {
	mux := wire.NewMux(c.env.Log)
	mux.Handle(wire.MethodLog, c.transport.Handler(RoleName, func(m *wire.LogMessage) { c.node.Step(m) }))
	const entry, agent = "entry", "agent"
	wire.HandleCall(mux, wire.MethodSync, allowRoles(c.handleSync, entry, agent))
	wire.HandleCall(mux, wire.MethodRead, allowRoles(c.handleRead))
	wire.HandleCall(mux, wire.MethodReport, allowRoles(onLeader(c, wire.MethodReport, c.handleReport), agent))
	wire.HandleCall(mux, wire.MethodClaim, allowRoles(onLeader(c, wire.MethodClaim, c.handleClaim), entry))
	wire.HandleCall(mux, wire.MethodSettle, allowRoles(onLeader(c, wire.MethodSettle, c.handleSettle), entry, agent))
	wire.HandleCall(mux, wire.MethodAPI, allowRoles(onLeader(c, wire.MethodAPI, c.handleAPI), entry))
	return mux
}

// allowRoles wraps a handler so that it accepts calls of the given roles only, and
// calls that another control process has accepted and forwards.
func allowRoles[Req, Resp any](f func(context.Context, wire.Peer, Req) (Resp, error), roles ...string) func(context.Context, wire.Peer, Req) (Resp, error) {
	return func(ctx context.Context, peer wire.Peer, req Req) (Resp, error) {
		if peer.Role == RoleName || slices.Contains(roles, peer.Role) {
			return f(ctx, peer, req)
		}
		var zero Resp
		return zero, &wire.RemoteError{Code: wire.CodeRefused, Text: "role " + peer.Role + " may not call this"}
	}
}

// Run implements kern.Runner.
func (c *Control) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.transport.Run(ctx) })
	g.Go(func() error { return c.node.Run(ctx) })
	g.Go(func() error { return c.server.Serve(ctx, c.listener) })
	g.Go(func() error { return c.freshnessLoop(ctx) })
	g.Go(func() error { return c.leaderLoop(ctx) })
	g.Go(func() error { return c.metricsLoop(ctx) })
	g.Go(func() error { return c.machine.awaitHalt(ctx) })
	if c.apiListener != nil {
		g.Go(func() error { return c.serveOperatorAPI(ctx) })
	}
	err := g.Wait()
	return errors.CombineErrors(err, c.store.Close())
}

func (c *Control) serveOperatorAPI(ctx context.Context) error {
	srv := &http.Server{
		Handler:           opapi.New(c.cfg.Operators, c.forwardAPI, c.env.Log),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	c.env.Guard.Serve(srv, bodyCost)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(c.env.Guard.Listen(c.apiListener)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "control: operators")
	}
	return nil
}

// forwardAPI handles an operator's request, here or on the leader.
func (c *Control) forwardAPI(ctx context.Context, req *wire.ApiRequest) (*wire.ApiReply, error) {
	return onLeader(c, wire.MethodAPI, c.handleAPI)(ctx, wire.Peer{}, req)
}

// Drain implements kern.Runner. It waits until the other control processes are a
// quorum without this one, since one that was just restarted may not be back
// yet. Then a leader resigns and keeps serving until a new one is elected, so
// that the messages of the election are sent and calls are forwarded. Proposals
// that wait for commit are not waited for: they take little time.
func (c *Control) Drain(ctx context.Context) error {
	c.awaitOtherQuorum(ctx)
	if c.node.Status().Role != replog.Leader {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	c.node.Resign()
	for c.node.Status().Leader == "" && kern.Sleep(ctx, drainPollInterval) {
		continue
	}
	c.env.Log.Info("leadership handed over", zap.String("leader", c.node.Status().Leader))
	return nil
}

// awaitOtherQuorum returns once a quorum does not need this process, or after
// quorumTimeout.
func (c *Control) awaitOtherQuorum(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quorumTimeout)
	defer cancel()
	for c.neededForQuorum() {
		if !kern.Sleep(ctx, drainPollInterval) {
			c.env.Log.Warn("stopping although the other reachable control processes are no quorum")
			return
		}
	}
}

// neededForQuorum reports whether the reachable voters are a quorum with this
// process but not without it. It is false if the cluster has too few voters to do
// without any of them.
func (c *Control) neededForQuorum() bool {
	st := c.node.Status()
	others := 0
	for _, v := range st.Voters {
		if link, ok := c.links[v.Name]; ok {
			if _, err := link.Session(); err == nil {
				others++
			}
		}
	}
	return len(st.Voters) >= minFaultTolerantVoters && others == st.Quorum()-1
}

// dump is the role's state as written by a dump.
type dump struct {
	Log            replog.Status `json:"log"`
	Index          uint64        `json:"index"`
	Term           uint64        `json:"term"`
	ConfigRevision uint64        `json:"config"`
	Counts         state.Counts  `json:"counts"`
	Fresh          bool          `json:"fresh"`
	FreshUntil     time.Time     `json:"vouched"`
	Nodes          []nodeInfo    `json:"nodes"`
	Leader         *leaderDump   `json:"lead,omitempty"`
}

// Dump implements kern.Runner.
func (c *Control) Dump() any {
	v := c.state.View()
	d := dump{
		Log: c.node.Status(), Index: v.Index(), Term: v.Term(), ConfigRevision: v.Revision(),
		Counts: v.Counts(), Fresh: c.fresh(), FreshUntil: c.freshDeadline(), Nodes: c.nodes.list(),
	}
	if l := c.activeLeader(); l != nil {
		d.Leader = l.dump()
	}
	return d
}

// onLeader returns a handler that calls f if this process is the leader and
// forwards the call to the leader otherwise. A call that was forwarded once is
// not forwarded again.
func onLeader[Req, Resp any, PReq interface {
	*Req
	wire.Message
}, PResp interface {
	*Resp
	wire.Message
}](c *Control, method string, f func(ctx context.Context, req PReq) (PResp, error)) func(context.Context, wire.Peer, PReq) (PResp, error) {
	return func(ctx context.Context, peer wire.Peer, req PReq) (PResp, error) {
		if c.activeLeader() != nil {
			return f(ctx, req)
		}
		leaderName := c.node.Status().Leader
		link, ok := c.links[leaderName]
		if !ok || peer.Role == RoleName {
			return nil, &wire.RemoteError{Code: wire.CodeNotLeader, Text: "no leader is known here", Leader: leaderName}
		}
		resp := PResp(new(Resp))
		if err := link.Call(ctx, method, req, resp); err != nil {
			c.env.Log.Debug("leader did not answer", zap.String("method", method), zap.String("leader", leaderName), zap.Error(err))
			return nil, forwardError(err)
		}
		return resp, nil
	}
}

// forwardError returns the leader's own refusals unchanged and converts any other
// error to CodeNotLeader, after which the caller tries another control process.
func forwardError(err error) error {
	var remoteErr *wire.RemoteError
	if errors.As(err, &remoteErr) {
		return remoteErr
	}
	return &wire.RemoteError{Code: wire.CodeNotLeader, Text: err.Error()}
}
