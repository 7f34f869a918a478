package wire

import "net"

// notifyingConn is a connection that calls onClose before it closes.
type notifyingConn struct {
	net.Conn
	onClose func()
}

// Close implements net.Conn.
func (c *notifyingConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}
