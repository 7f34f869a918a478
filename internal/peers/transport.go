// Package peers carries the messages of the replicated log between control
// processes.
package peers

import (
	"bufio"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	maxQueued  = 4096                  // most queued messages for one peer
	bufferSize = 64 << 10              // bytes of the buffers for sending and receiving
	retryPause = 50 * time.Millisecond // between two attempts to open a stream
)

// Transport keeps a link to each other control process, with one stream on it for the
// messages of the log. Messages that can't be queued or sent are dropped; the log
// repeats them.
type Transport struct {
	log *zap.Logger

	mu    sync.Mutex
	peers map[string]*peer
	// unknownRecipients holds the recipients of messages for which there is no link.
	unknownRecipients map[string]bool
	runCtx            context.Context // context of Run; nil before Run is called
	group             *errgroup.Group // goroutines of Run; nil before Run is called
}

// peer is another control process.
type peer struct {
	link       *wire.Link
	queue      chan *wire.LogMessage // messages to send
	loggedLost bool                  // unreachable and logged as such; used only by the goroutine of runPeer
	cancel     context.CancelFunc    // ends the peer's goroutines; nil before they are started
	unused     bool                  // had no session and was not named at the last Retain
}

// New returns a Transport without peers.
func New(log *zap.Logger) *Transport {
	return &Transport{log: log, peers: map[string]*peer{}, unknownRecipients: map[string]bool{}}
}

// Add adds a peer. It does nothing if there is a peer of that name.
func (t *Transport) Add(name string, link *wire.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.peers[name]; ok {
		return
	}
	p := &peer{link: link, queue: make(chan *wire.LogMessage, maxQueued)}
	t.peers[name] = p
	delete(t.unknownRecipients, name)
	if t.group != nil {
		t.startPeer(name, p)
	}
}

// startPeer starts the goroutines of a peer. The caller holds mu.
func (t *Transport) startPeer(name string, p *peer) {
	ctx, cancel := context.WithCancel(t.runCtx)
	p.cancel = cancel
	t.group.Go(func() error { return p.link.Run(ctx) })
	t.group.Go(func() error { return t.runPeer(ctx, name, p) })
}

// Run serves all peers, also those added later, until ctx is done.
func (t *Transport) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	t.mu.Lock()
	t.runCtx, t.group = ctx, g
	for name, p := range t.peers {
		t.startPeer(name, p)
	}
	t.mu.Unlock()
	// Keeps Wait from returning before peers are added.
	g.Go(func() error {
		<-ctx.Done()
		return nil
	})
	return g.Wait()
}

// Retain removes the peers that at this call and at the one before were not among
// names and had no session. Their addresses may belong to other hosts by now. A peer
// that sends messages again must be added again.
func (t *Transport) Retain(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		_, err := p.link.Session()
		unused := err != nil && !slices.Contains(names, name)
		if unused && p.unused && p.cancel != nil {
			p.cancel()
			delete(t.peers, name)
			t.log.Info("peer removed", zap.String("peer", name), zap.Error(err))
			continue
		}
		p.unused = unused
	}
}

// Link returns the link to a peer.
func (t *Transport) Link(name string) (*wire.Link, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[name]
	if !ok {
		return nil, false
	}
	return p.link, true
}

// Send queues a message for a peer, or drops it if the queue is full or the peer is
// unknown. It implements replog.Transport.
func (t *Transport) Send(to string, m *wire.LogMessage) {
	t.mu.Lock()
	p, ok := t.peers[to]
	first := !ok && !t.unknownRecipients[to]
	if first {
		t.unknownRecipients[to] = true
	}
	t.mu.Unlock()
	if first {
		t.log.Warn("no address for a peer", zap.String("peer", to), zap.Stringer("kind", m.GetKind()))
	}
	if !ok {
		return
	}
	select {
	case p.queue <- m:
	default:
	}
}

// runPeer keeps a stream to one peer and sends its messages until ctx is done.
func (t *Transport) runPeer(ctx context.Context, name string, p *peer) error {
	for ctx.Err() == nil {
		reached, err := t.sendStream(ctx, name, p)
		if err != nil && ctx.Err() == nil {
			t.logUnreachable(name, p, reached, err)
		}
		kern.Sleep(ctx, retryPause)
	}
	return nil
}

// logUnreachable logs that a peer is unreachable, but not again until it has been reached. It is
// called only by the goroutine of runPeer.
func (t *Transport) logUnreachable(name string, p *peer, reached bool, err error) {
	if p.loggedLost && !reached {
		return
	}
	p.loggedLost = true
	t.log.Warn("peer out of reach", zap.String("peer", name), zap.Bool("reached", reached), zap.Error(err))
}

// sendStream opens a stream on the current session and sends messages on it until the
// session ends. It reports whether the stream could be opened.
func (t *Transport) sendStream(ctx context.Context, name string, p *peer) (reached bool, err error) {
	sess, err := p.link.Session()
	if err != nil {
		p.discardQueued()
		return false, err
	}
	st, err := sess.OpenCall(context.Background(), wire.MethodLog, "")
	if err != nil {
		return false, err
	}
	p.loggedLost = false
	t.log.Info("peer reached", zap.String("peer", name))
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	defer st.Reset()
	w := bufio.NewWriterSize(st, bufferSize)
	for {
		select {
		case <-ctx.Done():
			return true, nil
		case <-sess.Done():
			return true, errors.New("session lost")
		case m := <-p.queue:
			if err := p.writeQueued(w, m); err != nil {
				return true, err
			}
		}
	}
}

// writeQueued sends m and all messages queued after it.
func (p *peer) writeQueued(w *bufio.Writer, m *wire.LogMessage) error {
	for {
		if err := wire.WriteMessage(w, m); err != nil {
			return err
		}
		select {
		case m = <-p.queue:
		default:
			return w.Flush()
		}
	}
}

// discardQueued drops the queued messages, which are out of date when there is a session
// again.
func (p *peer) discardQueued() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

// reconnect makes the link to a peer that sent a message reconnect at once if it is down.
// Otherwise it would wait for the end of its backoff.
func (t *Transport) reconnect(name string) {
	if link, ok := t.Link(name); ok {
		link.RetryNow()
	}
}

// Handler returns the handler of the streams of the log. It calls deliver for each
// message of a peer that has the given role.
func (t *Transport) Handler(role string, deliver func(m *wire.LogMessage)) wire.Handler {
	return func(_ context.Context, _ *wire.Call, st *wire.Stream) error {
		from := st.Peer()
		if from.Role != role {
			return errors.Newf("role %q may not send log messages", from.Role)
		}
		_ = st.SetReadDeadline(time.Time{})
		r := bufio.NewReaderSize(st, bufferSize)
		for {
			m := &wire.LogMessage{}
			if err := wire.ReadMessage(r, m, wire.MaxFrameBytes); err != nil {
				return err
			}
			if m.From != from.Name {
				return errors.Newf("message of %q on the stream of %q", m.From, from.Name)
			}
			t.reconnect(m.From)
			deliver(m)
		}
	}
}
