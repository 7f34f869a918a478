package replog

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// maxApplyBytes is the maximum size of the entries that are applied before
// waiters are answered.
const maxApplyBytes = 256 << 10

// snapshotState is the state of the snapshots that this node takes.
type snapshotState struct {
	inProgress bool      // a snapshot is being captured or written
	retryAfter time.Time // earliest time of the next snapshot after a failed one
}

// capturedState is a captured state to write as a snapshot.
type capturedState struct {
	meta  *wire.LogSnapshot
	write func(w io.Writer) error
}

// runApply applies committed entries to the state machine.
func (n *Node) runApply(ctx context.Context) error {
	for waitForWake(ctx, n.wakeApply) {
		for ctx.Err() == nil {
			didWork, err := n.applyRound()
			if err != nil {
				return err
			}
			if !didWork {
				break
			}
		}
	}
	return ctx.Err()
}

// applyRound restores a received snapshot, or else applies the next committed
// entries. It returns false if there was neither.
func (n *Node) applyRound() (didWork bool, err error) {
	n.mu.Lock()
	restore := n.core.pendingRestore != nil
	entries := n.core.committedToApply(maxApplyBytes)
	n.mu.Unlock()
	if restore {
		return true, n.restoreMachine()
	}
	if len(entries) == 0 {
		return false, nil
	}
	results := make([]any, len(entries))
	for i, e := range entries {
		if e.GetKind() == wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND {
			results[i] = n.machine.Apply(e.GetIndex(), e.GetData())
		}
	}
	takeSnapshot := false
	n.updateCore(func(c *core, now time.Time) {
		c.applied = entries[len(entries)-1].GetIndex()
		n.answerProposals(entries, results)
		takeSnapshot = n.startSnapshotIfNeeded(now)
	})
	if takeSnapshot {
		return true, n.captureState()
	}
	return true, nil
}

// restoreMachine restores the state machine from the latest snapshot on disk.
func (n *Node) restoreMachine() error {
	return n.st.ReadSnapshot(func(meta *wire.LogSnapshot, r io.Reader) error {
		if err := n.machine.Restore(r); err != nil {
			return errors.Wrapf(err, "restore snapshot %d", meta.GetIndex())
		}
		n.updateCore(func(c *core, _ time.Time) { c.snapshotRestored(meta) })
		return nil
	})
}

// startSnapshotIfNeeded reports whether the log has grown enough for a
// snapshot, and marks it as started. The caller holds mu.
func (n *Node) startSnapshotIfNeeded(now time.Time) bool {
	s := &n.snapshots
	logGrown := n.core.log.bytes > n.opt.SnapshotThresholdBytes+n.opt.TrailingLogBytes
	if !logGrown || s.inProgress || now.Before(s.retryAfter) || n.core.transferring() || n.core.pendingRestore != nil {
		return false
	}
	s.inProgress = true
	return true
}

// captureState captures the state for a snapshot, which runSnapshots writes.
func (n *Node) captureState() error {
	write, err := n.machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "capture snapshot")
	}
	n.mu.Lock()
	c := n.core
	term, _ := c.log.term(c.applied)
	membership := c.history.at(c.applied)
	meta := &wire.LogSnapshot{
		Index: c.applied, Term: term, Members: membership.members.wire(), MembersIndex: membership.index,
		Id: fmt.Sprintf("%s-%d-%d", c.self, c.boot, c.applied),
	}
	n.mu.Unlock()
	n.capturedStates <- capturedState{meta, write}
	return nil
}

func (n *Node) runSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-n.capturedStates:
			if err := n.writeSnapshot(s); err != nil {
				return err
			}
		}
	}
}

func (n *Node) writeSnapshot(s capturedState) error {
	err := n.st.WriteSnapshot(s.meta, s.write)
	if err != nil && !errors.Is(err, store.ErrDiskFull) {
		return err
	}
	n.updateCore(func(c *core, now time.Time) {
		n.snapshots.inProgress = false
		if err != nil {
			n.snapshots.retryAfter = now.Add(n.opt.ElectionTimeout)
			return
		}
		n.compactTo = c.compact(s.meta.GetIndex())
	})
	if err != nil {
		n.log.Warn("snapshot could not be written: disk is full", zap.Error(err))
	}
	return nil
}
