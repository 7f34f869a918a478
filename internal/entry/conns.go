package entry

import (
	"net"
	"sync"
)

// limitConns returns a listener that has at most n open connections. Further
// connections wait in the kernel's backlog until one closes.
func limitConns(ln net.Listener, n int) net.Listener {
	return &limitListener{Listener: ln, sem: make(chan struct{}, n), done: make(chan struct{})}
}

// limitListener is the listener that limitConns returns.
type limitListener struct {
	net.Listener
	sem       chan struct{} // holds one element for each open connection
	done      chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.sem <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.sem
		return nil, err
	}
	return &limitedConn{Conn: c, listener: l}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitedConn is a connection that frees its place in the listener when closed.
type limitedConn struct {
	net.Conn
	listener  *limitListener
	closeOnce sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() { <-c.listener.sem })
	return c.Conn.Close()
}
