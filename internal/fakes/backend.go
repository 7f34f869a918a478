package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Sizes of a backend server, from the sizes of today.
const (
	DefaultSlots = 8
	DefaultMaxConns = 60
)

// HeartbeatInterval is how often a backend server announces itself.
const HeartbeatInterval = time.Second

// Announcement is what a backend server tells the agent beside it.
type Announcement struct {
	Service string `json:"service"`
	Addr    string `json:"addr"` // where it serves, IP and port
	Slots   int    `json:"slots"`
	ID      string `json:"id"`
	Leaving bool   `json:"leaving,omitempty"`
}

// BackendConfig says what a backend server is like.
type BackendConfig struct {
	ID      string
	Service string
	Slots   int     // DefaultSlots if 0
	MaxConns   int     // connections at most, DefaultConns if 0
	Speed   float64 // 1.0 if 0
	AgentURL   string  // base URL of its agent, for example http://127.0.0.1:7401; empty to stay unannounced
}

// withDefaults fills in what is 0.
func (c BackendConfig) withDefaults() BackendConfig {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.MaxConns == 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.Speed == 0 {
		c.Speed = 1
	}
	return c
}

// BackendFault is what is wrong with a backend server.
type BackendFault struct {
	Fails  bool  `json:"fails"`  // answers 500 at once
	Frozen bool  `json:"frozen"` // takes requests and never answers
	CutAnswer    bool  `json:"cut"`    // breaks the connection in the middle of the answer
	ExtraBytes   int64 `json:"huge"`   // bytes added to the answer
	AnswerDelayMs int64 `json:"latems"` // milliseconds between the end of the work and the answer
	NoHeartbeat   bool  `json:"mute"`   // stops announcing itself
}

// Backend is a stand-in of a backend server.
type Backend struct {
	// Journal holds every run, for checks afterwards.
	Journal Journal[Run]

	cfg    BackendConfig
	clock  Clock
	http   *http.Client
	fault  atomic.Pointer[BackendFault]
	leave  atomic.Bool
	active atomic.Int64
	peak   atomic.Int64 // requests worked on at once, at most

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewBackend returns a backend server.
func NewBackend(cfg BackendConfig, clock Clock) *Backend {
	b := &Backend{
		cfg:   cfg.withDefaults(),
		clock: clock,
		http:  &http.Client{Timeout: HeartbeatInterval},
		conns: map[net.Conn]struct{}{},
	}
	b.fault.Store(&BackendFault{})
	return b
}

// SetFault changes what is wrong with the server. The zero BackendFault heals it.
func (b *Backend) SetFault(f BackendFault) { b.fault.Store(&f) }

// Peak returns the largest number of requests that it worked on at once.
func (b *Backend) Peak() int { return int(b.peak.Load()) }

// Active returns the number of requests that it works on now.
func (b *Backend) Active() int { return int(b.active.Load()) }

// Serve answers requests and announces itself until ctx is done, then cuts off
// what runs, as a host that fails would.
func (b *Backend) Serve(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serveHTTP(ctx, ln, b.Handler(), b.connState) })
	if b.cfg.AgentURL != "" {
		g.Go(func() error { return b.heartbeat(ctx, ln.Addr().String()) })
	}
	return g.Wait()
}

// Leave announces that the server, which serves at addr, leaves. It returns once
// its running requests have ended or ctx is done and still answers meanwhile.
func (b *Backend) Leave(ctx context.Context, addr string) error {
	b.leave.Store(true)
	if b.cfg.AgentURL != "" {
		_ = b.Announce(ctx, addr) // the heartbeat says it again
	}
	for b.active.Load() > 0 {
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// heartbeat announces the server until ctx is done. An agent that doesn't answer
// is tried again with the next heartbeat.
func (b *Backend) heartbeat(ctx context.Context, addr string) error {
	for {
		if !b.fault.Load().NoHeartbeat {
			_ = b.Announce(ctx, addr)
		}
		if pause(ctx, HeartbeatInterval) != nil {
			return nil
		}
	}
}

// Announce tells the agent once that the server serves at addr, or that it
// leaves.
func (b *Backend) Announce(ctx context.Context, addr string) error {
	text, err := json.Marshal(Announcement{Service: b.cfg.Service, Addr: addr, Slots: b.cfg.Slots, ID: b.cfg.ID, Leaving: b.leave.Load()})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.cfg.AgentURL+"/v1/announce", bytes.NewReader(text))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := b.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "announcing")
	}
	defer resp.Body.Close() //nolint:errcheck // only read from
	answer, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("announcing: status %d: %s", resp.StatusCode, answer)
	}
	return nil
}

// connState closes connections beyond the limit.
func (b *Backend) connState(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case http.StateNew:
		if len(b.conns) >= b.cfg.MaxConns {
			_ = c.Close()
			return
		}
		b.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, c)
	default:
	}
}
