package replog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/store"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// diskFullRetryInterval is how long to wait before a write to a full disk is
// retried.
const diskFullRetryInterval = 200 * time.Millisecond

// runDisk performs the disk work of the core. Everything that accumulates
// during one sync is written and synced together by the next.
func (n *Node) runDisk(ctx context.Context) error {
	for waitForWake(ctx, n.wakeDisk) {
		for ctx.Err() == nil {
			didWork, err := n.diskRound(ctx)
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

// diskRound refuses the data folder or compacts the log on disk if that was
// requested, then performs the disk work that is waiting. It returns false if
// there was no disk work.
func (n *Node) diskRound(ctx context.Context) (didWork bool, err error) {
	n.mu.Lock()
	w := n.core.takeDiskWork()
	compactTo, refuse := n.compactTo, n.refuseReason
	n.compactTo, n.refuseReason = 0, ""
	n.mu.Unlock()
	if refuse != "" {
		n.log.Error("data folder refused; empty the folder to join as a new member", zap.String("reason", refuse))
		if err := n.st.MarkRefused(refuse); err != nil && !errors.Is(err, store.ErrDiskFull) {
			return false, err
		}
	}
	if compactTo > 0 {
		if err := n.st.Compact(compactTo); err != nil {
			return false, err
		}
	}
	if w.empty() {
		return false, nil
	}
	if err := n.saveWork(ctx, w); err != nil {
		return false, err
	}
	return true, nil
}

// saveWork saves a frame, then sends the messages that depend on it and writes the
// snapshot chunks. Messages of the replica to itself are handled directly.
func (n *Node) saveWork(ctx context.Context, w diskWork) error {
	if w.frame != nil {
		if err := n.saveFrame(ctx, w.frame); err != nil {
			return err
		}
	}
	var remote []*wire.LogMessage
	n.updateCore(func(c *core, now time.Time) {
		c.diskWorkSaved(now, w)
		for _, m := range w.messages {
			if m.GetToIncarnation() == c.self {
				c.step(now, m)
				continue
			}
			remote = append(remote, m)
		}
	})
	n.sendAll(remote)
	for _, m := range w.chunks {
		if err := n.receiveChunk(m); err != nil {
			return err
		}
	}
	return nil
}

// saveFrame saves a frame. While the disk is full, it retries.
func (n *Node) saveFrame(ctx context.Context, f *wire.LogFrame) error {
	for {
		err := n.st.Save(f)
		if !errors.Is(err, store.ErrDiskFull) {
			return err
		}
		n.setDiskFull(err)
		t := time.NewTimer(diskFullRetryInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (n *Node) setDiskFull(err error) {
	n.updateCore(func(c *core, _ time.Time) {
		if !c.diskFull {
			n.log.Error("disk is full; no entries are acknowledged until space is available", zap.Error(err))
		}
		c.diskFull = true
	})
}

// receiveChunk writes a snapshot chunk, and installs the snapshot after the
// last one.
func (n *Node) receiveChunk(m *wire.LogMessage) error {
	snap := m.GetChunk().GetSnapshot()
	next, done, err := n.st.ReceiveChunk(m.GetChunk())
	if errors.Is(err, store.ErrDiskFull) {
		n.setDiskFull(err)
		return nil // the leader sends the chunk again
	}
	if err != nil {
		return err
	}
	if done {
		if err := n.installSnapshot(snap); err != nil {
			return err
		}
	}
	n.updateCore(func(c *core, now time.Time) {
		c.advanceClock(now)
		c.diskFull = false
		c.acknowledgeChunk(m, next)
	})
	return nil
}

func (n *Node) installSnapshot(snap *wire.LogSnapshot) error {
	replaceLog := false
	n.updateCore(func(c *core, _ time.Time) { replaceLog = c.beginInstall(snap) })
	if !replaceLog {
		return nil
	}
	if err := n.st.ResetLog(); err != nil {
		return err
	}
	n.updateCore(func(c *core, now time.Time) { c.snapshotInstalled(now, snap) })
	n.log.Info("snapshot installed", zap.Uint64("index", snap.GetIndex()))
	return nil
}
