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
	// least and most bound the delay between two tries.
	least, most time.Duration
	hurry       chan struct{} // ends a delay

	mu   sync.Mutex
	sess *Session
	err  error
	wait chan struct{} // closed when sess changes
}

// NewLink returns a link to addr that serves mux to the peer. up, which may be
// nil, runs for each new session and must return when ctx is done.
func NewLink(addr string, id Identity, mux *Mux, log *zap.Logger, up func(ctx context.Context, s *Session)) *Link {
	return &Link{
		addr: addr, id: id, mux: mux, log: log, up: up, least: minBackoff, most: maxBackoff,
		hurry: make(chan struct{}, 1), wait: make(chan struct{}),
	}
}

// WithBackoff returns the link with other delays between two tries. It is to be
// called before Run.
func (l *Link) WithBackoff(least, most time.Duration) *Link {
	l.least, l.most = least, most
	return l
}

// Addr returns the address that the link dials.
func (l *Link) Addr() string { return l.addr }

// Run dials until ctx is done.
func (l *Link) Run(ctx context.Context) error {
	backoff := l.least
	for ctx.Err() == nil {
		began := time.Now()
		err := l.once(ctx)
		if ctx.Err() != nil {
			return nil
		}
		l.set(nil, err)
		l.log.Debug("link down", zap.String("addr", l.addr), zap.Error(err))
		if time.Since(began) > l.most {
			backoff = l.least
		}
		l.rest(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, l.most)
	}
	return nil
}

// rest waits before the next try, or less if Hurry is called.
func (l *Link) rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-l.hurry:
	}
}

// RetryNow lets a link that waits for its next try dial at once: its peer has shown
// that it is there. With a session it changes nothing.
func (l *Link) RetryNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sess != nil {
		return
	}
	select {
	case l.hurry <- struct{}{}:
	default:
	}
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
