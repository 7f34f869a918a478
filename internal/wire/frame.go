package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxFrameBytes is the largest message in bytes that a process reads.
	MaxFrameBytes = 8 << 20
	// MaxHandshakeBytes is the largest message in bytes before a peer has proved
	// who it is.
	MaxHandshakeBytes = 4 << 10

	lengthSize = 4
)

// ErrMalformedFrame is returned for a frame that is too large or does not decode.
var ErrMalformedFrame = errors.New("malformed frame")

// WriteMessage writes one framed message with a single Write.
func WriteMessage(w io.Writer, m proto.Message) error { return WriteMessages(w, m) }

// WriteMessages writes several framed messages with a single Write.
func WriteMessages(w io.Writer, ms ...proto.Message) error {
	size := 0
	for _, m := range ms {
		size += lengthSize + proto.Size(m)
	}
	buf := make([]byte, 0, size)
	for _, m := range ms {
		at := len(buf)
		buf = append(buf, make([]byte, lengthSize)...)
		var err error
		if buf, err = (proto.MarshalOptions{}).MarshalAppend(buf, m); err != nil {
			return errors.Wrap(err, "encode frame")
		}
		n := len(buf) - at - lengthSize
		if n > MaxFrameBytes {
			return errors.Wrapf(ErrMalformedFrame, "message of %d bytes, at most %d", n, MaxFrameBytes)
		}
		binary.BigEndian.PutUint32(buf[at:], uint32(n))
	}
	_, err := w.Write(buf)
	return err
}

// ReadMessage reads one framed message of at most limit bytes into m.
func ReadMessage(r io.Reader, m proto.Message, limit int) error {
	var head [lengthSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > limit {
		return errors.Wrapf(ErrMalformedFrame, "message of %d bytes, at most %d", n, limit)
	}
	buf, err := readBody(r, n)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(buf, m); err != nil {
		return errors.Wrapf(ErrMalformedFrame, "decode %s: %v", m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

// readBody reads n bytes without trusting n for the first allocation, so that
// a peer that announces much and sends little costs little.
func readBody(r io.Reader, n int) ([]byte, error) {
	const trusted = 64 << 10
	if n <= trusted {
		buf := make([]byte, n)
		_, err := io.ReadFull(r, buf)
		return buf, noEOF(err)
	}
	br := bufio.NewReaderSize(io.LimitReader(r, int64(n)), trusted)
	buf, err := io.ReadAll(br)
	if err == nil && len(buf) < n {
		err = io.ErrUnexpectedEOF
	}
	return buf, err
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Message is a protobuf message.
type Message = proto.Message
