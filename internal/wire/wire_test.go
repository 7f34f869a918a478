package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
)

var master = []byte("0123456789abcdef")

func server() Identity {
	return Identity{Cluster: "c", Role: "entry", Name: "e1", MasterKeys: map[string][]byte{"agent": master}}
}

func agent(name string) Identity {
	return Identity{Cluster: "c", Role: "agent", Name: name, Incarnation: "i", Key: kern.DeriveKey(master, name)}
}

// serve runs a server on loopback until the test ends.
func serve(t *testing.T, mux *Mux) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return NewServer(server(), mux, zap.NewNop(), nil).Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func echo() *Mux {
	mux := NewMux(zap.NewNop())
	HandleCall(mux, MethodRead, func(_ context.Context, p Peer, _ *ReadRequest) (*ReadReply, error) {
		if p.Name == "refused" {
			return nil, &RemoteError{Code: CodeNotLeader, Leader: "ctl2"}
		}
		return &ReadReply{Index: 7}, nil
	})
	return mux
}

// TestHandshakeRefuses dials with what must not be let in.
func TestHandshakeRefuses(t *testing.T) {
	addr := serve(t, echo())
	other := agent("a1")
	other.Name = "a2"
	cluster := agent("a1")
	cluster.Cluster = "d"
	role := agent("a1")
	role.Role = "control"
	tests := []struct {
		name string
		id   Identity
		want string
	}{
		{"key of another name", other, "did not prove"},
		{"another cluster", cluster, "another cluster"},
		{"role that may not dial", role, "may not connect"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Connect(dial(t, addr), tt.id)
			require.Error(t, err)
			require.Contains(t, err.Error(), tt.want)
		})
	}
	s, err := Connect(dial(t, addr), agent("a1"))
	require.NoError(t, err)
	require.Equal(t, "e1", s.Peer().Name)
	require.NoError(t, s.Close())
}

// TestHandshakeVersion refuses a peer that speaks a protocol too far away.
func TestHandshakeVersion(t *testing.T) {
	c := dial(t, serve(t, echo()))
	require.NoError(t, WriteMessage(c, &Hello{Version: Version + 1, Cluster: "c", Role: "agent", Name: "a1", Nonce: newNonce()}))
	var ch Challenge
	require.NoError(t, ReadMessage(c, &ch, MaxHandshakeBytes))
	require.Equal(t, "version", ch.Code)
}

// TestListenerProves refuses a listener that doesn't hold the role's key.
func TestListenerProves(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	false1 := server()
	false1.MasterKeys = map[string][]byte{"agent": []byte("another key 1234")}
	var g errgroup.Group
	g.Go(func() error {
		_, _ = handshakeServer(b, false1)
		return b.Close()
	})
	_, err := handshakeClient(a, agent("a1"))
	require.ErrorIs(t, err, ErrUnauthenticated)
	a.Close()
	require.NoError(t, g.Wait())
}

// TestMalformedPeer sends what no peer would: others must go on.
func TestMalformedPeer(t *testing.T) {
	addr := serve(t, echo())
	for _, bad := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		{0xff, 0xff, 0xff, 0xff},
		{0, 0, 0, 3, 1, 2, 3},
	} {
		c := dial(t, addr)
		_, err := c.Write(bad)
		require.NoError(t, err)
	}
	dial(t, addr) // says nothing at all
	s, err := Connect(dial(t, addr), agent("a1"))
	require.NoError(t, err)
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	rep := &ReadReply{}
	require.NoError(t, s.Call(ctx, MethodRead, &ReadRequest{}, rep))
	require.EqualValues(t, 7, rep.Index)
}

// TestCallErrors tells refusals from failures.
func TestCallErrors(t *testing.T) {
	addr := serve(t, echo())
	s, err := Connect(dial(t, addr), agent("refused"))
	require.NoError(t, err)
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err = s.Call(ctx, MethodRead, &ReadRequest{}, &ReadReply{})
	require.ErrorIs(t, err, ErrNotLeader)
	err = s.Call(ctx, "nothing", &ReadRequest{}, &ReadReply{})
	require.ErrorIs(t, err, ErrRemote)
	require.NoError(t, s.Close())
	err = s.Call(ctx, MethodRead, &ReadRequest{}, &ReadReply{})
	require.ErrorIs(t, err, ErrClosed)
}

// TestFrameLimit refuses a frame over the limit before it is read, and one
// that ends early.
func TestFrameLimit(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, WriteMessage(&b, &Chunk{Data: make([]byte, 2*MaxHandshakeBytes)}))
	require.ErrorIs(t, ReadMessage(bytes.NewReader(b.Bytes()), &Chunk{}, MaxHandshakeBytes), ErrMalformedFrame)
	require.Error(t, ReadMessage(bytes.NewReader(b.Bytes()[:100]), &Chunk{}, MaxFrameBytes))
	require.ErrorIs(t, WriteMessage(&b, &Chunk{Data: make([]byte, MaxFrameBytes+1)}), ErrMalformedFrame)
}

func FuzzReadMessage(f *testing.F) {
	var b bytes.Buffer
	_ = WriteMessage(&b, &Hello{Version: 1, Name: "a1"})
	f.Add(b.Bytes())
	f.Add([]byte{0, 0, 0, 1})
	f.Add(binary.BigEndian.AppendUint32(nil, MaxFrameBytes))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = ReadMessage(bytes.NewReader(data), &Hello{}, MaxHandshakeBytes)
		_ = ReadMessage(bytes.NewReader(data), &LogMessage{}, MaxFrameBytes)
		_ = ReadMessage(bytes.NewReader(data), &Work{}, MaxFrameBytes)
	})
}
