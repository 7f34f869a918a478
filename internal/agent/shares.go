package agent

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// shareInterval is how often each entry is sent the changed counts of requests
// that teams run through the other entries.
const shareInterval = 100 * time.Millisecond

// shares counts the running requests by team and entry.
type shares struct {
	mu    sync.Mutex
	run   map[share]int             // running requests
	total map[string]int            // running requests by team
	sent  map[string]map[string]int // count last sent, by stream ID and team
}

// share identifies the requests of a team through one entry.
type share struct{ entry, team string }

func newShares() *shares {
	return &shares{run: map[share]int{}, total: map[string]int{}, sent: map[string]map[string]int{}}
}

func (s *shares) add(entry, team string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run[share{entry, team}] += n
	s.total[team] += n
}

// news returns an event for each team whose count of requests through other
// entries differs from the one last sent on the stream, and marks it as sent.
func (s *shares) news(stream, entry string) []*wire.AgentEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sent[stream]
	if sent == nil {
		sent = map[string]int{}
		s.sent[stream] = sent
	}
	var out []*wire.AgentEvent
	for team, total := range s.total {
		other := total - s.run[share{entry, team}]
		if other == sent[team] {
			continue
		}
		sent[team] = other
		out = append(out, &wire.AgentEvent{Event: &wire.AgentEvent_Elsewhere{
			Elsewhere: &wire.Elsewhere{Team: team, Running: uint32(other)},
		}})
	}
	return out
}

func (s *shares) forget(stream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sent, stream)
}

// tellShares sends changed counts to the entries until ctx is done.
func (a *Agent) tellShares(ctx context.Context) error {
	return kern.Every(ctx, shareInterval, func() { a.grants.tell(a.shares) })
}

// tell sends each entry the counts that changed since the last call.
func (g *grants) tell(s *shares) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		for _, ev := range s.news(m.id, m.entry) {
			g.push(m, ev)
		}
	}
}
