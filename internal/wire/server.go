package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

const (
	firstMessageTimeout = 5 * time.Second
	acceptPause         = 20 * time.Millisecond
)

// Handler serves one stream. The server closes the stream when it returns.
type Handler func(ctx context.Context, call *Call, st *Stream) error

// Mux serves the streams that peers open, by method.
type Mux struct {
	log      *zap.Logger
	handlers map[string]Handler
}

// NewMux returns an empty Mux.
func NewMux(log *zap.Logger) *Mux {
	return &Mux{log: log, handlers: map[string]Handler{}}
}

// Handle registers h for method. All methods are registered before serving.
func (m *Mux) Handle(method string, h Handler) { m.handlers[method] = h }

// HandleCall registers a unary call: one request, one reply.
func HandleCall[Req, Resp any, PReq interface {
	*Req
	proto.Message
}, PResp interface {
	*Resp
	proto.Message
}](m *Mux, method string, f func(ctx context.Context, peer Peer, req PReq) (PResp, error)) {
	m.Handle(method, func(ctx context.Context, call *Call, st *Stream) error {
		req := PReq(new(Req))
		if err := st.Recv(req); err != nil {
			return err
		}
		if call.Remainms > 0 {
			dl := time.Now().Add(time.Duration(call.Remainms) * time.Millisecond)
			_ = st.SetDeadline(dl)
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, dl)
			defer cancel()
		}
		resp, err := f(ctx, st.Peer(), req)
		if err != nil {
			return st.Send(replyOf(err))
		}
		return st.Send(&Reply{}, resp)
	})
}

func replyOf(err error) *Reply {
	var re *RemoteError
	if errors.As(err, &re) {
		return &Reply{Code: re.Code, Text: re.Text, Leader: re.Leader}
	}
	return &Reply{Code: CodeInternal, Text: err.Error()}
}

// Serve accepts the streams of s until it is lost or ctx is done.
func (m *Mux) Serve(ctx context.Context, s *Session) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	var g errgroup.Group
	defer func() { _ = g.Wait() }()
	defer cancel()
	for {
		ys, err := s.mux.AcceptStream()
		if err != nil {
			return closed(err)
		}
		st := &Stream{Stream: ys, peer: s.peer}
		g.Go(func() error {
			m.serveStream(ctx, st)
			return nil
		})
	}
}

func (m *Mux) serveStream(ctx context.Context, st *Stream) {
	defer func() { _ = st.Close() }()
	_ = st.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	var call Call
	if err := ReadMessage(st, &call, MaxHandshakeBytes); err != nil {
		m.log.Debug("stream without a call", zap.String("peer", st.peer.Name), zap.Error(err))
		return
	}
	h, ok := m.handlers[call.Method]
	if !ok {
		_ = st.Send(&Reply{Code: CodeUnknownMethod, Text: call.Method})
		return
	}
	if err := h(ctx, &call, st); err != nil && ctx.Err() == nil {
		m.log.Debug("call ended with an error", zap.String("method", call.Method),
			zap.String("id", call.Id), zap.String("peer", st.peer.Name), zap.Error(err))
	}
}

// Server accepts connections from peers that prove who they are.
type Server struct {
	id   Identity
	mux  *Mux
	log  *zap.Logger
	keep func(*Session) (release func(), err error)

	mu    sync.Mutex
	conns int
}

// maxPending bounds the connections that have not proved who they are.
const maxPending = 256

// NewServer returns a server. keep, which may be nil, is told of each session
// before it is served and may refuse it; release runs when it has ended.
func NewServer(id Identity, mux *Mux, log *zap.Logger, keep func(*Session) (release func(), err error)) *Server {
	return &Server{id: id, mux: mux, log: log, keep: keep}
}

// Serve accepts connections on ln until ctx is done.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	defer func() { _ = g.Wait() }()
	for {
		c, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			s.log.Warn("accept failed", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		if !s.admit() {
			_ = c.Close()
			continue
		}
		g.Go(func() error {
			s.serveConn(ctx, c)
			return nil
		})
	}
}

func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns >= maxPending {
		return false
	}
	s.conns++
	return true
}

func (s *Server) settled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns--
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	sess, err := Accept(c, s.id)
	s.settled()
	if err != nil {
		s.log.Warn("peer refused", zap.String("addr", c.RemoteAddr().String()), zap.Error(err))
		return
	}
	defer func() { _ = sess.Close() }()
	if s.keep != nil {
		release, err := s.keep(sess)
		if err != nil {
			s.log.Warn("session refused", zap.String("peer", sess.Peer().Name), zap.Error(err))
			return
		}
		defer release()
	}
	_ = s.mux.Serve(ctx, sess)
}
