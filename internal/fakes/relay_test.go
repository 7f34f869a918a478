package fakes_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
)

const (
	passTimeout  = 5 * time.Second       // enough for data that passes
	silenceCheck = 50 * time.Millisecond // how long to check that no data passes
)

// newRelay returns a relay to an echo server, and the relay's address.
func newRelay(t *testing.T) (*fakes.Relay, string) {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := fakes.NewRelay(echo.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return r.Serve(ctx, ln) })
	g.Go(func() error {
		for {
			c, err := echo.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				defer c.Close()
				_, _ = io.Copy(c, c)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		cancel()
		echo.Close()
		require.NoError(t, g.Wait())
	})
	return r, ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// sendAndReceive writes a byte and reads its echo within d. It returns the first error.
func sendAndReceive(t *testing.T, c net.Conn, d time.Duration) error {
	t.Helper()
	_, err := c.Write([]byte("x"))
	if err != nil {
		return err
	}
	return receive(c, d)
}

func receive(c net.Conn, d time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func requireTimeout(t *testing.T, err error) {
	t.Helper()
	var ne net.Error
	require.ErrorAs(t, err, &ne)
	require.True(t, ne.Timeout())
}

// requireReset checks that err means that the other end has reset the connection.
func requireReset(t *testing.T, err error) {
	t.Helper()
	require.Truef(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "%v", err)
}

// dialAndSend opens a connection and sends a byte through it. A reset may already make
// the dial fail.
func dialAndSend(t *testing.T, addr string) error {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	return sendAndReceive(t, c, passTimeout)
}

func TestRelayPassesAndSilences(t *testing.T) {
	r, addr := newRelay(t)
	c := dial(t, addr)
	require.NoError(t, sendAndReceive(t, c, passTimeout))
	require.NoError(t, r.SetMode(fakes.ModeSilent))
	requireTimeout(t, sendAndReceive(t, c, silenceCheck))
	newConn := dial(t, addr) // new connections still open
	requireTimeout(t, sendAndReceive(t, newConn, silenceCheck))
	require.NoError(t, r.SetMode(fakes.ModePass))
	require.NoError(t, receive(c, passTimeout)) // the data that was held passes
	require.NoError(t, receive(newConn, passTimeout))
}

func TestRelaySilencesOneDirection(t *testing.T) {
	r, addr := newRelay(t)
	c := dial(t, addr)
	require.NoError(t, sendAndReceive(t, c, passTimeout))
	require.NoError(t, r.Set(fakes.RelayState{Up: fakes.ModePass, Down: fakes.ModeSilent}))
	requireTimeout(t, sendAndReceive(t, c, silenceCheck))
	require.Error(t, r.Set(fakes.RelayState{Up: "none", Down: fakes.ModePass}))
}

func TestRelaySilencesOpenConnections(t *testing.T) {
	r, addr := newRelay(t)
	c := dial(t, addr)
	require.NoError(t, sendAndReceive(t, c, passTimeout))
	r.SilenceOpen()
	requireTimeout(t, sendAndReceive(t, c, silenceCheck))
	require.NoError(t, sendAndReceive(t, dial(t, addr), passTimeout))
	require.Equal(t, 2, r.ConnCount())
}

func TestRelayRefuses(t *testing.T) {
	r, addr := newRelay(t)
	c := dial(t, addr)
	require.NoError(t, sendAndReceive(t, c, passTimeout))
	require.NoError(t, r.SetMode(fakes.ModeRefuse))
	requireReset(t, receive(c, passTimeout))
	requireReset(t, dialAndSend(t, addr))
	require.Eventually(t, func() bool { return r.ConnCount() == 0 }, passTimeout, time.Millisecond)
}

func TestRelayDelays(t *testing.T) {
	r, addr := newRelay(t)
	c := dial(t, addr)
	require.NoError(t, r.Set(fakes.RelayState{Up: fakes.ModePass, Down: fakes.ModePass, DelayMs: 30}))
	before := time.Now()
	require.NoError(t, sendAndReceive(t, c, passTimeout))
	require.GreaterOrEqual(t, time.Since(before), 60*time.Millisecond)
}
