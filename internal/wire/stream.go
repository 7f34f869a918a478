package wire

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// Stream carries the messages of one call.
type Stream struct {
	*yamux.Stream
	session     *Session
	interrupted atomic.Bool
}

// Peer returns the peer at the other end.
func (st *Stream) Peer() Peer { return st.session.peer }

// Send writes the messages with a single Write.
func (st *Stream) Send(messages ...proto.Message) error { return WriteMessages(st, messages...) }

// Recv reads one message into m.
func (st *Stream) Recv(m proto.Message) error { return ReadMessage(st, m, MaxFrameBytes) }

// Reset closes the stream at once and interrupts pending reads and writes. A
// peer that still reads gets an error or the end of the stream.
func (st *Stream) Reset() {
	st.interrupt()
	_ = st.Close()
}

func (st *Stream) readReply(resp proto.Message) error {
	var reply Reply
	if err := st.Recv(&reply); err != nil {
		return wrapClosed(err)
	}
	if reply.Code != "" {
		return &RemoteError{Code: reply.Code, Text: reply.Text, Leader: reply.Leader}
	}
	if err := st.Recv(resp); err != nil {
		return wrapClosed(err)
	}
	return nil
}

// BeginCall sends the Call message, which names the method that the stream is
// for, and the call's first messages.
func (st *Stream) BeginCall(ctx context.Context, method, id string, messages ...proto.Message) error {
	call := &Call{Method: method, Id: id}
	if deadline, ok := ctx.Deadline(); ok {
		call.Remainms = remainingMs(deadline)
	}
	return st.Send(append([]proto.Message{call}, messages...)...)
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// interrupt ends pending and later reads and writes. Data that has arrived can still be read.
func (st *Stream) interrupt() {
	st.interrupted.Store(true)
	_ = st.Stream.SetDeadline(expired) // never fails
}

// Read implements net.Conn.
func (st *Stream) Read(b []byte) (int, error) {
	n, err := st.Stream.Read(b)
	if errors.Is(err, yamux.ErrTimeout) && st.interrupted.Load() {
		err = io.EOF
	}
	return n, err
}

// Write implements net.Conn.
func (st *Stream) Write(b []byte) (int, error) {
	n, err := st.Stream.Write(b)
	if errors.Is(err, yamux.ErrTimeout) && st.interrupted.Load() {
		err = yamux.ErrStreamClosed
	}
	return n, err
}

// SetDeadline implements net.Conn. After an interrupt the deadline stays expired, here and in
// SetReadDeadline and SetWriteDeadline.
func (st *Stream) SetDeadline(t time.Time) error {
	return errors.CombineErrors(st.SetReadDeadline(t), st.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (st *Stream) SetReadDeadline(t time.Time) error {
	err := st.Stream.SetReadDeadline(t)
	if st.interrupted.Load() {
		err = st.Stream.SetReadDeadline(expired)
	}
	return err
}

// SetWriteDeadline implements net.Conn.
func (st *Stream) SetWriteDeadline(t time.Time) error {
	err := st.Stream.SetWriteDeadline(t)
	if st.interrupted.Load() {
		err = st.Stream.SetWriteDeadline(expired)
	}
	return err
}

// Close implements net.Conn. The peer can still send until it closes its side; until then the stream is kept, so its
// empty buffer is freed here.
func (st *Stream) Close() error {
	st.Shrink()
	st.session.forgetStream(st)
	return st.Stream.Close()
}
