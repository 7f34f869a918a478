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
	dialTimeout       = time.Second
	defaultMinBackoff = 50 * time.Millisecond
	defaultMaxBackoff = 2 * time.Second
)

// Link maintains a session to one address. When the session is lost or can't be
// established, it dials again with exponential backoff and jitter.
type Link struct {
	addr      string
	id        Identity
	mux       *Mux
	log       *zap.Logger
	onSession func(ctx context.Context, s *Session)
	// minBackoff and maxBackoff limit the backoff between two attempts.
	minBackoff, maxBackoff time.Duration
	retryNow               chan struct{} // ends the wait between two attempts

	mu      sync.Mutex
	session *Session
	err     error         // why session is nil
	changed chan struct{} // closed and replaced when session or err is set
}

// NewLink returns a link to addr. mux serves the streams that the peer opens.
// onSession, which may be nil, is called with each new session and must return
// when its ctx is done, which is at the latest when the session is lost.
func NewLink(addr string, id Identity, mux *Mux, log *zap.Logger, onSession func(ctx context.Context, s *Session)) *Link {
	return &Link{
		addr: addr, id: id, mux: mux, log: log, onSession: onSession, minBackoff: defaultMinBackoff, maxBackoff: defaultMaxBackoff,
		retryNow: make(chan struct{}, 1), changed: make(chan struct{}),
	}
}

// WithBackoff sets the limits of the backoff between two attempts and returns
// the link. It must be called before Run.
func (l *Link) WithBackoff(minBackoff, maxBackoff time.Duration) *Link {
	l.minBackoff, l.maxBackoff = minBackoff, maxBackoff
	return l
}

// Addr returns the address that the link dials.
func (l *Link) Addr() string { return l.addr }

// Run keeps the session established until ctx is done.
func (l *Link) Run(ctx context.Context) error {
	backoff := l.minBackoff
	for ctx.Err() == nil {
		dialedAt := time.Now()
		err := l.runSession(ctx)
		if ctx.Err() != nil {
			return nil
		}
		l.setSession(nil, err)
		l.log.Debug("link down", zap.String("addr", l.addr), zap.Error(err))
		if time.Since(dialedAt) > l.maxBackoff {
			backoff = l.minBackoff
		}
		l.waitBackoff(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, l.maxBackoff)
	}
	return nil
}

// waitBackoff waits for d before the next attempt, or until RetryNow is called.
func (l *Link) waitBackoff(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-l.retryNow:
	}
}

// RetryNow ends the wait before the next attempt, so that the link dials at once.
// It is called when the peer has shown that it is reachable. It does nothing
// while there is a session.
func (l *Link) RetryNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		return
	}
	select {
	case l.retryNow <- struct{}{}:
	default:
	}
}

func (l *Link) runSession(ctx context.Context) error {
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
	l.setSession(s, nil)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if l.onSession == nil {
		return l.mux.Serve(ctx, s)
	}
	return l.serveSession(ctx, s)
}

// serveSession serves the peer's streams and runs onSession until the session is
// lost and onSession has returned.
func (l *Link) serveSession(ctx context.Context, s *Session) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.mux.Serve(ctx, s) })
	g.Go(func() error {
		l.onSession(ctx, s)
		return nil
	})
	return g.Wait()
}

// Session returns the current session, or an error that says why there is none.
func (l *Link) Session() (*Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		return l.session, nil
	}
	if l.err != nil {
		return nil, wrapClosed(errors.Wrapf(l.err, "no session to %s", l.addr))
	}
	return nil, errors.Wrapf(ErrClosed, "no session to %s yet", l.addr)
}

// Call calls method on the peer over the current session.
func (l *Link) Call(ctx context.Context, method string, req, resp proto.Message) error {
	s, err := l.Session()
	if err != nil {
		return err
	}
	return s.Call(ctx, method, req, resp)
}

func (l *Link) setSession(s *Session, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session, l.err = s, err
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that is closed when a session is established or
// lost, or an attempt fails.
func (l *Link) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
