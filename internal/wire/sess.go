package wire

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

const (
	// heartbeatInterval and heartbeatTimeout bound how long a silent
	// connection stays unnoticed to their sum.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 1200 * time.Millisecond

	streamWindow  = 256 << 10
	openTimeout   = 2 * time.Second
	acceptBacklog = 1024
)

// Sentinel errors of calls.
var (
	ErrClosed    = errors.New("session closed")
	ErrNotLeader = errors.New("not the leader")
	ErrRemote    = errors.New("remote error")
)

// closed tells that err means the loss of a session.
func closed(err error) error { return fmt.Errorf("%w: %w", ErrClosed, err) }

// Session is a connection to one peer that carries many streams both ways.
type Session struct {
	peer Peer
	mux  *yamux.Session
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = heartbeatInterval
	cfg.ConnectionWriteTimeout = heartbeatTimeout
	cfg.MaxStreamWindowSize = streamWindow
	cfg.StreamOpenTimeout = openTimeout
	cfg.StreamCloseTimeout = openTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Connect proves this process over c and returns the session. c is closed on
// error.
func Connect(c net.Conn, id Identity) (*Session, error) {
	return ConnectBy(c, id, time.Now().Add(handshakeTimeout))
}

// ConnectBy is Connect with a deadline for the peer's proof.
func ConnectBy(c net.Conn, id Identity, deadline time.Time) (*Session, error) {
	return start(c, id, deadline, handshakeClient, yamux.Client)
}

// Accept checks the peer that dialled c and returns the session. c is closed
// on error.
func Accept(c net.Conn, id Identity) (*Session, error) {
	return start(c, id, time.Now().Add(handshakeTimeout), handshakeServer, yamux.Server)
}

type (
	handshakeFunc func(net.Conn, Identity) (Peer, error)
	muxFunc       func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)
)

func start(c net.Conn, id Identity, deadline time.Time, shake handshakeFunc, mux muxFunc) (*Session, error) {
	_ = c.SetDeadline(deadline)
	peer, err := shake(c, id)
	if err != nil {
		_ = c.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	_ = c.SetDeadline(time.Time{})
	m, err := mux(c, muxConfig())
	if err != nil {
		_ = c.Close()
		return nil, errors.Wrap(err, "start session")
	}
	return &Session{peer: peer, mux: m}, nil
}

// Peer returns who is at the other end.
func (s *Session) Peer() Peer { return s.peer }

// Done is closed once the session is lost or closed.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// Close ends the session and all its streams.
func (s *Session) Close() error { return s.mux.Close() }

// NumStreams returns how many streams are open.
func (s *Session) NumStreams() int { return s.mux.NumStreams() }

// OpenStream opens a stream on which nothing was sent yet. Its deadline is that of
// ctx.
func (s *Session) OpenStream(ctx context.Context) (*Stream, error) {
	ys, err := s.mux.OpenStream()
	if err != nil {
		return nil, closed(errors.Wrapf(err, "open a stream to %s", s.peer.Name))
	}
	if dl, ok := ctx.Deadline(); ok {
		_ = ys.SetDeadline(dl)
	}
	return &Stream{Stream: ys, peer: s.peer}, nil
}

// OpenCall opens a stream for method and sends the first messages of it.
func (s *Session) OpenCall(ctx context.Context, method, id string, first ...proto.Message) (*Stream, error) {
	st, err := s.OpenStream(ctx)
	if err != nil {
		return nil, err
	}
	if err := st.BeginCall(ctx, method, id, first...); err != nil {
		_ = st.Close()
		return nil, errors.Wrapf(err, "open %s to %s", method, s.peer.Name)
	}
	return st, nil
}

// BeginCall names the method that the stream is for, and sends the first messages
// with it.
func (st *Stream) BeginCall(ctx context.Context, method, id string, first ...proto.Message) error {
	call := &Call{Method: method, Id: id}
	if dl, ok := ctx.Deadline(); ok {
		call.Remainms = remainMs(dl)
	}
	return st.Send(append([]proto.Message{call}, first...)...)
}

func remainMs(deadline time.Time) uint32 {
	ms := time.Until(deadline).Milliseconds()
	if ms < 1 {
		return 1
	}
	return uint32(ms)
}

// Call sends req to method and waits for resp.
func (s *Session) Call(ctx context.Context, method string, req, resp proto.Message) error {
	st, err := s.OpenCall(ctx, method, "", req)
	if err != nil {
		return err
	}
	defer st.Reset()
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	if err := st.readReply(resp); err != nil {
		return errors.Wrapf(err, "call %s on %s", method, s.peer.Name)
	}
	return nil
}

// Stream carries the messages of one call.
type Stream struct {
	*yamux.Stream
	peer Peer
}

// Peer returns who is at the other end.
func (st *Stream) Peer() Peer { return st.peer }

// Send writes messages, with a single Write.
func (st *Stream) Send(ms ...proto.Message) error { return WriteMessages(st.Stream, ms...) }

// Recv reads one message.
func (st *Stream) Recv(m proto.Message) error { return ReadMessage(st.Stream, m, MaxFrameBytes) }

// Reset closes the stream at once. A peer that still reads gets an error or
// the end of the stream.
func (st *Stream) Reset() {
	_ = st.SetDeadline(time.Unix(1, 0))
	_ = st.Close()
}

func (st *Stream) readReply(resp proto.Message) error {
	var rep Reply
	if err := st.Recv(&rep); err != nil {
		return closed(err)
	}
	if rep.Code != "" {
		return &RemoteError{Code: rep.Code, Text: rep.Text, Leader: rep.Leader}
	}
	if err := st.Recv(resp); err != nil {
		return closed(err)
	}
	return nil
}

// RemoteError is a refusal by the peer that was called.
type RemoteError struct {
	Code   string
	Text   string
	Leader string // name of the leader, with CodeNotLeader
}

// Codes of a RemoteError.
const (
	CodeNotLeader = "not-leader"
	CodeUnknownMethod   = "unknown-method"
	CodeRefused   = "refused"
	CodeInternal  = "internal"
	CodeConflict  = "conflict"
)

// Error implements error.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Text }

// Is reports whether target is the sentinel of the error's code.
func (e *RemoteError) Is(target error) bool {
	if target == ErrNotLeader {
		return e.Code == CodeNotLeader
	}
	return target == ErrRemote
}
