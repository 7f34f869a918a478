package entry

import (
	"net"
	"sync"
)

// limitConns returns a listener that has at most n open connections. Further
// connections wait in the kernel's backlog until one closes.
func limitConns(ln net.Listener, n int) net.Listener {
	return &limited{Listener: ln, free: make(chan struct{}, n), done: make(chan struct{})}
}

// limited is the listener that limitConns returns.
type limited struct {
	net.Listener
	free chan struct{} // holds one element for each open connection
	done chan struct{}
	once sync.Once
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.free <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &counted{Conn: c, l: l}, nil
}

// Close implements net.Listener.
func (l *limited) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// counted is a connection that frees its place in the listener when closed.
type counted struct {
	net.Conn
	l    *limited
	once sync.Once
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.once.Do(func() { <-c.l.free })
	return c.Conn.Close()
}
