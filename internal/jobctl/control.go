// Package jobctl implements the role that stores callers' jobs: a replicated log with
// the jobs and their configuration. Its leader runs the scheduler, sends orders to the
// agents and answers all calls.
package jobctl

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/peers"
	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/internal/seek"
	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	headerTimeout    = 5 * time.Second
	idleTimeout      = 60 * time.Second
	maxHeaderBytes   = 16 << 10
	bodyCost         = 4                      // a configuration is read, decoded and encoded in two forms
	leadInterval     = 20 * time.Millisecond  // between checks whether this replica leads
	announceInterval = 200 * time.Millisecond // between updates of the known replicas
	exchangeInterval = 200 * time.Millisecond // between checks whether the replicas have changed
	// linkCleanupInterval is how often links to unknown addresses are checked. A link
	// without a session at two checks is closed; establishing a connection takes far
	// less than that.
	linkCleanupInterval = 10 * time.Second
	drainInterval       = 50 * time.Millisecond // between checks whether a leaving replica may stop
	// drainLeaderlessTimeout is how long a leaving replica waits without a leader before
	// it stops: it has been removed from the membership, or no replica can replace it.
	drainLeaderlessTimeout = 2 * time.Second
)

// Control is a running instance of the role.
type Control struct {
	env              *kern.Env
	cfg              *Settings
	id               wire.Identity // of this process, for connections to other processes
	state            *jobs.State   // to which the replicated log applies commands
	node             *replog.Node  // nil without a data directory
	store            *store.Store
	peers            *peers.Transport // links for log messages to other control processes
	fences           fences           // of orders to workers
	finder           *seek.Finder     // finds the leader and the other replicas
	mux              *wire.Mux
	server           *wire.Server
	peerListener     net.Listener
	operatorListener net.Listener
	operatorProtocol OperatorProtocol
	metrics          metrics

	waitingReplicas map[string]bool // replicas waiting to become members, by incarnation; used only by announce

	mu     sync.Mutex
	leader *leader // nil unless this process leads
}

// New opens the data directory and the listeners.
func New(env *kern.Env, cfg *Settings) (*Control, error) {
	protocol, ok := OperatorProtocols.Get()
	if !ok {
		return nil, errors.New("jobctl: this build includes no operators' protocol")
	}
	node := env.Node
	node.Name = cfg.Address
	id := wire.NewIdentity(node, RoleName, env.Keys, uuid.NewString())
	id.Key = kern.DeriveKey(env.Keys.Role[RoleName], node.Name)
	c := &Control{
		env: env, cfg: cfg, id: id, operatorProtocol: protocol, state: jobs.New(), peers: peers.New(env.Log),
		mux: wire.NewMux(env.Log), metrics: newMetrics(env.Metrics),
	}
	c.finder = seek.New(id, cfg.seedReplicas(), env.Log, nil)
	if cfg.DataDir != "" {
		if err := c.openReplica(); err != nil {
			return nil, err
		}
	}
	c.registerHandlers()
	c.server = wire.NewServer(id, c.mux, env.Log, nil).WithHandshakes(env.Guard.Handshakes())
	var err error
	if c.peerListener, err = net.Listen("tcp", cfg.listenAddress()); err != nil {
		return nil, errors.Wrap(err, "jobctl: listen")
	}
	if c.operatorListener, err = net.Listen("tcp", cfg.OperatorAddress); err != nil {
		return nil, errors.Wrap(err, "jobctl: listen for operators")
	}
	return c, nil
}

// openReplica opens the data directory and creates the replica.
func (c *Control) openReplica() error {
	fs, err := store.Dir(c.cfg.DataDir)
	if err != nil {
		return fmt.Errorf("jobctl: %w: %w", kern.ErrData, err)
	}
	opt := store.Options{Cluster: c.env.Node.Cluster, Name: c.cfg.Address, Incarnation: uuid.NewString()}
	if c.store, err = store.Open(fs, opt); err != nil {
		return fmt.Errorf("jobctl: %w: %w", kern.ErrData, err)
	}
	for _, addr := range c.cfg.seedReplicas() {
		c.addPeer(addr)
	}
	c.node, err = replog.New(c.logOptions(), c.store, c.state, c.peers, c.env.Log)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "jobctl: replicated log"), c.store.Close())
	}
	c.syncMembers()
	return nil
}

// maxCommandBytes is the largest size of a command. A message between replicas has room for one, and it has room for the
// largest configuration that an operator may send, in both its forms.
const maxCommandBytes = wire.MaxFrameBytes - 1<<20

// logOptions returns the options of the replicated log.
func (c *Control) logOptions() replog.Options {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.cfg.Address)) // never fails
	opt := replog.Options{
		Name: c.cfg.Address, Cluster: c.env.Node.Cluster, Seed: h.Sum64() ^ uint64(c.env.BootClock.Now().UnixNano()),
		Clock: c.env.BootClock, FirstStart: c.cfg.FirstStart, MaxCommandBytes: maxCommandBytes,
		Memory: assumedMemory(c.env.Memory),
	}
	for _, addr := range c.cfg.seedReplicas() {
		// Only on the very first start may replicas form a new cluster. Later an
		// empty data directory means that the data was lost. A replica whose own
		// name is not among the voters never forms a cluster.
		if addr != c.cfg.Address || c.cfg.FirstStart {
			opt.Voters = append(opt.Voters, replog.Peer{Name: addr})
		}
	}
	if len(opt.Voters) == 0 {
		opt.Voters = []replog.Peer{{Name: placeholderVoter}}
	}
	return opt
}

// placeholderVoter is a voter name that no replica has. The log requires at least one
// voter.
const placeholderVoter = "nobody"

// addPeer adds a link for log messages to another control process.
func (c *Control) addPeer(addr string) {
	if addr == c.cfg.Address || addr == placeholderVoter {
		return
	}
	if _, known := c.peers.Link(addr); known {
		return
	}
	if _, err := net.ResolveTCPAddr("tcp", addr); err != nil {
		return
	}
	c.peers.Add(addr, wire.NewLink(addr, c.id, c.mux, c.env.Log, c.exchangeReplicas))
}

// syncMembers adds links to all members of the current membership and passes their
// addresses to the finder. The seeds need not include any of them.
func (c *Control) syncMembers() {
	r := replicasOf(c.node.Status())
	for _, addr := range r.Addrs {
		c.addPeer(addr)
	}
	if c.activeLeader() != nil {
		c.finder.SetReplicas(r)
	} else {
		c.finder.LearnReplicas(r)
	}
}

// replicasOf returns the addresses of the members in a replica's status.
func replicasOf(st replog.Status) seek.Replicas {
	r := seek.Replicas{Index: st.MembersIndex}
	for _, m := range st.Members {
		if !slices.Contains(r.Addrs, m.Name) {
			r.Addrs = append(r.Addrs, m.Name)
		}
	}
	return r
}

// exchangeReplicas exchanges the known replicas with another control process: at the
// start of a session, after each change, and repeatedly while this process knows none.
// This is how a process without a log learns the replicas, so that it can refer others
// to them.
func (c *Control) exchangeReplicas(ctx context.Context, s *wire.Session) {
	exchangedIndex, first := uint64(0), true
	_ = kern.Every(ctx, exchangeInterval, func() {
		r := c.finder.Replicas()
		if !first && len(r.Addrs) > 0 && r.Index == exchangedIndex {
			return
		}
		if err := c.finder.ExchangeReplicas(ctx, s); err != nil {
			c.env.Log.Debug("replicas not exchanged", zap.String("to", s.Peer().Name), zap.Error(err))
			return
		}
		exchangedIndex, first = r.Index, false
	})
}

func (c *Control) registerHandlers() {
	wire.HandleCall(c.mux, wire.MethodLeader, c.handleLeader)
	calls := newIntake(c.env.Memory, c.metrics.callsWithoutRoom)
	wire.HandleLimited(c.mux, wire.MethodJob, sentLimiter{calls}, c.handleCall)
	wire.HandleReserved(c.mux, wire.MethodReservedJob, reservedLimiter{calls}, c.handleCall)
	c.mux.Handle(wire.MethodAttend, c.handleAgentStream)
	c.mux.Handle(wire.MethodLog, c.peers.Handler(RoleName, func(m *wire.LogMessage) {
		if c.node == nil {
			return
		}
		c.addPeer(m.From)
		c.node.Step(m)
	}))
}

// handleLeader answers a request for the current leader and the known replicas.
func (c *Control) handleLeader(_ context.Context, _ wire.Peer, req *wire.LeaderRequest) (*wire.LeaderReply, error) {
	if c.activeLeader() != nil {
		st := c.node.Status()
		own := replicasOf(st)
		return &wire.LeaderReply{Leading: true, Leader: st.Leader, Members: own.Addrs, Index: own.Index}, nil
	}
	c.finder.LearnReplicas(seek.Replicas{Addrs: req.Members, Index: req.Index})
	known := c.finder.Replicas()
	rep := &wire.LeaderReply{Members: known.Addrs, Index: known.Index}
	switch {
	case c.node != nil:
		rep.Leader = c.node.Status().Leader
	case c.finder.HasSession():
		rep.Leader = c.finder.LeaderAddr() // only a leader that this process has reached itself
	}
	return rep, nil
}

// Run implements kern.Runner.
func (c *Control) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.peers.Run(ctx) })
	g.Go(func() error { return c.finder.Run(ctx) })
	g.Go(func() error { return c.server.Serve(ctx, c.peerListener) })
	g.Go(func() error { return c.serveOperators(ctx) })
	if c.node != nil {
		g.Go(func() error { return c.node.Run(ctx) })
		g.Go(func() error { return kern.Every(ctx, leadInterval, func() { c.leadTerm(ctx) }) })
		g.Go(func() error { return kern.Every(ctx, announceInterval, c.announce) })
		g.Go(func() error { return kern.Every(ctx, linkCleanupInterval, c.closeUnusedLinks) })
		monitor := newQuorumMonitor(c.env, c.metrics)
		g.Go(func() error {
			return kern.Every(ctx, quorumInterval, func() { monitor.observe(c.node.Status(), c.finder.HasSession()) })
		})
	}
	err := g.Wait()
	if c.store != nil {
		err = errors.CombineErrors(err, c.store.Close())
	}
	return err
}

// closeUnusedLinks closes the links to addresses that are neither members nor known to
// the finder, which includes the seeds.
func (c *Control) closeUnusedLinks() {
	c.peers.Retain(append(replicasOf(c.node.Status()).Addrs, c.finder.KnownAddrs()...))
}

// announce updates the known replicas. While this replica is not a member or has no
// leader, it also tells the log to which replicas to announce itself.
func (c *Control) announce() {
	c.syncMembers()
	st := c.node.Status()
	if len(st.Members) > 0 {
		c.logWaiting(st.WaitingReplicas)
	}
	if st.Role != replog.Waiting && st.Leader != "" {
		return
	}
	addrs := c.finder.KnownAddrs()
	for _, addr := range addrs {
		c.addPeer(addr)
	}
	c.node.SetAnnounceTargets(slices.DeleteFunc(addrs, func(a string) bool { return a == c.cfg.Address }))
}

// logWaiting logs each replica that has started to wait for membership.
func (c *Control) logWaiting(waiting []replog.WaitingReplica) {
	current := map[string]bool{}
	for _, r := range waiting {
		current[r.Incarnation] = true
		if !c.waitingReplicas[r.Incarnation] {
			c.env.Log.Info("replica waits", zap.String("name", r.Name), zap.String("incarnation", r.Incarnation))
		}
	}
	c.waitingReplicas = current
}

func (c *Control) serveOperators(ctx context.Context) error {
	srv := &http.Server{
		Handler:           c.operatorProtocol.Handler(c, c.env.Log),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(c.env.Log),
	}
	c.env.Guard.Serve(srv, bodyCost)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(c.env.Guard.Listen(c.operatorListener)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "jobctl: serve operators")
	}
	return nil
}

// Drain implements kern.Runner. A leader resigns so that the others elect a new one
// at once. A voter whose successor is waiting stays until the successor is a voter.
func (c *Control) Drain(ctx context.Context) error {
	if c.node == nil {
		return nil
	}
	replacementWaiting := c.cfg.replacementPolicy().HasReplacement(c.node.Status(), c.env.BootClock.Now())
	if replacementWaiting {
		c.env.Log.Info("stays until its successor votes")
		c.node.MarkLeaving()
	}
	c.node.Resign()
	if !replacementWaiting {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leaderlessDeadline := c.env.BootClock.Now().Add(drainLeaderlessTimeout)
	return kern.Every(ctx, drainInterval, func() {
		st, now := c.node.Status(), c.env.BootClock.Now()
		if st.Leader != "" {
			leaderlessDeadline = now.Add(drainLeaderlessTimeout)
		}
		if st.WasReplaced() || !now.Before(leaderlessDeadline) {
			c.env.Log.Info("leaves", zap.Bool("succeeded", st.WasReplaced()), zap.String("leader", st.Leader))
			cancel()
		}
	})
}

// Reload implements kern.Reloader. Only changes of the seeds take effect.
func (c *Control) Reload(s kern.Settings) {
	if next, ok := s.(*Settings); ok {
		c.finder.SetSeeds(next.seedReplicas())
		if c.node != nil {
			for _, addr := range next.seedReplicas() {
				c.addPeer(addr)
			}
		}
	}
}

// activeLeader returns the leader state, or nil unless this process leads.
func (c *Control) activeLeader() *leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Control) setLeader(l *leader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = l
}

// dump is the role's state for diagnosis.
type dump struct {
	Log   *replog.Status `json:"log,omitempty"`
	Index uint64         `json:"index"` // of the last applied command
	Term  uint64         `json:"term"`  // highest of the applied commands
	Jobs  map[string]int `json:"jobs"`  // number of jobs by phase
	Hosts []hostDump     `json:"hosts,omitempty"`
	Teams []teamDump     `json:"teams,omitempty"` // of the leader
	// Evacuations are those in force at that index.
	Evacuations []jobs.Evacuation `json:"evacuations,omitempty"`
}

// Dump implements kern.Runner.
func (c *Control) Dump() any {
	d := dump{Jobs: map[string]int{}}
	var use map[string]jobs.TeamUse
	if c.node != nil {
		st := c.node.Status()
		d.Log = &st
	}
	c.state.Read(func(v jobs.View) {
		d.Index, d.Term, d.Evacuations = v.Index(), v.Term(), v.Evacuations()
		use = v.TeamUse()
		for j := range v.Jobs() {
			d.Jobs[string(j.Phase)]++
		}
	})
	if l := c.activeLeader(); l != nil {
		d.Hosts, d.Teams = l.dump(), l.teamDumps(use)
	}
	return d
}
