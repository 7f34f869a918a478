package fakes

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Mode tells what a relay does with the data of one direction.
type Mode string

// The modes of a relay.
const (
	ModePass   Mode = "pass"   // data passes after the delay
	ModeSilent Mode = "silent" // connections open and stay open, but no data passes
	ModeRefuse Mode = "refuse" // connections are reset, open ones too
)

// valid reports whether m is a mode.
func (m Mode) valid() bool { return slices.Contains([]Mode{ModePass, ModeSilent, ModeRefuse}, m) }

// RelayState tells what a relay does with its connections.
type RelayState struct {
	Up      Mode  `json:"up"`      // towards the target
	Down    Mode  `json:"down"`    // from the target
	DelayMs int64 `json:"delayms"` // milliseconds added in each direction
}

const (
	relayBufferBytes = 32 << 10 // bytes read at once
	relayQueueChunks = 64       // maximum number of chunks on their way in one direction
	relayDialTimeout = 2 * time.Second
)

// Relay relays TCP connections to a target. Its state can be changed at any time. Data in
// a silent direction is held and passes once the direction passes again, as TCP
// retransmits data after a network partition.
type Relay struct {
	target string

	mu      sync.Mutex
	state   RelayState
	changed chan struct{} // closed when state changes
	links   map[*link]struct{}
}

// NewRelay returns a relay to target that passes all data.
func NewRelay(target string) *Relay {
	return &Relay{
		target:  target,
		state:   RelayState{Up: ModePass, Down: ModePass},
		changed: make(chan struct{}),
		links:   map[*link]struct{}{},
	}
}

// Set sets the state of the relay for open and new connections.
func (r *Relay) Set(s RelayState) error {
	if !s.Up.valid() || !s.Down.valid() || s.DelayMs < 0 {
		return errors.Newf("relay: up %q, down %q, delay %d: want pass, silent or refuse, and no negative delay", s.Up, s.Down, s.DelayMs)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	close(r.changed)
	r.changed = make(chan struct{})
	if s.refuses() {
		for l := range r.links {
			l.reset()
		}
	}
	return nil
}

// SetMode sets the mode of both directions and keeps the delay.
func (r *Relay) SetMode(m Mode) error {
	s := r.State()
	s.Up, s.Down = m, m
	return r.Set(s)
}

// State returns the current state of the relay.
func (r *Relay) State() RelayState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

func (s RelayState) refuses() bool { return s.Up == ModeRefuse || s.Down == ModeRefuse }

// SilenceOpen makes the open connections silent for good, while new ones pass, as when
// a firewall between the two ends has lost its state.
func (r *Relay) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silenced.Store(true)
	}
}

// ConnCount returns the number of open connections.
func (r *Relay) ConnCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Serve relays connections until ctx is done, then closes them.
func (r *Relay) Serve(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		_ = ln.Close()
		return nil
	})
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return errors.Wrap(err, "relay")
			}
			g.Go(func() error {
				r.relayConn(ctx, c)
				return nil
			})
		}
	})
	return g.Wait()
}

// relayConn relays one connection until either end closes it.
func (r *Relay) relayConn(ctx context.Context, in net.Conn) {
	if r.State().refuses() {
		resetConn(in)
		return
	}
	d := net.Dialer{Timeout: relayDialTimeout}
	out, err := d.DialContext(ctx, "tcp", r.target)
	if err != nil {
		resetConn(in)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &link{relay: r, in: in, out: out, cancel: cancel}
	r.mu.Lock()
	refuses := r.state.refuses() // the state may have changed during the dial
	r.links[l] = struct{}{}
	r.mu.Unlock()
	if refuses {
		l.reset()
	}
	l.copyBoth(ctx)
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// awaitPassMode waits until the mode of the given direction is ModePass.
func (r *Relay) awaitPassMode(ctx context.Context, direction func(RelayState) Mode) error {
	for {
		r.mu.Lock()
		s, changed := r.state, r.changed
		r.mu.Unlock()
		if direction(s) == ModePass {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
