package agent

import (
	"context"
	"fmt"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// serveEntry opens the grant stream on a session to an entry and serves it
// until it ends.
func (a *Agent) serveEntry(ctx context.Context, s *wire.Session) {
	st, err := s.OpenCall(ctx, wire.MethodGrant, "")
	if err != nil {
		a.env.Log.Warn("grant stream could not be opened", zap.String("entry", s.Peer().Name), zap.Error(err))
		_ = s.Close()
		return
	}
	// The session is useless without its grant stream.
	defer func() { _ = s.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gs := &grantStream{
		id:     fmt.Sprintf("%s#%d", s.Peer().Name, a.streamCount.Add(1)),
		entry:  s.Peer().Name,
		events: make(chan *wire.AgentEvent, maxQueuedEvents),
		cancel: cancel,
	}
	gs.events <- a.announceEvent()
	a.grants.addStream(gs)
	a.grants.broadcast(a.announceEvent())
	defer func() { a.grants.broadcast(a.announceEvent()) }()
	defer a.usage.removeStream(gs.id)
	defer a.grants.removeStream(gs)
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sendEvents(ctx, gs, st) })
	g.Go(func() error { return a.readDemand(gs, st) })
	_ = g.Wait()
}

func sendEvents(ctx context.Context, gs *grantStream, st *wire.Stream) error {
	defer gs.cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-gs.events:
			if err := st.Send(ev); err != nil {
				return err
			}
		}
	}
}

func (a *Agent) readDemand(gs *grantStream, st *wire.Stream) error {
	defer gs.cancel()
	for {
		var d wire.Demand
		if err := st.Recv(&d); err != nil {
			return err
		}
		a.grants.setDemand(gs, admit.Demand{
			Guaranteed: admitCount(d.Guaranteed),
			Urgent:     admitCount(d.Urgent),
			Borrowed:   admitCount(d.Borrowed),
		})
	}
}

func admitCount(c *wire.Count) admit.Count {
	return admit.Count{Short: int(c.GetShort()), Long: int(c.GetLong())}
}

func (a *Agent) announceEvent() *wire.AgentEvent {
	ann := a.server.current()
	return &wire.AgentEvent{Event: &wire.AgentEvent_Announce{Announce: &wire.Announce{
		Service: ann.Service,
		Server:  ann.ID,
		Slots:   uint32(ann.Slots),
		State:   string(a.announcedState()),
		Entries: uint32(a.grants.count()),
	}}}
}
