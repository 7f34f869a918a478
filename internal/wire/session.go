package wire

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

const (
	// A dead connection is detected after at most the sum of heartbeatInterval
	// and heartbeatTimeout.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 1200 * time.Millisecond

	maxStreamWindow = 256 << 10
	streamTimeout   = 2 * time.Second
	acceptBacklog   = 1024
)

// Sentinel errors of calls.
var (
	ErrClosed    = errors.New("session closed")
	ErrNotLeader = errors.New("not the leader")
	ErrBusy      = errors.New("no room for the request")
	ErrMethod    = errors.New("unknown method")
	ErrRemote    = errors.New("remote error")
)

// wrapClosed wraps err in ErrClosed.
func wrapClosed(err error) error { return fmt.Errorf("%w: %w", ErrClosed, err) }

// Session is an authenticated connection to one peer. Both sides open streams
// on it.
type Session struct {
	peer       Peer
	muxSession *yamux.Session

	mu      sync.Mutex
	closing bool             // the connection is closed or being closed
	streams map[*Stream]bool // open ones
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = heartbeatInterval
	cfg.ConnectionWriteTimeout = heartbeatTimeout
	cfg.MaxStreamWindowSize = maxStreamWindow
	cfg.StreamOpenTimeout = streamTimeout
	cfg.StreamCloseTimeout = streamTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Connect performs the dialling side of the handshake on c and returns the
// session. It closes c on error.
func Connect(c net.Conn, id Identity) (*Session, error) {
	return ConnectBy(c, id, time.Now().Add(handshakeTimeout))
}

// ConnectBy is Connect with a deadline for the handshake.
func ConnectBy(c net.Conn, id Identity, deadline time.Time) (*Session, error) {
	return startSession(c, id, deadline, handshakeClient, yamux.Client)
}

// Accept performs the listening side of the handshake on c and returns the
// session. It closes c on error.
func Accept(c net.Conn, id Identity) (*Session, error) {
	return startSession(c, id, time.Now().Add(handshakeTimeout), handshakeServer, yamux.Server)
}

type (
	handshakeFunc  func(net.Conn, Identity) (Peer, error)
	muxSessionFunc func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)
)

func startSession(c net.Conn, id Identity, deadline time.Time, handshake handshakeFunc, newMuxSession muxSessionFunc) (*Session, error) {
	_ = c.SetDeadline(deadline)
	peer, err := handshake(c, id)
	if err != nil {
		_ = c.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	_ = c.SetDeadline(time.Time{})
	s := &Session{peer: peer, streams: map[*Stream]bool{}}
	if s.muxSession, err = newMuxSession(&notifyingConn{Conn: c, onClose: s.unblockStreams}, muxConfig()); err != nil {
		_ = c.Close()
		return nil, errors.Wrap(err, "start session")
	}
	return s, nil
}

// Peer returns the peer at the other end.
func (s *Session) Peer() Peer { return s.peer }

// Done returns a channel that is closed when the session is lost or closed.
func (s *Session) Done() <-chan struct{} { return s.muxSession.CloseChan() }

// Close ends the session and all its streams.
func (s *Session) Close() error { return s.muxSession.Close() }

// NumStreams returns the number of open streams.
func (s *Session) NumStreams() int { return s.muxSession.NumStreams() }

// OpenStream opens a stream and sends nothing on it. The stream's deadline is
// that of ctx.
func (s *Session) OpenStream(ctx context.Context) (*Stream, error) {
	muxStream, err := s.muxSession.OpenStream()
	if err != nil {
		return nil, wrapClosed(errors.Wrapf(err, "open a stream to %s", s.peer.Name))
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = muxStream.SetDeadline(deadline)
	}
	return s.newStream(muxStream), nil
}

// newStream returns a stream of the session and keeps track of it until it is closed.
func (s *Session) newStream(muxStream *yamux.Stream) *Stream {
	st := &Stream{Stream: muxStream, session: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[st] = true
	if s.closing {
		st.interrupt()
	}
	return st
}

// acceptStream returns the next stream that the peer opens.
func (s *Session) acceptStream() (*Stream, error) {
	muxStream, err := s.muxSession.AcceptStream()
	if err != nil {
		return nil, err
	}
	return s.newStream(muxStream), nil
}

// forgetStream removes a closed stream.
func (s *Session) forgetStream(st *Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}

// unblockStreams ends all blocked reads and writes. yamux closes the streams only after its
// goroutines have ended; until then, a blocked call polls the closed session without a pause,
// which on a single processor keeps these goroutines from running.
func (s *Session) unblockStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for st := range s.streams {
		st.interrupt()
	}
}

// OpenCall opens a stream for a call of method and sends the call's first
// messages.
func (s *Session) OpenCall(ctx context.Context, method, id string, messages ...proto.Message) (*Stream, error) {
	st, err := s.OpenStream(ctx)
	if err != nil {
		return nil, err
	}
	if err := st.BeginCall(ctx, method, id, messages...); err != nil {
		_ = st.Close()
		return nil, errors.Wrapf(err, "open %s to %s", method, s.peer.Name)
	}
	return st, nil
}

func remainingMs(deadline time.Time) uint32 {
	ms := time.Until(deadline).Milliseconds()
	if ms < 1 {
		return 1
	}
	return uint32(ms)
}

// Call calls method with the request req and reads the response into resp.
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

// CallReserved is Call for a method that HandleReserved serves: the request is sent when the peer has room for it.
func (s *Session) CallReserved(ctx context.Context, method string, req, resp proto.Message) error {
	size := proto.Size(req)
	if size > MaxFrameBytes {
		return errors.Wrapf(ErrUnsendable, "message of %d bytes, at most %d", size, MaxFrameBytes)
	}
	st, err := s.OpenCall(ctx, method, "", &Reserve{Size: uint64(size)})
	if err != nil {
		return err
	}
	defer st.Reset()
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	var room Reply
	err = st.Recv(&room)
	switch {
	case err != nil:
		err = wrapClosed(err)
	case room.Code != "":
		err = &RemoteError{Code: room.Code, Text: room.Text, Leader: room.Leader}
	default:
		if err = st.Send(req); err == nil {
			err = st.readReply(resp)
		}
	}
	return errors.Wrapf(err, "call %s on %s", method, s.peer.Name)
}

// RemoteError is an error that the called peer returned. It matches ErrRemote
// and the error that its code stands for: ErrNotLeader, ErrBusy or ErrMethod.
type RemoteError struct {
	Code   string
	Text   string
	Leader string // name of the leader, with CodeNotLeader
}

// Values of the code of a RemoteError.
const (
	CodeNotLeader     = "not-leader"
	CodeUnknownMethod = "unknown-method"
	CodeRefused       = "refused"
	CodeInternal      = "internal"
	CodeConflict      = "conflict"
	CodeBusy          = "busy" // nothing of the request has been carried out
)

// Error implements error.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Text }

// Is reports whether target is ErrRemote, or the error that its code stands for.
func (e *RemoteError) Is(target error) bool {
	switch target {
	case ErrNotLeader:
		return e.Code == CodeNotLeader
	case ErrBusy:
		return e.Code == CodeBusy
	case ErrMethod:
		return e.Code == CodeUnknownMethod
	}
	return target == ErrRemote
}
