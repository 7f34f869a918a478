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

// Default limits of a backend server, as in today's deployments.
const (
	DefaultSlots    = 8
	DefaultMaxConns = 60
)

// HeartbeatInterval is how often a backend server announces itself.
const HeartbeatInterval = time.Second

// Announcement is the JSON body that a backend server sends to the agent on its host.
type Announcement struct {
	Service string `json:"service"`
	Addr    string `json:"addr"` // where it serves, IP and port
	Slots   int    `json:"slots"`
	ID      string `json:"id"`
	Leaving bool   `json:"leaving,omitempty"`
}

// BackendConfig configures a Backend.
type BackendConfig struct {
	ID       string
	Service  string
	Slots    int     // DefaultSlots if 0
	MaxConns int     // maximum number of connections, DefaultMaxConns if 0
	Speed    float64 // factor by which work is faster than at speed 1.0; 1.0 if 0
	AgentURL string  // base URL of its agent, for example http://127.0.0.1:7401; if empty, it isn't announced
}

// withDefaults returns c with the default in place of each zero value.
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

// BackendFault describes the faults of a backend server.
type BackendFault struct {
	Fails         bool  `json:"fails"`  // responds with status 500 at once
	Frozen        bool  `json:"frozen"` // accepts requests but never responds
	CutAnswer     bool  `json:"cut"`    // closes the connection in the middle of the response
	ExtraBytes    int64 `json:"huge"`   // bytes of padding added to the response
	AnswerDelayMs int64 `json:"latems"` // milliseconds between the end of the work and the response
	NoHeartbeat   bool  `json:"mute"`   // stops announcing itself
}

// Backend is a fake backend server.
type Backend struct {
	// Journal holds every run for later checks.
	Journal Journal[Run]

	cfg            BackendConfig
	clock          Clock
	http           *http.Client
	fault          atomic.Pointer[BackendFault]
	leaving        atomic.Bool
	activeRequests atomic.Int64
	peakRequests   atomic.Int64 // highest number of concurrent requests

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

// SetFault sets the faults of the server. The zero BackendFault removes them.
func (b *Backend) SetFault(f BackendFault) { b.fault.Store(&f) }

// Peak returns the highest number of concurrent requests so far.
func (b *Backend) Peak() int { return int(b.peakRequests.Load()) }

// Active returns the number of requests in progress.
func (b *Backend) Active() int { return int(b.activeRequests.Load()) }

// Serve serves requests and announces the server until ctx is done. It then closes all
// connections at once, as if the host had failed.
func (b *Backend) Serve(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serveHTTP(ctx, ln, b.Handler(), b.connState) })
	if b.cfg.AgentURL != "" {
		g.Go(func() error { return b.heartbeat(ctx, ln.Addr().String()) })
	}
	return g.Wait()
}

// Leave announces that the server, which serves at addr, is leaving. It returns once no
// request is in progress or ctx is done. The server still serves requests meanwhile.
func (b *Backend) Leave(ctx context.Context, addr string) error {
	b.leaving.Store(true)
	if b.cfg.AgentURL != "" {
		_ = b.Announce(ctx, addr) // the heartbeat repeats it
	}
	for b.activeRequests.Load() > 0 {
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// heartbeat announces the server until ctx is done. A failed announcement is repeated
// with the next heartbeat.
func (b *Backend) heartbeat(ctx context.Context, addr string) error {
	for {
		if !b.fault.Load().NoHeartbeat {
			_ = b.Announce(ctx, addr)
		}
		if sleep(ctx, HeartbeatInterval) != nil {
			return nil
		}
	}
}

// Announce sends one announcement to the agent: that the server serves at addr, or that
// it is leaving.
func (b *Backend) Announce(ctx context.Context, addr string) error {
	body, err := json.Marshal(Announcement{Service: b.cfg.Service, Addr: addr, Slots: b.cfg.Slots, ID: b.cfg.ID, Leaving: b.leaving.Load()})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.cfg.AgentURL+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := b.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce backend server")
	}
	defer resp.Body.Close() //nolint:errcheck // the body is only read
	respBody, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("announce backend server: status %d: %s", resp.StatusCode, respBody)
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
