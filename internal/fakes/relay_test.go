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
	soon   = 5 * time.Second       // what passes has passed by then
	silent = 50 * time.Millisecond // what is held up is seen not to have passed by then
)

// newRelay returns a relay to a server that echoes, and its address.
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

// say writes a byte and returns the error of reading its echo within d.
func say(t *testing.T, c net.Conn, d time.Duration) error {
	t.Helper()
	_, err := c.Write([]byte("x"))
	if err != nil {
		return err
	}
	return hear(c, d)
}

func hear(c net.Conn, d time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func isTimeout(t *testing.T, err error) {
	t.Helper()
	var ne net.Error
	require.ErrorAs(t, err, &ne)
	require.True(t, ne.Timeout())
}

// isReset checks that the other end has reset the connection.
func isReset(t *testing.T, err error) {
	t.Helper()
	require.Truef(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "%v", err)
}

// visit opens a connection and says something on it. A reset can already meet
// the dial.
func visit(t *testing.T, addr string) error {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	return say(t, c, soon)
}

func TestRelayPassesAndSilences(t *testing.T) {
	r, addr := newRelay(t)
	c := dial(t, addr)
	require.NoError(t, say(t, c, soon))
	require.NoError(t, r.SetMode(fakes.ModeSilent))
	isTimeout(t, say(t, c, silent))
	fresh := dial(t, addr) // still opens
	isTimeout(t, say(t, fresh, silent))
	require.NoError(t, r.SetMode(fakes.ModePass))
	require.NoError(t, hear(c, soon)) // what was held goes through
	require.NoError(t, hear(fresh, soon))
}

func TestRelaySilencesOneDirection(t *testing.T) {
	r, addr := newRelay(t)
	c := dial(t, addr)
	require.NoError(t, say(t, c, soon))
	require.NoError(t, r.Set(fakes.RelayState{Up: fakes.ModePass, Down: fakes.ModeSilent}))
	isTimeout(t, say(t, c, silent))
	require.Error(t, r.Set(fakes.RelayState{Up: "none", Down: fakes.ModePass}))
}

func TestRelaySilencesOpenConnections(t *testing.T) {
	r, addr := newRelay(t)
	c := dial(t, addr)
	require.NoError(t, say(t, c, soon))
	r.SilenceOpen()
	isTimeout(t, say(t, c, silent))
	require.NoError(t, say(t, dial(t, addr), soon))
	require.Equal(t, 2, r.ConnCount())
}

func TestRelayRefuses(t *testing.T) {
	r, addr := newRelay(t)
	c := dial(t, addr)
	require.NoError(t, say(t, c, soon))
	require.NoError(t, r.SetMode(fakes.ModeRefuse))
	isReset(t, hear(c, soon))
	isReset(t, visit(t, addr))
	require.Eventually(t, func() bool { return r.ConnCount() == 0 }, soon, time.Millisecond)
}

func TestRelayDelays(t *testing.T) {
	r, addr := newRelay(t)
	c := dial(t, addr)
	require.NoError(t, r.Set(fakes.RelayState{Up: fakes.ModePass, Down: fakes.ModePass, DelayMs: 30}))
	before := time.Now()
	require.NoError(t, say(t, c, soon))
	require.GreaterOrEqual(t, time.Since(before), 60*time.Millisecond)
}
