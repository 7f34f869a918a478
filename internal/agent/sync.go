package agent

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/poll"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// SyncRequest implements poll.Node.
func (a *Agent) SyncRequest() *wire.SyncRequest {
	ann := a.server.current()
	return &wire.SyncRequest{
		Revision: a.conf.Revision(),
		Tasks:    a.tasks.version(),
		Worker:   a.cfg.Worker,
		State:    string(a.announcedState()),
		Fresh:    a.conf.Fresh(a.env.Clock.Now()),
		Agents: []*wire.Status{{
			Agent:   a.env.Node.Name,
			Service: ann.Service,
			Server:  ann.ID,
			Slots:   uint32(ann.Slots),
			Busy:    uint32(a.server.running()),
		}},
	}
}

// HandleSyncReply implements poll.Node.
func (a *Agent) HandleSyncReply(rep *wire.SyncReply, freshUntil time.Time) error {
	if err := poll.ApplyConfig(a.conf, rep, freshUntil, a.env.Log); err != nil {
		return err
	}
	if a.conf.Fresh(a.env.Clock.Now()) {
		a.tasks.setWanted(rep, freshUntil)
	}
	a.mu.Lock()
	a.drainRequested = rep.Drain
	a.mu.Unlock()
	a.updateGrants()
	return nil
}
