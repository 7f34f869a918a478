package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

const (
	dialTimeout = time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// Link keeps a session to one address. When the session is lost, it dials
// anew with a jittered exponential delay.
type Link struct {
	addr string
	id   Identity
	mux  *Mux
	log  *zap.Logger
	up   func(ctx context.Context, s *Session)

	mu   sync.Mutex
	sess *Session
	err  error
	wait chan struct{} // closed when sess changes

	wake chan struct{} // ends the pause before the next dial
}

// NewLink returns a link to addr that serves mux to the peer. up, which may be
// nil, runs for each new session and must return when ctx is done.
func NewLink(addr string, id Identity, mux *Mux, log *zap.Logger, up func(ctx context.Context, s *Session)) *Link {
	return &Link{addr: addr, id: id, mux: mux, log: log, up: up, wait: make(chan struct{}), wake: make(chan struct{})}
}

// Addr returns the address that the link dials.
func (l *Link) Addr() string { return l.addr }

// Run dials until ctx is done.
func (l *Link) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := l.once(ctx)
		if ctx.Err() != nil {
			return nil
		}
		l.set(nil, err)
		l.log.Debug("link down", zap.String("addr", l.addr), zap.Error(err))
		if time.Since(began) > maxBackoff {
			backoff = minBackoff
		}
		if l.pause(ctx, backoff/2+rand.N(backoff)) {
			backoff = minBackoff
			continue
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// Wake dials at once if the link pauses between two dials. It is for an owner
// that has just heard from the peer in another way.
func (l *Link) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// pause waits for d, and reports whether Wake ended it.
func (l *Link) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-l.wake:
		return true
	}
	return false
}

func (l *Link) once(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	s, err := Connect(c, l.id)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	l.set(s, nil)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if l.up == nil {
		return l.mux.Serve(ctx, s)
	}
	return l.serveWith(ctx, s)
}

// serveWith serves the peer's streams while up runs, and ends both together.
func (l *Link) serveWith(ctx context.Context, s *Session) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.mux.Serve(ctx, s) })
	g.Go(func() error {
		l.up(ctx, s)
		return nil
	})
	return g.Wait()
}

// Session returns the session, or an error that says why there is none.
func (l *Link) Session() (*Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sess != nil {
		return l.sess, nil
	}
	if l.err != nil {
		return nil, closed(errors.Wrapf(l.err, "no session to %s", l.addr))
	}
	return nil, errors.Wrapf(ErrClosed, "no session to %s yet", l.addr)
}

// Call calls method on the peer.
func (l *Link) Call(ctx context.Context, method string, req, resp proto.Message) error {
	s, err := l.Session()
	if err != nil {
		return err
	}
	return s.Call(ctx, method, req, resp)
}

func (l *Link) set(s *Session, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sess, l.err = s, err
	close(l.wait)
	l.wait = make(chan struct{})
}

// Changed returns a channel that is closed when the session comes or goes.
func (l *Link) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wait
}
