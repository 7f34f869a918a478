// Package contrl is the role that keeps the system's shared state: the
// replicated log of configuration, jobs, leases and claims, the scheduler that
// acts on it, and the answers by which entries and agents keep in step.
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

// RoleName is the role's name in settings and towards its peers.
const RoleName = "control"

const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// handoverTimeout bounds the wait for a new leader before a planned stop. A
	// replica that resigned stands again after three election times, 1.8 s.
	handoverTimeout = 2 * time.Second
	// othersTimeout bounds the wait for a quorum of the others before a planned
	// stop. It leaves half of the usual time to drain, 20 s, to what else drains.
	othersTimeout = 10 * time.Second
	drainCheck    = 10 * time.Millisecond
	// minSpare is the least number of voters of which one can be spared.
	minSpare = 3
)

// Control is the role at work.
type Control struct {
	env    *kern.Env
	cfg    *Settings
	name   string
	state  *state.State
	node   *replog.Node
	store  *store.Store
	mach   *machine
	links  map[string]*wire.Link // to the other control processes, by name
	trans  *peers.Transport
	nodes  *nodes
	meters meters
	plat   *platf.Client // nil without a platform

	server *wire.Server
	ln     net.Listener
	api    net.Listener // nil without api

	mu      sync.Mutex
	vouched time.Time // until when the applied state is known to be current
	lead    *lead     // while this process is the leader
}

// New opens the data folder and the listeners.
func New(env *kern.Env, cfg *Settings) (*Control, error) {
	fs, err := store.Dir(cfg.Data)
	if err != nil {
		return nil, fmt.Errorf("control: %w: %w", kern.ErrData, err)
	}
	st, err := store.Open(fs, store.Options{Cluster: env.Node.Cluster, Name: env.Node.Name, Incarnation: uuid.NewString()})
	if err != nil {
		return nil, fmt.Errorf("control: %w: %w", kern.ErrData, err)
	}
	c := &Control{
		env: env, cfg: cfg, name: env.Node.Name, store: st,
		state: state.New(), links: map[string]*wire.Link{}, nodes: newNodes(env.Clock),
		meters: newMeters(env.Metrics),
	}
	if cfg.Platform != "" {
		c.plat = platf.New(cfg.Platform, &http.Client{})
	}
	id := wire.NewIdentity(env.Node, RoleName, env.Keys, uuid.NewString())
	c.trans = peers.New(env.Log)
	mux := c.methods()
	for name, addr := range cfg.Peers {
		if name != c.name {
			c.links[name] = wire.NewLink(addr, id, mux, env.Log, nil)
			c.trans.Add(name, c.links[name])
		}
	}
	c.mach = newMachine(c.state)
	c.node, err = replog.New(c.logOptions(), st, c.mach, c.trans, env.Log)
	if err != nil {
		_ = st.Close()
		return nil, errors.Wrap(err, "control: replicated log")
	}
	c.server = wire.NewServer(id, mux, env.Log, nil)
	return c, c.listen()
}

func (c *Control) logOptions() replog.Options {
	opt := replog.Options{Name: c.name, Cluster: c.env.Node.Cluster, Seed: seedOf(c.name)}
	for _, name := range c.cfg.Voters {
		opt.Voters = append(opt.Voters, replog.Peer{Name: name})
	}
	return opt
}

func (c *Control) listen() error {
	var err error
	if c.ln, err = net.Listen("tcp", c.cfg.Listen); err != nil {
		return errors.Wrap(err, "control: listen")
	}
	if c.cfg.API == "" {
		return nil
	}
	if c.api, err = net.Listen("tcp", c.cfg.API); err != nil {
		return errors.Wrap(err, "control: listen for operators")
	}
	return nil
}

func (c *Control) methods() *wire.Mux {
	mux := wire.NewMux(c.env.Log)
	mux.Handle(wire.MethodLog, c.trans.Handler(RoleName, func(m *wire.LogMessage) { c.node.Step(m) }))
	const entry, agent = "entry", "agent"
	wire.HandleCall(mux, wire.MethodSync, allow(c.handleSync, entry, agent))
	wire.HandleCall(mux, wire.MethodRead, allow(c.handleRead))
	wire.HandleCall(mux, wire.MethodReport, allow(onLeader(c, wire.MethodReport, c.report), agent))
	wire.HandleCall(mux, wire.MethodClaim, allow(onLeader(c, wire.MethodClaim, c.claim), entry))
	wire.HandleCall(mux, wire.MethodSettle, allow(onLeader(c, wire.MethodSettle, c.settle), entry, agent))
	wire.HandleCall(mux, wire.MethodAPI, allow(onLeader(c, wire.MethodAPI, c.serveAPI), entry))
	return mux
}

// allow lets in the calls of some roles, and those that another control
// process has let in and passes on.
func allow[Req, Resp any](f func(context.Context, wire.Peer, Req) (Resp, error), roles ...string) func(context.Context, wire.Peer, Req) (Resp, error) {
	return func(ctx context.Context, peer wire.Peer, req Req) (Resp, error) {
		if peer.Role == RoleName || slices.Contains(roles, peer.Role) {
			return f(ctx, peer, req)
		}
		var none Resp
		return none, &wire.RemoteError{Code: wire.CodeRefused, Text: "role " + peer.Role + " may not call this"}
	}
}

// Run implements kern.Runner.
func (c *Control) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.trans.Run(ctx) })
	g.Go(func() error { return c.node.Run(ctx) })
	g.Go(func() error { return c.server.Serve(ctx, c.ln) })
	g.Go(func() error { return c.watchVouch(ctx) })
	g.Go(func() error { return c.watchLead(ctx) })
	g.Go(func() error { return c.watchMeters(ctx) })
	g.Go(func() error { return c.mach.watchHalt(ctx) })
	if c.api != nil {
		g.Go(func() error { return c.serveOperators(ctx) })
	}
	err := g.Wait()
	return errors.CombineErrors(err, c.store.Close())
}

func (c *Control) serveOperators(ctx context.Context) error {
	srv := &http.Server{
		Handler:           opapi.New(c.cfg.Operators, c.passOn, c.env.Log),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(c.api); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "control: operators")
	}
	return nil
}

// passOn carries out an operator's request here or on the leader.
func (c *Control) passOn(ctx context.Context, req *wire.ApiRequest) (*wire.ApiReply, error) {
	return onLeader(c, wire.MethodAPI, c.serveAPI)(ctx, wire.Peer{}, req)
}

// Drain implements kern.Runner. It waits until the others can go on without
// this process: another one that was just restarted may not be back yet. Then a
// leader lets them elect a new one and serves on until it stands, so that the
// election's messages still leave and calls are passed on. What waits for
// commit is short and ends by itself.
func (c *Control) Drain(ctx context.Context) error {
	c.awaitOthers(ctx)
	if c.node.Status().Role != replog.Leader {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	c.node.Resign()
	for c.node.Status().Leader == "" && kern.Sleep(ctx, drainCheck) {
		continue
	}
	c.env.Log.Info("lead handed over", zap.String("leader", c.node.Status().Leader))
	return nil
}

// awaitOthers returns once this process isn't needed for a quorum, or after othersTimeout.
func (c *Control) awaitOthers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, othersTimeout)
	defer cancel()
	for c.needed() {
		if !kern.Sleep(ctx, drainCheck) {
			c.env.Log.Warn("stopping although the other control processes in reach are no quorum")
			return
		}
	}
}

// needed reports whether the voters in reach are a quorum with this process and
// none without it.
func (c *Control) needed() bool {
	st := c.node.Status()
	others := 0
	for _, v := range st.Voters {
		if l, ok := c.links[v.Name]; ok {
			if _, err := l.Session(); err == nil {
				others++
			}
		}
	}
	return len(st.Voters) >= minSpare && others == st.Quorum()-1
}

// dump is the role's whole state.
type dump struct {
	Log     replog.Status `json:"log"`
	Index   uint64        `json:"index"`
	Term    uint64        `json:"term"`
	ConfigRevision  uint64        `json:"config"`
	Counts  state.Counts  `json:"counts"`
	Fresh   bool          `json:"fresh"`
	FreshUntil time.Time     `json:"vouched"`
	Nodes   []nodeInfo    `json:"nodes"`
	Leader    *leadDump     `json:"lead,omitempty"`
}

// Dump implements kern.Runner.
func (c *Control) Dump() any {
	v := c.state.View()
	d := dump{
		Log: c.node.Status(), Index: v.Index(), Term: v.Term(), ConfigRevision: v.Revision(),
		Counts: v.Counts(), Fresh: c.fresh(), FreshUntil: c.vouchedUntil(), Nodes: c.nodes.list(),
	}
	if l := c.leading(); l != nil {
		d.Leader = l.dump()
	}
	return d
}

// onLeader returns a call that is carried out by f on the leader, and passed
// on to the leader by every other control process. It is passed on once only.
func onLeader[Req, Resp any, PReq interface {
	*Req
	wire.Message
}, PResp interface {
	*Resp
	wire.Message
}](c *Control, method string, f func(ctx context.Context, req PReq) (PResp, error)) func(context.Context, wire.Peer, PReq) (PResp, error) {
	return func(ctx context.Context, peer wire.Peer, req PReq) (PResp, error) {
		if c.leading() != nil {
			return f(ctx, req)
		}
		leader := c.node.Status().Leader
		l, ok := c.links[leader]
		if !ok || peer.Role == RoleName {
			return nil, &wire.RemoteError{Code: wire.CodeNotLeader, Text: "no leader is known here", Leader: leader}
		}
		resp := PResp(new(Resp))
		if err := l.Call(ctx, method, req, resp); err != nil {
			c.env.Log.Debug("leader did not answer", zap.String("method", method), zap.String("leader", leader), zap.Error(err))
			return nil, remote(err)
		}
		return resp, nil
	}
}

// remote keeps the leader's own refusals and turns all else into "not leader",
// after which the caller turns to another control process.
func remote(err error) error {
	var re *wire.RemoteError
	if errors.As(err, &re) {
		return re
	}
	return &wire.RemoteError{Code: wire.CodeNotLeader, Text: err.Error()}
}
