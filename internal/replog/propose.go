package replog

import (
	"context"
	"slices"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// proposalWaiter is a proposal that waits for its entry to be applied.
type proposalWaiter struct {
	done chan outcome
}

// outcome is the result of a proposal or the end of the wait for a read.
type outcome struct {
	result any // result of StateMachine.Apply, nil for a read
	err    error
}

// readWaiter is a read that waits for confirmation.
type readWaiter struct {
	read *readRequest
	done chan outcome
}

// Propose appends a command and waits until this replica has applied it. It
// returns an ErrNotLeader, ErrBusy, ErrDiskFull, ErrTooLarge or ErrStopped if
// the command was not appended. If leadership is lost afterwards or ctx is done,
// the command may still be applied later.
func (n *Node) Propose(ctx context.Context, cmd []byte) (index uint64, result any, err error) {
	return n.proposeEntry(ctx, func(c *core) (uint64, error) { return c.propose(cmd) })
}

// AddLearner adds the replica that announced itself under a name as a learner,
// which receives the log but doesn't vote until it is promoted.
func (n *Node) AddLearner(ctx context.Context, name string) error {
	_, _, err := n.proposeEntry(ctx, func(c *core) (uint64, error) { return c.addLearner(name, "") })
	return err
}

// Promote makes a learner, given by its name or incarnation, a voter. It returns
// ErrNotCaughtUp if the learner is unreachable, its disk is full, or it is more
// than an election timeout behind the commit index.
func (n *Node) Promote(ctx context.Context, key string) error {
	_, _, err := n.proposeEntry(ctx, func(c *core) (uint64, error) { return c.promote(key) })
	return err
}

// Remove removes a member, given by its name or incarnation.
func (n *Node) Remove(ctx context.Context, key string) error {
	_, _, err := n.proposeEntry(ctx, func(c *core) (uint64, error) { return c.remove(key) })
	return err
}

// SetAnnounceTargets sets the names of the replicas to which this one announces
// itself, in addition to the initial voters, while it is not a member.
func (n *Node) SetAnnounceTargets(to []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.join.extraPeers = slices.Clone(to)
}

// Replace replaces a member, given by its name or incarnation, with the replica
// that announced itself under a name. It returns once the new replica is
// committed as a learner. The leader then promotes it when it has caught up and
// removes the old member. Status shows the progress of this repair.
func (n *Node) Replace(ctx context.Context, old, name string) error {
	_, _, err := n.proposeEntry(ctx, func(c *core) (uint64, error) { return c.replace(old, name) })
	return err
}

func (n *Node) proposeEntry(ctx context.Context, propose func(c *core) (uint64, error)) (uint64, any, error) {
	w := &proposalWaiter{done: make(chan outcome, 1)}
	index, err := n.enqueueProposal(w, propose)
	if err != nil {
		return 0, nil, err
	}
	select {
	case o := <-w.done:
		return index, o.result, o.err
	case <-ctx.Done():
		n.mu.Lock()
		if n.proposals[index] == w {
			delete(n.proposals, index)
		}
		n.mu.Unlock()
		return index, nil, ctx.Err()
	}
}

func (n *Node) enqueueProposal(w *proposalWaiter, propose func(c *core) (uint64, error)) (uint64, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return 0, ErrStopped
	}
	n.core.advanceClock(n.opt.Clock.Now())
	index, err := propose(n.core)
	if err != nil {
		return 0, err
	}
	n.proposals[index] = w
	wake(n.wakeReplication)
	wake(n.wakeDisk)
	return index, nil
}

// answerProposals sends the results of applied entries to the proposers. The
// caller holds mu.
func (n *Node) answerProposals(entries []*wire.LogEntry, results []any) {
	for i, e := range entries {
		if w, ok := n.proposals[e.GetIndex()]; ok {
			delete(n.proposals, e.GetIndex())
			w.done <- outcome{result: results[i]}
		}
	}
}

// failWaiters ends every waiting proposal and read with an error. The caller holds
// mu.
func (n *Node) failWaiters(proposalErr, readErr error) {
	for index, w := range n.proposals {
		delete(n.proposals, index)
		w.done <- outcome{err: proposalErr}
	}
	for _, r := range n.reads {
		r.done <- outcome{err: readErr}
	}
	n.reads = nil
}

// Read waits until this replica is confirmed as the leader, at some time after
// the call, and its state machine has applied everything that was committed at
// that time. It returns the commit index of that time, or an ErrNotLeader.
func (n *Node) Read(ctx context.Context) (index uint64, err error) {
	r := &readWaiter{done: make(chan outcome, 1)}
	if err := n.enqueueRead(r); err != nil {
		return 0, err
	}
	select {
	case o := <-r.done:
		return r.read.index, o.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (n *Node) enqueueRead(r *readWaiter) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return ErrStopped
	}
	if n.core.role != Leader {
		return &NotLeaderError{Leader: n.core.leaderName()}
	}
	n.core.advanceClock(n.opt.Clock.Now())
	r.read = n.core.newRead()
	n.reads = append(n.reads, r)
	n.answerReads()
	if n.readsNeedRound() {
		wake(n.wakeReplication)
	}
	return nil
}

// readsNeedRound reports whether a read waits for a heartbeat round that hasn't
// begun. The caller holds mu.
func (n *Node) readsNeedRound() bool {
	for _, r := range n.reads {
		if !r.read.confirmed && r.read.round > n.core.leaderState.currentRound {
			return n.core.role == Leader
		}
	}
	return false
}

// answerReads answers the reads that are confirmed. The caller holds mu.
func (n *Node) answerReads() {
	now := n.opt.Clock.Now()
	pending := n.reads[:0]
	for _, r := range n.reads {
		if !n.core.readReady(r.read, now) {
			pending = append(pending, r)
			continue
		}
		r.done <- outcome{}
	}
	clear(n.reads[len(pending):])
	n.reads = pending
}

// View runs f, which reads the state machine, between a Read and a check that
// the lease is still valid. If the leader was disconnected or suspended in the
// meantime, View returns an ErrNotLeader and the result of f must not be used.
func (n *Node) View(ctx context.Context, f func() error) error {
	if _, err := n.Read(ctx); err != nil {
		return err
	}
	if err := f(); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.core.hasLease(n.opt.Clock.Now()) {
		return &NotLeaderError{}
	}
	return nil
}
