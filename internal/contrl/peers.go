package contrl

import (
	"bufio"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	maxOutgoing = 4096
	sendBuffer  = 64 << 10
	redialPause = 50 * time.Millisecond
)

// transport carries the log's messages to the other control processes, each on
// one stream. What a peer can't take is dropped; the log sends it again.
type transport struct {
	links map[string]*wire.Link
	log   *zap.Logger
	out   map[string]chan *wire.LogMessage
}

func newTransport(links map[string]*wire.Link, log *zap.Logger) *transport {
	t := &transport{links: links, log: log, out: map[string]chan *wire.LogMessage{}}
	for name := range links {
		t.out[name] = make(chan *wire.LogMessage, maxOutgoing)
	}
	return t
}

// Send implements replog.Transport.
func (t *transport) Send(to string, m *wire.LogMessage) {
	select {
	case t.out[to] <- m:
	default:
	}
}

// run sends to one peer until ctx is done.
func (t *transport) run(ctx context.Context, name string) error {
	for ctx.Err() == nil {
		if err := t.stream(ctx, name); err != nil && ctx.Err() == nil {
			t.log.Debug("log stream ended", zap.String("peer", name), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
	return nil
}

func (t *transport) stream(ctx context.Context, name string) error {
	s, err := t.links[name].Session()
	if err != nil {
		t.discard(name)
		return err
	}
	st, err := s.Open(context.Background(), wire.MethodLog, "")
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	defer st.Reset()
	w := bufio.NewWriterSize(st, sendBuffer)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.Done():
			return errors.New("session lost")
		case m := <-t.out[name]:
			if err := t.write(w, name, m); err != nil {
				return err
			}
		}
	}
}

// write sends a message with all that wait behind it.
func (t *transport) write(w *bufio.Writer, name string, m *wire.LogMessage) error {
	for {
		if err := wire.WriteMessage(w, m); err != nil {
			return err
		}
		select {
		case m = <-t.out[name]:
		default:
			return w.Flush()
		}
	}
}

// discard drops what has become old while there was no session.
func (t *transport) discard(name string) {
	for {
		select {
		case <-t.out[name]:
		default:
			return
		}
	}
}

// handleLog takes the messages of one peer.
func (c *Control) handleLog(_ context.Context, _ *wire.Call, st *wire.Stream) error {
	peer := st.Peer()
	if peer.Role != RoleName {
		return errors.Newf("role %q sends no log messages", peer.Role)
	}
	_ = st.SetReadDeadline(time.Time{})
	r := bufio.NewReaderSize(st, sendBuffer)
	for {
		m := &wire.LogMessage{}
		if err := wire.ReadMessage(r, m, wire.MaxFrame); err != nil {
			return err
		}
		if m.From != peer.Name {
			return errors.Newf("message of %q on the stream of %q", m.From, peer.Name)
		}
		c.node.Step(m)
	}
}
