package agent

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// usageInterval is how often each entry is sent the changed counts of requests
// that teams run through the other entries.
const usageInterval = 100 * time.Millisecond

// teamUsage counts the running requests by team and entry.
type teamUsage struct {
	mu           sync.Mutex
	running      map[usageKey]int          // running requests
	runningTotal map[string]int            // running requests by team
	lastSent     map[string]map[string]int // count last sent, by stream ID and team
}

// usageKey identifies the requests of a team through one entry.
type usageKey struct{ entry, team string }

func newTeamUsage() *teamUsage {
	return &teamUsage{running: map[usageKey]int{}, runningTotal: map[string]int{}, lastSent: map[string]map[string]int{}}
}

func (u *teamUsage) add(entry, team string, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[usageKey{entry, team}] += n
	u.runningTotal[team] += n
}

// takeUpdates returns an event for each team whose count of requests through
// other entries differs from the one last sent on the stream, and marks it as
// sent.
func (u *teamUsage) takeUpdates(stream, entry string) []*wire.AgentEvent {
	u.mu.Lock()
	defer u.mu.Unlock()
	sent := u.lastSent[stream]
	if sent == nil {
		sent = map[string]int{}
		u.lastSent[stream] = sent
	}
	var events []*wire.AgentEvent
	for team, total := range u.runningTotal {
		elsewhere := total - u.running[usageKey{entry, team}]
		if elsewhere == sent[team] {
			continue
		}
		sent[team] = elsewhere
		events = append(events, &wire.AgentEvent{Event: &wire.AgentEvent_Elsewhere{
			Elsewhere: &wire.Elsewhere{Team: team, Running: uint32(elsewhere)},
		}})
	}
	return events
}

func (u *teamUsage) removeStream(stream string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.lastSent, stream)
}

// sendUsage sends changed counts to the entries until ctx is done.
func (a *Agent) sendUsage(ctx context.Context) error {
	return kern.Every(ctx, usageInterval, func() { a.grants.sendUsage(a.usage) })
}

// sendUsage sends each entry the counts that changed since the last call.
func (g *grants) sendUsage(u *teamUsage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gs := range g.streams {
		for _, ev := range u.takeUpdates(gs.id, gs.entry) {
			g.enqueue(gs, ev)
		}
	}
}
