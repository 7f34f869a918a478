package agent

import (
	"context"
	"fmt"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// serveEntry keeps the grant stream of one session to an entry.
func (a *Agent) serveEntry(ctx context.Context, s *wire.Session) {
	st, err := s.OpenCall(ctx, wire.MethodGrant, "")
	if err != nil {
		a.env.Log.Warn("grant stream could not be opened", zap.String("entry", s.Peer().Name), zap.Error(err))
		_ = s.Close()
		return
	}
	// The entry's session is of no use without its grant stream.
	defer func() { _ = s.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := &member{
		id:     fmt.Sprintf("%s#%d", s.Peer().Name, a.streams.Add(1)),
		entry:  s.Peer().Name,
		events: make(chan *wire.AgentEvent, maxEvents),
		cancel: cancel,
	}
	m.events <- a.announceEvent()
	a.grants.join(m)
	a.grants.broadcast(a.announceEvent())
	defer func() { a.grants.broadcast(a.announceEvent()) }()
	defer a.shares.forget(m.id)
	defer a.grants.leave(m)
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sendEvents(ctx, m, st) })
	g.Go(func() error { return a.readDemand(m, st) })
	_ = g.Wait()
}

func sendEvents(ctx context.Context, m *member, st *wire.Stream) error {
	defer m.cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-m.events:
			if err := st.Send(ev); err != nil {
				return err
			}
		}
	}
}

func (a *Agent) readDemand(m *member, st *wire.Stream) error {
	defer m.cancel()
	for {
		var d wire.Demand
		if err := st.Recv(&d); err != nil {
			return err
		}
		a.grants.demand(m, admit.Demand{
			Guaranteed: countOf(d.Guaranteed),
			Urgent:     countOf(d.Urgent),
			Borrowed:   countOf(d.Borrowed),
		})
	}
}

func countOf(c *wire.Count) admit.Count {
	return admit.Count{Short: int(c.GetShort()), Long: int(c.GetLong())}
}

func (a *Agent) announceEvent() *wire.AgentEvent {
	ann := a.server.current()
	return &wire.AgentEvent{Event: &wire.AgentEvent_Announce{Announce: &wire.Announce{
		Service: ann.Service,
		Server:  ann.ID,
		Slots:   uint32(ann.Slots),
		State:   string(a.offered()),
		Entries: uint32(a.grants.count()),
	}}}
}
