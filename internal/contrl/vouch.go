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
	vouchInterval = 300 * time.Millisecond
	vouchTimeout  = time.Second
	applyPause    = 2 * time.Millisecond
)

// watchVouch asks the leader, again and again, up to which index the log is
// committed. Once that is applied here, the state is known to have been current
// when the question was sent, and may be passed on until Bound later.
func (c *Control) watchVouch(ctx context.Context) error {
	t := time.NewTicker(vouchInterval)
	defer t.Stop()
	for {
		if err := c.vouch(ctx); err != nil && ctx.Err() == nil {
			c.env.Log.Debug("state could not be vouched for", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (c *Control) vouch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
	defer cancel()
	sent := c.env.Clock.Now()
	index, err := c.readIndex(ctx)
	if err != nil {
		return err
	}
	for c.node.Status().Applied < index {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "entries up to %d are not applied", index)
		case <-time.After(applyPause):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := sent.Add(conf.MaxStaleness); until.After(c.vouched) {
		c.vouched = until
	}
	return nil
}

func (c *Control) readIndex(ctx context.Context) (uint64, error) {
	index, err := c.node.Read(ctx)
	if !errors.Is(err, replog.ErrNotLeader) {
		return index, err
	}
	l, ok := c.links[c.node.Status().Leader]
	if !ok {
		return 0, err
	}
	rep := &wire.ReadReply{}
	req := &wire.ReadRequest{Revision: c.state.View().Revision()}
	if req.Reported = c.nodes.due(); req.Reported {
		req.Nodes = c.nodes.report()
	}
	err = l.Call(ctx, wire.MethodRead, req, rep)
	return rep.Index, err
}

// handleRead answers another control process with a linearizable read index
// and notes the nodes that it serves.
func (c *Control) handleRead(ctx context.Context, peer wire.Peer, req *wire.ReadRequest) (*wire.ReadReply, error) {
	index, err := c.node.Read(ctx)
	if errors.Is(err, replog.ErrNotLeader) {
		return nil, &wire.RemoteError{Code: wire.CodeNotLeader, Text: err.Error()}
	}
	if err != nil {
		return nil, err
	}
	if req.Reported {
		c.nodes.heardFrom(peer.Name, req.Revision, req.Nodes)
	}
	return &wire.ReadReply{Index: index}, nil
}

func (c *Control) vouchedUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vouched
}

func (c *Control) fresh() bool { return c.env.Clock.Now().Before(c.vouchedUntil()) }
