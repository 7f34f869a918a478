package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxFrameBytes is the largest size in bytes of a message on an authenticated
	// connection.
	MaxFrameBytes = 8 << 20
	// MaxHandshakeBytes is the largest size in bytes of a message of the handshake,
	// and of the first message of a stream.
	MaxHandshakeBytes = 4 << 10

	lengthPrefixSize = 4
)

// ErrMalformedFrame is returned for a message that is too large or can't be
// decoded.
var ErrMalformedFrame = errors.New("malformed frame")

// ErrUnsendable is returned, as a kind of ErrMalformedFrame, for a message of which nothing was sent because it is too
// large or can't be encoded. Sending it again won't help.
var ErrUnsendable = errors.Wrap(ErrMalformedFrame, "can't be sent")

// WriteMessage writes one framed message with a single Write.
func WriteMessage(w io.Writer, m proto.Message) error { return WriteMessages(w, m) }

// WriteMessages writes several framed messages with a single Write.
func WriteMessages(w io.Writer, messages ...proto.Message) error {
	size := 0
	for _, m := range messages {
		size += lengthPrefixSize + proto.Size(m)
	}
	buf := make([]byte, 0, size)
	for _, m := range messages {
		start := len(buf)
		buf = append(buf, make([]byte, lengthPrefixSize)...)
		var err error
		if buf, err = (proto.MarshalOptions{}).MarshalAppend(buf, m); err != nil {
			return errors.Wrapf(ErrUnsendable, "encode frame: %v", err)
		}
		n := len(buf) - start - lengthPrefixSize
		if n > MaxFrameBytes {
			return errors.Wrapf(ErrUnsendable, "message of %d bytes, at most %d", n, MaxFrameBytes)
		}
		binary.BigEndian.PutUint32(buf[start:], uint32(n))
	}
	_, err := w.Write(buf)
	return err
}

// ReadMessage reads one framed message of at most limit bytes into m.
func ReadMessage(r io.Reader, m proto.Message, limit int) error {
	n, err := readSize(r, limit)
	if err != nil {
		return err
	}
	return readSized(r, m, n)
}

// readSize reads the size of the message that follows, which has at most limit bytes.
func readSize(r io.Reader, limit int) (int, error) {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, err
	}
	n := int(binary.BigEndian.Uint32(prefix[:]))
	if n > limit {
		return 0, errors.Wrapf(ErrMalformedFrame, "message of %d bytes, at most %d", n, limit)
	}
	return n, nil
}

// readSized reads a message of n bytes, whose size has been read, into m.
func readSized(r io.Reader, m proto.Message, n int) error {
	buf, err := readBody(r, n)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(buf, m); err != nil {
		return errors.Wrapf(ErrMalformedFrame, "decode %s: %v", m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

// readBody reads n bytes. It allocates memory as data arrives, so that a peer
// that announces a large message and sends little doesn't use much memory.
func readBody(r io.Reader, n int) ([]byte, error) {
	const preallocLimit = 64 << 10
	if n <= preallocLimit {
		buf := make([]byte, n)
		_, err := io.ReadFull(r, buf)
		return buf, unexpectedEOF(err)
	}
	br := bufio.NewReaderSize(io.LimitReader(r, int64(n)), preallocLimit)
	buf, err := io.ReadAll(br)
	if err == nil && len(buf) < n {
		err = io.ErrUnexpectedEOF
	}
	return buf, err
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Message is any protobuf message.
type Message = proto.Message
