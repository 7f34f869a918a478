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
	maxOutgoing = 4096 // messages that wait for one peer
	sendBuffer  = 64 << 10
	redialPause = 50 * time.Millisecond
)

// Transport keeps a link to each other control process, with one stream on it for
// the log. What a peer can't take is dropped; the log sends it again.
type Transport struct {
	log *zap.Logger

	mu    sync.Mutex
	peers map[string]*peer
	// unknown are names that messages were for and that no link leads to.
	unknown map[string]bool
	ctx     context.Context // of Run, once it has begun
	group   *errgroup.Group
}

// peer is another control process.
type peer struct {
	link *wire.Link
	out  chan *wire.LogMessage
	lost bool               // and logged as such; only run uses it
	stop context.CancelFunc // ends the loops, once they have begun
	idle bool               // without a session and unnamed at the last Retain
}

// New returns Streams without peers.
func New(log *zap.Logger) *Transport {
	return &Transport{log: log, peers: map[string]*peer{}, unknown: map[string]bool{}}
}

// Add adds a peer. A peer that is there already stays as it is.
func (s *Transport) Add(name string, link *wire.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.peers[name]; ok {
		return
	}
	p := &peer{link: link, out: make(chan *wire.LogMessage, maxOutgoing)}
	s.peers[name] = p
	delete(s.unknown, name)
	if s.group != nil {
		s.begin(name, p)
	}
}

// begin starts a peer's loops. The caller holds mu.
func (s *Transport) begin(name string, p *peer) {
	ctx, stop := context.WithCancel(s.ctx)
	p.stop = stop
	s.group.Go(func() error { return p.link.Run(ctx) })
	s.group.Go(func() error { return s.run(ctx, name, p) })
}

// Run serves all peers, also those added later, until ctx is done.
func (s *Transport) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	s.mu.Lock()
	s.ctx, s.group = ctx, g
	for name, p := range s.peers {
		s.begin(name, p)
	}
	s.mu.Unlock()
	// Keeps the group open for peers that are added later.
	g.Go(func() error {
		<-ctx.Done()
		return nil
	})
	return g.Wait()
}

// Retain ends the links to peers that aren't among names and have had no session, at
// this call and the one before. Their addresses may belong to other hosts by now. A
// peer that speaks again is to be added again.
func (s *Transport) Retain(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.peers {
		_, err := p.link.Session()
		unused := err != nil && !slices.Contains(names, name)
		if unused && p.idle && p.stop != nil {
			p.stop()
			delete(s.peers, name)
			s.log.Info("peer forgotten", zap.String("peer", name), zap.Error(err))
			continue
		}
		p.idle = unused
	}
}

// Link returns the link to a peer.
func (s *Transport) Link(name string) (*wire.Link, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[name]
	if !ok {
		return nil, false
	}
	return p.link, true
}

// Send implements replog.Transport.
func (s *Transport) Send(to string, m *wire.LogMessage) {
	s.mu.Lock()
	p, ok := s.peers[to]
	first := !ok && !s.unknown[to]
	if first {
		s.unknown[to] = true
	}
	s.mu.Unlock()
	if first {
		s.log.Warn("no address for a peer", zap.String("peer", to), zap.Stringer("kind", m.GetKind()))
	}
	if !ok {
		return
	}
	select {
	case p.out <- m:
	default:
	}
}

// run sends to one peer until ctx is done.
func (s *Transport) run(ctx context.Context, name string, p *peer) error {
	for ctx.Err() == nil {
		reached, err := s.stream(ctx, name, p)
		if err != nil && ctx.Err() == nil {
			s.note(name, p, reached, err)
		}
		kern.Sleep(ctx, redialPause)
	}
	return nil
}

// note logs that a peer has gone out of reach, once until it is back. Only run
// of that peer calls it.
func (s *Transport) note(name string, p *peer, reached bool, err error) {
	if p.lost && !reached {
		return
	}
	p.lost = true
	s.log.Warn("peer out of reach", zap.String("peer", name), zap.Bool("reached", reached), zap.Error(err))
}

// stream carries messages over the present session until it ends, and tells
// whether there was one.
func (s *Transport) stream(ctx context.Context, name string, p *peer) (reached bool, err error) {
	sess, err := p.link.Session()
	if err != nil {
		p.discard()
		return false, err
	}
	st, err := sess.OpenCall(context.Background(), wire.MethodLog, "")
	if err != nil {
		return false, err
	}
	p.lost = false
	s.log.Info("peer reached", zap.String("peer", name))
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	defer st.Reset()
	w := bufio.NewWriterSize(st, sendBuffer)
	for {
		select {
		case <-ctx.Done():
			return true, nil
		case <-sess.Done():
			return true, errors.New("session lost")
		case m := <-p.out:
			if err := p.write(w, m); err != nil {
				return true, err
			}
		}
	}
}

// write sends a message with all that wait behind it.
func (p *peer) write(w *bufio.Writer, m *wire.LogMessage) error {
	for {
		if err := wire.WriteMessage(w, m); err != nil {
			return err
		}
		select {
		case m = <-p.out:
		default:
			return w.Flush()
		}
	}
}

// discard drops what has become old while there was no session.
func (p *peer) discard() {
	for {
		select {
		case <-p.out:
		default:
			return
		}
	}
}

// heard lets the link to a peer that speaks be dialled at once if it is down. It may
// have waited since the peer was away.
func (s *Transport) heard(name string) {
	if link, ok := s.Link(name); ok {
		link.RetryNow()
	}
}

// Handler returns the handler of the log's streams: it hands step the messages
// of peers that have the given role.
func (s *Transport) Handler(role string, step func(m *wire.LogMessage)) wire.Handler {
	return func(_ context.Context, _ *wire.Call, st *wire.Stream) error {
		from := st.Peer()
		if from.Role != role {
			return errors.Newf("role %q sends no log messages", from.Role)
		}
		_ = st.SetReadDeadline(time.Time{})
		r := bufio.NewReaderSize(st, sendBuffer)
		for {
			m := &wire.LogMessage{}
			if err := wire.ReadMessage(r, m, wire.MaxFrameBytes); err != nil {
				return err
			}
			if m.From != from.Name {
				return errors.Newf("message of %q on the stream of %q", m.From, from.Name)
			}
			s.heard(m.From)
			step(m)
		}
	}
}
