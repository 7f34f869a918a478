package wire

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/guard"
	"github.com/knapweedlug/knapweedlug/internal/kern"
)

const (
	callMessageTimeout = 5 * time.Second
	acceptRetryDelay   = 20 * time.Millisecond
)

// Handler serves one stream. The stream is closed when the handler returns.
type Handler func(ctx context.Context, call *Call, st *Stream) error

// Mux dispatches the streams that peers open to the handlers of their methods.
type Mux struct {
	log      *zap.Logger
	handlers map[string]Handler
}

// NewMux returns an empty Mux.
func NewMux(log *zap.Logger) *Mux {
	return &Mux{log: log, handlers: map[string]Handler{}}
}

// Handle registers a handler for method. All methods must be registered before
// Serve is called.
func (m *Mux) Handle(method string, handler Handler) { m.handlers[method] = handler }

// Limiter bounds what requests take that are being served.
type Limiter interface {
	// Acquire waits for the room for a request of n bytes, which hasn't been read. It returns an error if there is
	// none in time.
	Acquire(ctx context.Context, n int) (release func(), err error)
}

// unlimited is a Limiter that has room for all.
type unlimited struct{}

// Acquire implements Limiter.
func (unlimited) Acquire(context.Context, int) (func(), error) { return func() {}, nil }

// HandleCall registers handle for method as a unary call: one request, one
// reply.
func HandleCall[Req, Resp any, PReq interface {
	*Req
	proto.Message
}, PResp interface {
	*Resp
	proto.Message
}](m *Mux, method string, handle func(ctx context.Context, peer Peer, req PReq) (PResp, error)) {
	HandleLimited[Req, Resp, PReq, PResp](m, method, unlimited{}, handle)
}

// HandleLimited is HandleCall with a limiter. A request for which there is no room is answered with the limiter's error
// and isn't decoded.
func HandleLimited[Req, Resp any, PReq interface {
	*Req
	proto.Message
}, PResp interface {
	*Resp
	proto.Message
}](m *Mux, method string, l Limiter, handle func(ctx context.Context, peer Peer, req PReq) (PResp, error)) {
	m.Handle(method, func(ctx context.Context, call *Call, st *Stream) error {
		ctx, cancel := call.limitTime(ctx, st)
		defer cancel()
		n, err := readSize(st, MaxFrameBytes)
		if err != nil {
			return err
		}
		release, err := l.Acquire(ctx, n)
		if err != nil {
			// The peer reads the reply only after it has sent the whole request.
			if _, discardErr := io.CopyN(io.Discard, st, int64(n)); discardErr != nil {
				return discardErr
			}
			return st.Send(errorReply(err))
		}
		defer release()
		return serveSized(ctx, st, n, handle)
	})
}

// HandleReserved is HandleLimited for peers that use CallReserved, which send a request once there is room for it. Until
// then nothing of it is buffered here.
func HandleReserved[Req, Resp any, PReq interface {
	*Req
	proto.Message
}, PResp interface {
	*Resp
	proto.Message
}](m *Mux, method string, l Limiter, handle func(ctx context.Context, peer Peer, req PReq) (PResp, error)) {
	m.Handle(method, func(ctx context.Context, call *Call, st *Stream) error {
		ctx, cancel := call.limitTime(ctx, st)
		defer cancel()
		var reserve Reserve
		if err := ReadMessage(st, &reserve, MaxHandshakeBytes); err != nil {
			return err
		}
		size := int(min(reserve.Size, MaxFrameBytes))
		release, err := l.Acquire(ctx, size)
		if err != nil {
			return st.Send(errorReply(err))
		}
		defer release()
		if err := st.Send(&Reply{}); err != nil {
			return err
		}
		n, err := readSize(st, size)
		if err != nil {
			return err
		}
		return serveSized(ctx, st, n, handle)
	})
}

// limitTime ends what is done for the call when its caller stops waiting.
func (x *Call) limitTime(ctx context.Context, st *Stream) (context.Context, context.CancelFunc) {
	if x.Remainms == 0 {
		return ctx, func() {}
	}
	deadline := time.Now().Add(time.Duration(x.Remainms) * time.Millisecond)
	_ = st.SetDeadline(deadline)
	return context.WithDeadline(ctx, deadline)
}

// serveSized reads a request of n bytes and answers it.
func serveSized[Req, Resp any, PReq interface {
	*Req
	proto.Message
}, PResp interface {
	*Resp
	proto.Message
}](ctx context.Context, st *Stream, n int, handle func(ctx context.Context, peer Peer, req PReq) (PResp, error)) error {
	req := PReq(new(Req))
	if err := readSized(st, req, n); err != nil {
		return err
	}
	st.Shrink()
	resp, err := handle(ctx, st.Peer(), req)
	if err != nil {
		return st.Send(errorReply(err))
	}
	return st.Send(&Reply{}, resp)
}

func errorReply(err error) *Reply {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return &Reply{Code: remote.Code, Text: remote.Text, Leader: remote.Leader}
	}
	return &Reply{Code: CodeInternal, Text: err.Error()}
}

// Serve serves the streams that the peer of s opens until the session is lost
// or ctx is done.
func (m *Mux) Serve(ctx context.Context, s *Session) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	var g errgroup.Group
	defer func() { _ = g.Wait() }()
	defer cancel()
	for {
		st, err := s.acceptStream()
		if err != nil {
			return wrapClosed(err)
		}
		g.Go(func() error {
			m.serveStream(ctx, st)
			return nil
		})
	}
}

func (m *Mux) serveStream(ctx context.Context, st *Stream) {
	defer func() { _ = st.Close() }()
	_ = st.SetReadDeadline(time.Now().Add(callMessageTimeout))
	var call Call
	if err := ReadMessage(st, &call, MaxHandshakeBytes); err != nil {
		m.log.Debug("stream without a valid call message", zap.String("peer", st.Peer().Name), zap.Error(err))
		return
	}
	handler, ok := m.handlers[call.Method]
	if !ok {
		_ = st.Send(&Reply{Code: CodeUnknownMethod, Text: call.Method})
		return
	}
	log := m.log.With(zap.String("method", call.Method), zap.String("id", call.Id), zap.String("peer", st.Peer().Name))
	if err := Guard(log, func() error { return handler(ctx, &call, st) }); err != nil && ctx.Err() == nil {
		m.log.Debug("call ended with an error", zap.String("method", call.Method),
			zap.String("id", call.Id), zap.String("peer", st.Peer().Name), zap.Error(err))
	}
}

// Server accepts connections from peers, authenticates them and serves their
// streams.
type Server struct {
	id        Identity
	mux       *Mux
	log       *zap.Logger
	onSession func(*Session) (release func(), err error)

	handshakes *guard.Budget // of connections whose handshake is not complete
}

// maxPendingHandshakes limits the connections whose handshake is not complete, where no other limit is set.
const maxPendingHandshakes = 256

// NewServer returns a server. onSession, which may be nil, is called with each
// session before it is served and may refuse it with an error; release is
// called when the session has ended.
func NewServer(id Identity, mux *Mux, log *zap.Logger, onSession func(*Session) (release func(), err error)) *Server {
	limits := guard.NewLimits(0, 0)
	limits.Conns = maxPendingHandshakes
	return &Server{
		id: id, mux: mux, log: log, onSession: onSession,
		handshakes: guard.New(limits, kern.BootClock{}, log, tally.NoopScope),
	}
}

// WithHandshakes sets the budget of the connections whose handshake is not complete, unless it is nil. It returns s.
func (s *Server) WithHandshakes(b *guard.Budget) *Server {
	if b != nil {
		s.handshakes = b
	}
	return s
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		handshake := s.handshakes.Admit(netip.Addr{}, func() { _ = c.Close() })
		if handshake == nil {
			_ = c.Close()
			continue
		}
		g.Go(func() error {
			s.serveConn(ctx, c, handshake)
			return nil
		})
	}
}

func (s *Server) serveConn(ctx context.Context, c net.Conn, handshake *guard.Holder) {
	session, err := Accept(c, s.id)
	handshake.Release()
	if err != nil {
		s.log.Warn("peer refused", zap.String("addr", c.RemoteAddr().String()), zap.Error(err))
		return
	}
	defer func() { _ = session.Close() }()
	if s.onSession != nil {
		release, err := s.onSession(session)
		if err != nil {
			s.log.Warn("session refused", zap.String("peer", session.Peer().Name), zap.Error(err))
			return
		}
		defer release()
	}
	_ = s.mux.Serve(ctx, session)
}
