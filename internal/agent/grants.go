package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/route"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// maxQueuedEvents limits the events queued for one entry. The stream of an
// entry that reads too slowly is closed, and the entry has to reconnect.
const maxQueuedEvents = 4096

// grantStream is the grant stream of one entry.
type grantStream struct {
	id     string // unique per stream
	entry  string
	events chan *wire.AgentEvent
	cancel context.CancelFunc
}

// grants divides the slots of the backend server among the connected entries
// and sends each entry the credits that it is granted. A credit allows one
// request.
type grants struct {
	clock kern.Clock
	log   *zap.Logger

	mu        sync.Mutex
	allocator *route.Allocator
	options   route.AllocatorOptions
	streams   map[string]*grantStream
	streamOf  map[uint64]string // stream ID by credit that was granted
	draining  bool              // no credits are granted
}

func newGrants(clock kern.Clock, log *zap.Logger) *grants {
	return &grants{
		clock: clock, log: log,
		allocator: route.NewAllocator(route.AllocatorOptions{}),
		streams:   map[string]*grantStream{},
		streamOf:  map[uint64]string{},
	}
}

// configure sets the slots and the reserve, and whether credits are granted.
func (g *grants) configure(opt route.AllocatorOptions, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if opt != g.options {
		g.options = opt
		g.sendUpdates(g.allocator.Resize(opt, now))
	}
	if g.draining == !open {
		return
	}
	g.draining = !open
	if open {
		g.sendUpdates(g.allocator.Resume(now))
		return
	}
	g.sendUpdates(g.allocator.Drain(now))
}

func (g *grants) addStream(gs *grantStream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streams[gs.id] = gs
	g.sendUpdates(g.allocator.AddEntry(gs.id, g.clock.Now()))
}

func (g *grants) removeStream(gs *grantStream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams, gs.id)
	for id, streamID := range g.streamOf {
		if streamID == gs.id {
			delete(g.streamOf, id)
		}
	}
	g.sendUpdates(g.allocator.RemoveEntry(gs.id, g.clock.Now()))
}

// broadcast sends one event to every entry.
func (g *grants) broadcast(ev *wire.AgentEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gs := range g.streams {
		g.enqueue(gs, ev)
	}
}

// count returns the number of connected grant streams.
func (g *grants) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.streams)
}

func (g *grants) setDemand(gs *grantStream, d admit.Demand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sendUpdates(g.allocator.SetDemand(gs.id, d, g.clock.Now()))
}

// useCredit uses up a credit and reports whether its request may start.
func (g *grants) useCredit(entry string, id uint64, class admit.Class) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	gs := g.streams[g.streamOf[id]]
	if gs == nil || gs.entry != entry {
		return false
	}
	delete(g.streamOf, id)
	updates, err := g.allocator.Start(id, class, g.clock.Now())
	g.sendUpdates(updates)
	return err == nil
}

func (g *grants) release(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sendUpdates(g.allocator.Finish(id, g.clock.Now()))
}

func (g *grants) reclassifyAsLong(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sendUpdates(g.allocator.MarkLong(id, g.clock.Now()))
}

// sendUpdates queues the updates for the entries. Consecutive updates of the same
// kind for the same entry share one event. The caller holds g.mu.
func (g *grants) sendUpdates(updates []route.GrantUpdate) {
	for i := 0; i < len(updates); {
		j := i + 1
		for j < len(updates) && updates[j].Kind == updates[i].Kind && updates[j].Grant.Entry == updates[i].Grant.Entry {
			j++
		}
		g.sendBatch(updates[i:j])
		i = j
	}
}

func (g *grants) sendBatch(updates []route.GrantUpdate) {
	gs := g.streams[updates[0].Grant.Entry]
	if gs == nil {
		return
	}
	var ev *wire.AgentEvent
	if updates[0].Kind == route.UpdateGrant {
		ev = g.grantEvent(updates)
	} else {
		ev = g.revokeEvent(updates)
	}
	g.enqueue(gs, ev)
}

func (g *grants) enqueue(gs *grantStream, ev *wire.AgentEvent) {
	select {
	case gs.events <- ev:
	default:
		g.log.Warn("entry reads its credits too slowly; its stream is closed", zap.String("entry", gs.entry))
		gs.cancel()
	}
}

func (g *grants) grantEvent(updates []route.GrantUpdate) *wire.AgentEvent {
	grant := &wire.Grant{}
	for _, u := range updates {
		g.streamOf[u.Grant.ID] = u.Grant.Entry
		grant.Credits = append(grant.Credits, &wire.Credit{Id: u.Grant.ID, Short: u.Grant.Class == admit.ShortSlot})
	}
	return &wire.AgentEvent{Event: &wire.AgentEvent_Grant{Grant: grant}}
}

func (g *grants) revokeEvent(updates []route.GrantUpdate) *wire.AgentEvent {
	revoke := &wire.Revoke{}
	for _, u := range updates {
		delete(g.streamOf, u.Grant.ID)
		revoke.Credits = append(revoke.Credits, &wire.Credit{Id: u.Grant.ID, Short: u.Grant.Class == admit.ShortSlot})
	}
	return &wire.AgentEvent{Event: &wire.AgentEvent_Revoke{Revoke: revoke}}
}

// grantsDump is the part of a dump about the grants.
type grantsDump struct {
	Running  admit.Count    `json:"running"`
	Reserve  int            `json:"reserve"`
	Draining bool           `json:"drain"`
	Slots    int            `json:"slots"`
	Idle     map[string]int `json:"idle"`
	At       time.Time      `json:"at"`
}

func (g *grants) dump() grantsDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := grantsDump{Running: g.allocator.Running(), Reserve: g.allocator.ReservedSlots(), Draining: g.draining, Slots: g.options.Slots, Idle: map[string]int{}, At: g.clock.Now()}
	for id, gs := range g.streams {
		d.Idle[gs.entry] += g.allocator.IdleGrants(id)
	}
	return d
}
