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

// applyBytes is the maximum size of the entries that are applied before waiters
// are answered.
const applyBytes = 256 << 10

// snapshotState is the state of the snapshots that this node takes.
type snapshotState struct {
	running bool
	next    time.Time // earliest time of the next snapshot after a failed one
}

// capture is a captured state to write as a snapshot.
type capture struct {
	meta  *wire.LogSnapshot
	write func(w io.Writer) error
}

// runApply applies committed entries to the state machine.
func (n *Node) runApply(ctx context.Context) error {
	for wait(ctx, n.wakeApply) {
		for ctx.Err() == nil {
			busy, err := n.applyRound()
			if err != nil {
				return err
			}
			if !busy {
				break
			}
		}
	}
	return ctx.Err()
}

func (n *Node) applyRound() (busy bool, err error) {
	n.mu.Lock()
	restore := n.core.restore != nil
	entries := n.core.takeCommitted(applyBytes)
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
	want := false
	n.update(func(c *core, now time.Time) {
		c.applied = entries[len(entries)-1].GetIndex()
		n.answer(entries, results)
		want = n.wantsSnapshot(now)
	})
	if want {
		return true, n.capture()
	}
	return true, nil
}

func (n *Node) restoreMachine() error {
	return n.st.ReadSnapshot(func(meta *wire.LogSnapshot, r io.Reader) error {
		if err := n.machine.Restore(r); err != nil {
			return errors.Wrapf(err, "restore snapshot %d", meta.GetIndex())
		}
		n.update(func(c *core, _ time.Time) { c.restored(meta) })
		return nil
	})
}

// wantsSnapshot reports whether the log has grown enough for a snapshot, and
// marks it as started. The caller holds mu.
func (n *Node) wantsSnapshot(now time.Time) bool {
	s := &n.snapshots
	grown := n.core.log.bytes > n.opt.SnapshotBytes+n.opt.TailBytes
	if !grown || s.running || now.Before(s.next) || n.core.transferring() || n.core.restore != nil {
		return false
	}
	s.running = true
	return true
}

// capture captures the state for a snapshot, which runSnapshots writes.
func (n *Node) capture() error {
	write, err := n.machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "capture snapshot")
	}
	n.mu.Lock()
	c := n.core
	term, _ := c.log.term(c.applied)
	at := c.history.at(c.applied)
	meta := &wire.LogSnapshot{
		Index: c.applied, Term: term, Members: at.members.wire(), MembersIndex: at.index,
		Id: fmt.Sprintf("%s-%d-%d", c.self, c.boot, c.applied),
	}
	n.mu.Unlock()
	n.captured <- capture{meta, write}
	return nil
}

func (n *Node) runSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-n.captured:
			if err := n.writeSnapshot(s); err != nil {
				return err
			}
		}
	}
}

func (n *Node) writeSnapshot(s capture) error {
	err := n.st.WriteSnapshot(s.meta, s.write)
	if err != nil && !errors.Is(err, store.ErrFull) {
		return err
	}
	n.update(func(c *core, now time.Time) {
		n.snapshots.running = false
		if err != nil {
			n.snapshots.next = now.Add(n.opt.Election)
			return
		}
		n.compactTo = c.compact(s.meta.GetIndex())
	})
	if err != nil {
		n.log.Warn("snapshot could not be written: disk is full", zap.Error(err))
	}
	return nil
}
