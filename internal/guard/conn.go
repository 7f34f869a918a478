package guard

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lineBytes is what a header line costs beside its text.
	lineBytes = 128
	// textCost is what a byte of a head costs: it is read and then copied.
	textCost = 2
	// answerPiece is the largest part of an answer that is written with one deadline.
	answerPiece = 32 << 10
	// largeAnswer is from what size an answer is taken from the budget while it is written.
	largeAnswer = 64 << 10
	// writeTimeout is how long a client may take to read answerPiece bytes.
	writeTimeout = 20 * time.Second
	// refusalTimeout is how long the refusal of a head may take to write.
	refusalTimeout = 50 * time.Millisecond
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// headCost returns what the memory of a head or a part of it costs.
func headCost(size, lines int) int64 { return int64(size)*textCost + int64(lines)*lineBytes }

// conn is a connection that takes the heads that it reads from the budget.
type conn struct {
	net.Conn
	holder *Holder
	// inHead is set while what is read belongs to a head.
	inHead atomic.Bool
	// idle is set between two requests.
	idle      atomic.Bool
	writeEnd  atomic.Pointer[time.Time] // the server's limit for the answer, or nil
	closeOnce sync.Once
}

// newConn returns c with its holder, or nil if there is no room.
func newConn(b *Budget, c net.Conn) *conn {
	g := &conn{Conn: c}
	g.inHead.Store(true)
	if g.holder = b.Admit(clientOf(c), g.cut); g.holder == nil {
		g.cut()
		return nil
	}
	return g
}

// clientOf returns the address of the client without its port.
func clientOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// cut closes the connection at once, with all that the system holds for it.
func (c *conn) cut() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Read implements net.Conn. In a head it takes what the bytes read will cost.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	if c.idle.CompareAndSwap(true, false) {
		c.holder.Enter(PhaseHead)
	}
	if c.inHead.Load() {
		if c.holder.Take(headCost(n, bytes.Count(p[:n], []byte{'\n'}))) != nil {
			_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
			_, _ = io.WriteString(c.Conn, refusal)
			_ = c.Close()
			return 0, ErrFull
		}
	}
	c.holder.Move(n)
	return n, err
}

// Write implements net.Conn. A client has to read each piece in time.
func (c *conn) Write(p []byte) (int, error) {
	if len(p) >= largeAnswer {
		if err := c.holder.Take(int64(len(p))); err != nil {
			c.cut()
			return 0, err
		}
		defer c.holder.Give(int64(len(p)))
	}
	defer c.holder.during(PhaseWrite)()
	written := 0
	for {
		piece := p[written:min(len(p), written+answerPiece)]
		_ = c.SetWriteDeadline(c.writeDeadline())
		n, err := c.Conn.Write(piece)
		written += n
		c.holder.Move(n)
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

// writeDeadline returns until when the next piece of an answer has to be written.
func (c *conn) writeDeadline() time.Time {
	next := time.Now().Add(writeTimeout)
	if end := c.writeEnd.Load(); end != nil && end.Before(next) {
		return *end
	}
	return next
}

// limitWrites sets the server's limit for the next answer, 0 for none.
func (c *conn) limitWrites(timeout time.Duration) {
	if timeout <= 0 {
		c.writeEnd.Store(nil)
		return
	}
	end := time.Now().Add(timeout)
	c.writeEnd.Store(&end)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(c.holder.Release)
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, so that the client can read the last answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// endRequest gives back what a request held. What comes next is a head.
func (c *conn) endRequest() {
	c.holder.Reset()
	c.holder.Enter(PhaseIdle)
	c.inHead.Store(true)
	c.idle.Store(true)
}

// listener is a listener whose connections are limited by a budget.
type listener struct {
	net.Listener
	budget *Budget
}

// Listen returns ln with its connections limited by the budget. It serves a server that Serve has set up.
func (b *Budget) Listen(ln net.Listener) net.Listener {
	if b == nil {
		return ln
	}
	return &listener{ln, b}
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if g := newConn(l.budget, c); g != nil {
			return g, nil
		}
	}
}
