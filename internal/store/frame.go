package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// A frame on disk is a header of three little-endian 32-bit words (magic
// number, length of the message, CRC32C of length and message) and the encoded
// message. Each frame is synced before the next one is written. So an invalid
// frame that a valid one follows was damaged after it had been synced; it isn't
// an interrupted write.
const (
	frameMagic      = 0x6b6c4631
	frameHeaderSize = 12
	maxFrameBytes   = 1 << 28
)

var crc32c = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(b []byte, f *wire.LogFrame) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, frameHeaderSize)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, f)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	size := len(b) - start - frameHeaderSize
	if size > maxFrameBytes {
		return nil, errors.Newf("frame of %d bytes exceeds the limit of %d", size, maxFrameBytes)
	}
	frame := b[start:]
	binary.LittleEndian.PutUint32(frame[0:], frameMagic)
	binary.LittleEndian.PutUint32(frame[4:], uint32(size))
	binary.LittleEndian.PutUint32(frame[8:], frameChecksum(frame))
	return b, nil
}

func frameChecksum(frame []byte) uint32 {
	sum := crc32.Update(0, crc32c, frame[4:8])
	return crc32.Update(sum, crc32c, frame[frameHeaderSize:])
}

// validFrameSize returns the encoded size, with the header, of the frame at the
// start of b, or false if b doesn't start with a complete frame with a matching
// checksum.
func validFrameSize(b []byte) (int, bool) {
	if len(b) < frameHeaderSize || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, false
	}
	size := int(binary.LittleEndian.Uint32(b[4:]))
	if size > maxFrameBytes || frameHeaderSize+size > len(b) {
		return 0, false
	}
	end := frameHeaderSize + size
	return end, frameChecksum(b[:end]) == binary.LittleEndian.Uint32(b[8:])
}

// containsFrame reports whether b contains a valid frame at any offset.
func containsFrame(b []byte) bool {
	for i := range b {
		if _, ok := validFrameSize(b[i:]); ok {
			return true
		}
	}
	return false
}

func decodeFrame(b []byte) (*wire.LogFrame, error) {
	f := &wire.LogFrame{}
	if err := proto.Unmarshal(b[frameHeaderSize:], f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	return f, nil
}
