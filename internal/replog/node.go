package replog

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// Node is one replica of the log. It connects the protocol to the disk, the
// transport, the clock and the state machine.
type Node struct {
	opt       Options
	st        *store.Store
	machine   StateMachine
	transport Transport
	log       *zap.Logger

	mu                 sync.Mutex
	core               *core
	waitersTerm        uint64                     // term in which proposals and reads were added
	proposals          map[uint64]*proposalWaiter // by index
	reads              []*readWaiter
	stopped            bool
	loggedRole         roleAndLeader
	loggedRejectedVote rejectedVote
	loggedMembersIndex uint64
	// compactTo is the first index that the disk must keep, 0 if there is
	// nothing to compact.
	compactTo    uint64
	refuseReason string // reason for which runDisk must refuse the data folder, empty if none
	snapshots    snapshotState

	// Each wake channel wakes the loop that it is named for.
	wakeDisk        chan struct{}
	wakeApply       chan struct{}
	wakeReplication chan struct{}
	wakeChunk       chan struct{}
	capturedStates  chan capturedState // for runSnapshots to write
}

// New returns a node with the state that the store holds. It restores the
// state machine from the snapshot, if there is one. Run starts the node.
func New(opt Options, st *store.Store, machine StateMachine, transport Transport, log *zap.Logger) (*Node, error) {
	opt = opt.WithDefaults()
	if err := opt.Validate(); err != nil {
		return nil, err
	}
	core, err := newCore(opt, st.Identity(), st.Contents(), opt.Clock.Now())
	if err != nil {
		return nil, err
	}
	n := &Node{
		opt: opt, st: st, machine: machine, transport: transport, log: log, core: core,
		proposals:       make(map[uint64]*proposalWaiter),
		wakeDisk:        make(chan struct{}, 1),
		wakeApply:       make(chan struct{}, 1),
		wakeReplication: make(chan struct{}, 1),
		wakeChunk:       make(chan struct{}, 1),
		capturedStates:  make(chan capturedState, 1),
	}
	if st.Snapshot() != nil {
		if err := n.restoreMachine(); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Run runs the node until ctx is done or the disk fails.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.runTicks(ctx) })
	g.Go(func() error { return n.runReplication(ctx) })
	g.Go(func() error { return n.runDisk(ctx) })
	g.Go(func() error { return n.runApply(ctx) })
	g.Go(func() error { return n.runChunks(ctx) })
	g.Go(func() error { return n.runSnapshots(ctx) })
	err := g.Wait()
	n.stop()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (n *Node) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	n.failWaiters(ErrOutcomeUnknown, ErrStopped)
}

// Step handles a message from a peer.
func (n *Node) Step(m *wire.LogMessage) {
	n.updateCore(func(c *core, now time.Time) { c.step(now, m) })
}

// updateCore calls f on the core and processes the outputs.
func (n *Node) updateCore(f func(c *core, now time.Time)) {
	n.mu.Lock()
	f(n.core, n.opt.Clock.Now())
	messages := n.processOutputs()
	n.mu.Unlock()
	n.sendAll(messages)
}

// processOutputs answers waiters, wakes the loops that have work, and returns
// the messages to send. The caller holds mu.
func (n *Node) processOutputs() []*wire.LogMessage {
	c := n.core
	n.logRole()
	n.logRejectedVote()
	n.logMembers()
	if c.role != Leader || c.state.term != n.waitersTerm {
		n.failWaiters(ErrOutcomeUnknown, &NotLeaderError{Leader: c.leaderName()})
		n.waitersTerm = c.state.term
	}
	n.answerReads()
	if c.out.refuseReason != "" {
		n.refuseReason, c.out.refuseReason = c.out.refuseReason, ""
	}
	if len(c.out.chunksToRead) > 0 {
		wake(n.wakeChunk)
	}
	if c.applied < c.commit || c.pendingRestore != nil {
		wake(n.wakeApply)
	}
	if c.role == Leader {
		wake(n.wakeReplication)
	}
	wake(n.wakeDisk)
	messages := c.out.messages
	c.out.messages = nil
	return messages
}

// logRole logs a change of role or leader.
func (n *Node) logRole() {
	c := n.core
	if current := (roleAndLeader{c.role, c.leader}); current != n.loggedRole {
		n.loggedRole = current
		n.log.Info("role changed", zap.String("role", string(c.role)),
			zap.Uint64("term", c.state.term), zap.String("leader", c.leaderName()))
	}
}

// logRejectedVote logs a rejected vote request, unless candidate and reason are
// those last logged.
func (n *Node) logRejectedVote() {
	c := n.core
	if c.lastRejectedVote == n.loggedRejectedVote {
		return
	}
	n.loggedRejectedVote = c.lastRejectedVote
	n.log.Info("vote withheld", zap.String("candidate", c.lastRejectedVote.candidate), zap.String("why", string(c.lastRejectedVote.reason)),
		zap.Uint64("term", c.state.term), zap.Uint64("last", c.log.lastIndex()))
}

// logMembers logs this replica's membership when it changes.
func (n *Node) logMembers() {
	latest := n.core.history.latest()
	if latest.index == n.loggedMembersIndex {
		return
	}
	n.loggedMembersIndex = latest.index
	n.log.Info("membership held", zap.Uint64("index", latest.index), zap.Uint64("term", n.core.state.term), zap.Uint64("commit", n.core.commit),
		zap.Strings("members", latest.members.labels()))
}

// roleAndLeader is the role and the leader that logRole last logged.
type roleAndLeader struct {
	role   Role
	leader string
}

func (n *Node) sendAll(messages []*wire.LogMessage) {
	for _, m := range messages {
		n.transport.Send(m.GetTo(), m)
	}
}

// wake makes the next waitForWake on ch return. It doesn't block.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// waitForWake waits for a wake-up on ch. It returns false once ctx is done.
func waitForWake(ctx context.Context, ch chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-ch:
		return true
	}
}

// ticksPerHeartbeat sets the resolution of the protocol's deadlines and how
// often an idle replica wakes up.
const ticksPerHeartbeat = 4

// runTicks ticks the core at a fixed interval.
func (n *Node) runTicks(ctx context.Context) error {
	t := time.NewTicker(n.opt.HeartbeatInterval / ticksPerHeartbeat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			n.updateCore(func(c *core, now time.Time) { c.tick(now) })
		}
	}
}

// runReplication sends entries to peers. Proposals that arrive while it sends
// are batched into the next message.
func (n *Node) runReplication(ctx context.Context) error {
	for waitForWake(ctx, n.wakeReplication) {
		n.mu.Lock()
		n.core.advanceClock(n.opt.Clock.Now())
		if n.readsNeedRound() {
			n.core.beginHeartbeatRound()
		}
		n.core.replicate()
		messages := n.core.out.messages
		n.core.out.messages = nil
		n.answerReads()
		if len(n.core.out.chunksToRead) > 0 {
			wake(n.wakeChunk)
		}
		n.mu.Unlock()
		n.sendAll(messages)
	}
	return ctx.Err()
}

// runChunks reads snapshot chunks and sends them to peers.
func (n *Node) runChunks(ctx context.Context) error {
	for waitForWake(ctx, n.wakeChunk) {
		n.mu.Lock()
		requests := n.core.out.chunksToRead
		n.core.out.chunksToRead = nil
		n.mu.Unlock()
		for _, r := range requests {
			chunk, err := n.readChunk(r)
			if err != nil {
				n.log.Warn("snapshot chunk could not be read", zap.String("peer", r.to.Name), zap.Error(err))
				continue
			}
			n.updateCore(func(c *core, now time.Time) {
				c.advanceClock(now)
				c.sendChunk(r.to, chunk)
			})
		}
	}
	return ctx.Err()
}

func (n *Node) readChunk(r chunkRequest) (*wire.LogChunk, error) {
	if r.id != "" {
		chunk, err := n.st.ReadChunk(r.id, r.offset, r.bytes)
		if !errors.Is(err, store.ErrNoSnapshot) {
			return chunk, err
		}
		// A newer snapshot has replaced it; start with its first chunk.
	}
	return n.st.ReadChunk(n.st.Snapshot().GetId(), 0, r.bytes)
}
