package contrl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/replog"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	freshnessInterval = 300 * time.Millisecond
	freshnessTimeout  = time.Second
	applyPollInterval = 2 * time.Millisecond
)

// freshnessLoop asks the leader periodically up to which index the log is committed.
// Once that index is applied here, the state is known to have been current when
// the request was sent, and may be served until conf.MaxStaleness after that.
func (c *Control) freshnessLoop(ctx context.Context) error {
	t := time.NewTicker(freshnessInterval)
	defer t.Stop()
	for {
		if err := c.renewFreshness(ctx); err != nil && ctx.Err() == nil {
			c.env.Log.Debug("could not confirm that the applied state is current", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// renewFreshness gets the commit index from the leader, waits until it is applied,
// and then extends the time until which the state may be served.
func (c *Control) renewFreshness(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	sentAt := c.env.Clock.Now()
	index, err := c.readIndex(ctx)
	if err != nil {
		return err
	}
	for c.node.Status().Applied < index {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "entries up to %d are not applied", index)
		case <-time.After(applyPollInterval):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if freshUntil := sentAt.Add(conf.MaxStaleness); freshUntil.After(c.freshUntil) {
		c.freshUntil = freshUntil
	}
	return nil
}

// readIndex returns a linearizable read index. Unless this process is the leader, it
// asks the leader, and reports its nodes along with the request if a report is due.
func (c *Control) readIndex(ctx context.Context) (uint64, error) {
	index, err := c.node.Read(ctx)
	if !errors.Is(err, replog.ErrNotLeader) {
		return index, err
	}
	link, ok := c.links[c.node.Status().Leader]
	if !ok {
		return 0, err
	}
	rep := &wire.ReadReply{}
	req := &wire.ReadRequest{Revision: c.state.View().Revision()}
	if req.Reported = c.nodes.reportDue(); req.Reported {
		req.Nodes = c.nodes.report()
	}
	err = link.Call(ctx, wire.MethodRead, req, rep)
	return rep.Index, err
}

// handleRead answers another control process with a linearizable read index and
// records the nodes that it reports.
func (c *Control) handleRead(ctx context.Context, peer wire.Peer, req *wire.ReadRequest) (*wire.ReadReply, error) {
	index, err := c.node.Read(ctx)
	if errors.Is(err, replog.ErrNotLeader) {
		return nil, &wire.RemoteError{Code: wire.CodeNotLeader, Text: err.Error()}
	}
	if err != nil {
		return nil, err
	}
	if req.Reported {
		c.nodes.recordReport(peer.Name, req.Revision, req.Nodes)
	}
	return &wire.ReadReply{Index: index}, nil
}

func (c *Control) freshDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshUntil
}

func (c *Control) fresh() bool { return c.env.Clock.Now().Before(c.freshDeadline()) }
