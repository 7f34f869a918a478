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

// maxEvents bounds the events that wait for one entry. An entry that reads too
// slowly loses its stream and begins anew.
const maxEvents = 4096

// member is one entry's grant stream.
type member struct {
	id     string // unique to the stream
	entry  string
	events chan *wire.AgentEvent
	cancel context.CancelFunc
}

// grants shares the slots of the backend server among the connected entries
// and tells each of its credits.
type grants struct {
	clock kern.Clock
	log   *zap.Logger

	mu      sync.Mutex
	split   *route.Allocator
	opt     route.AllocatorOptions
	members map[string]*member
	owner   map[uint64]string // member of each credit that was handed out
	drain   bool
}

func newGrants(clock kern.Clock, log *zap.Logger) *grants {
	return &grants{
		clock: clock, log: log,
		split:   route.NewAllocator(route.AllocatorOptions{}),
		members: map[string]*member{},
		owner:   map[uint64]string{},
	}
}

// configure sets the slots and reserve, and whether new work is taken.
func (g *grants) configure(opt route.AllocatorOptions, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if opt != g.opt {
		g.opt = opt
		g.send(g.split.Resize(opt, now))
	}
	if g.drain == !open {
		return
	}
	g.drain = !open
	if open {
		g.send(g.split.Resume(now))
		return
	}
	g.send(g.split.Drain(now))
}

func (g *grants) join(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[m.id] = m
	g.send(g.split.AddEntry(m.id, g.clock.Now()))
}

func (g *grants) leave(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, m.id)
	for id, owner := range g.owner {
		if owner == m.id {
			delete(g.owner, id)
		}
	}
	g.send(g.split.RemoveEntry(m.id, g.clock.Now()))
}

// broadcast sends one event to every entry.
func (g *grants) broadcast(ev *wire.AgentEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		g.push(m, ev)
	}
}

// count returns the number of entries that share the slots.
func (g *grants) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members)
}

func (g *grants) demand(m *member, d admit.Demand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.split.SetDemand(m.id, d, g.clock.Now()))
}

// take uses up a credit. It reports whether the request may start.
func (g *grants) take(entry string, id uint64, class admit.Class) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[g.owner[id]]
	if m == nil || m.entry != entry {
		return false
	}
	delete(g.owner, id)
	steps, err := g.split.Start(id, class, g.clock.Now())
	g.send(steps)
	return err == nil
}

func (g *grants) free(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.split.Finish(id, g.clock.Now()))
}

func (g *grants) outlive(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.split.MarkLong(id, g.clock.Now()))
}

// send passes the steps on, as one event for each run of steps of one kind to
// one entry. The caller holds the lock.
func (g *grants) send(steps []route.GrantUpdate) {
	for i := 0; i < len(steps); {
		j := i + 1
		for j < len(steps) && steps[j].Kind == steps[i].Kind && steps[j].Grant.Entry == steps[i].Grant.Entry {
			j++
		}
		g.sendRun(steps[i:j])
		i = j
	}
}

func (g *grants) sendRun(steps []route.GrantUpdate) {
	m := g.members[steps[0].Grant.Entry]
	if m == nil {
		return
	}
	var ev *wire.AgentEvent
	if steps[0].Kind == route.UpdateGrant {
		ev = g.grantEvent(steps)
	} else {
		ev = g.revokeEvent(steps)
	}
	g.push(m, ev)
}

func (g *grants) push(m *member, ev *wire.AgentEvent) {
	select {
	case m.events <- ev:
	default:
		g.log.Warn("entry reads its credits too slowly; its stream is closed", zap.String("entry", m.entry))
		m.cancel()
	}
}

func (g *grants) grantEvent(steps []route.GrantUpdate) *wire.AgentEvent {
	grant := &wire.Grant{}
	for _, s := range steps {
		g.owner[s.Grant.ID] = s.Grant.Entry
		grant.Credits = append(grant.Credits, &wire.Credit{Id: s.Grant.ID, Short: s.Grant.Class == admit.ShortSlot})
	}
	return &wire.AgentEvent{Event: &wire.AgentEvent_Grant{Grant: grant}}
}

func (g *grants) revokeEvent(steps []route.GrantUpdate) *wire.AgentEvent {
	revoke := &wire.Revoke{}
	for _, s := range steps {
		delete(g.owner, s.Grant.ID)
		revoke.Credits = append(revoke.Credits, &wire.Credit{Id: s.Grant.ID, Short: s.Grant.Class == admit.ShortSlot})
	}
	return &wire.AgentEvent{Event: &wire.AgentEvent_Revoke{Revoke: revoke}}
}

// grantsDump is the state of the grants for a dump.
type grantsDump struct {
	Running admit.Count    `json:"running"`
	Reserve int            `json:"reserve"`
	Draining   bool           `json:"drain"`
	Slots   int            `json:"slots"`
	Idle    map[string]int `json:"idle"`
	At      time.Time      `json:"at"`
}

func (g *grants) dump() grantsDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := grantsDump{Running: g.split.Running(), Reserve: g.split.ReservedSlots(), Draining: g.drain, Slots: g.opt.Slots, Idle: map[string]int{}, At: g.clock.Now()}
	for id, m := range g.members {
		d.Idle[m.entry] += g.split.IdleGrants(id)
	}
	return d
}
