package wire

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// lingeringConn is a connection whose pending read returns only when release is closed, however
// early the connection was closed.
type lingeringConn struct {
	net.Conn
	release chan struct{}
}

func (c *lingeringConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		<-c.release
	}
	return n, err
}

// A closed session closes its streams only when its own reader has ended. On a single processor
// that reader doesn't run while a stream polls the closed session.
func TestReadsAndWritesEndBeforeTheSessionsReaderDoes(t *testing.T) {
	for _, tt := range []struct {
		name string
		call func(st *Stream) error
	}{
		{"read", func(st *Stream) error { return st.Recv(&ReadReply{}) }},
		{"read after a new deadline", func(st *Stream) error {
			for {
				if err := st.SetReadDeadline(time.Time{}); err != nil {
					return err
				}
				if err := st.Recv(&ReadReply{}); err != nil {
					return st.Recv(&ReadReply{})
				}
			}
		}},
		{"write into a full window", func(st *Stream) error {
			for {
				if _, err := st.Write(make([]byte, maxStreamWindow)); err != nil {
					return err
				}
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			near, far := net.Pipe()
			var g errgroup.Group
			var remote *Session
			g.Go(func() (err error) {
				remote, err = Accept(far, serverIdentity())
				return err
			})
			release := make(chan struct{})
			s, err := Connect(&lingeringConn{near, release}, agentIdentity("a1"))
			require.NoError(t, err)
			require.NoError(t, g.Wait())
			defer func() { require.NoError(t, remote.Close()) }()
			st, err := s.OpenStream(t.Context())
			require.NoError(t, err)

			returned := make(chan error, 1)
			g.Go(func() error {
				returned <- tt.call(st)
				return nil
			})
			require.Never(t, func() bool { return len(returned) > 0 }, 50*time.Millisecond, 10*time.Millisecond)
			g.Go(s.Close)
			select {
			case err := <-returned:
				require.Error(t, err)
			case <-time.After(5 * time.Second):
				t.Error("still blocked in a session that is closed")
			}
			close(release)
			require.NoError(t, g.Wait())
		})
	}
}

// Data that arrived before the session was closed is still delivered.
func TestDataReceivedBeforeCloseIsRead(t *testing.T) {
	near, far := net.Pipe()
	var g errgroup.Group
	var remote *Session
	g.Go(func() (err error) {
		remote, err = Accept(far, serverIdentity())
		return err
	})
	s, err := Connect(near, agentIdentity("a1"))
	require.NoError(t, err)
	require.NoError(t, g.Wait())
	defer func() { require.NoError(t, s.Close()) }()
	out, err := s.OpenStream(t.Context())
	require.NoError(t, err)
	require.NoError(t, out.Send(&ReadReply{Index: 1}, &ReadReply{Index: 2}))
	in, err := remote.acceptStream()
	require.NoError(t, err)
	m := &ReadReply{}
	require.NoError(t, in.Recv(m))
	require.NoError(t, remote.Close())
	require.NoError(t, in.Recv(m))
	require.EqualValues(t, 2, m.Index)
	require.Error(t, in.Recv(m))
}
