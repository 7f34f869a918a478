package agent

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// shareInterval is how often entries hear what teams use through other ones.
const shareInterval = 100 * time.Millisecond

// shares counts what each team runs here through each entry.
type shares struct {
	mu    sync.Mutex
	run   map[share]int // running
	total map[string]int
	sent  map[string]map[string]int // last told, by stream and team
}

// share is a team's use through one entry.
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

// news returns what the entry of a stream has not been told yet.
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

// tellShares keeps the entries told until ctx is done.
func (a *Agent) tellShares(ctx context.Context) error {
	return kern.Every(ctx, shareInterval, func() { a.grants.tell(a.shares) })
}

// tell sends each entry what it has not been told.
func (g *grants) tell(s *shares) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		for _, ev := range s.news(m.id, m.entry) {
			g.push(m, ev)
		}
	}
}
