package trace

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Writer writes a trace through a buffer.
type Writer struct {
	buf        *bufio.Writer
	enc        *json.Encoder
	lastOffset int64 // offset of the latest event
}

// NewWriter writes the header with the current format version and returns a writer
// of events.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	buf := bufio.NewWriter(w)
	writer := &Writer{buf: buf, enc: json.NewEncoder(buf)}
	h.Version = Version
	return writer, errors.Wrap(writer.enc.Encode(h), "write trace header")
}

// Write writes an event. Events must be written in order of time. An invalid event
// is reported as a FieldError and not written.
func (w *Writer) Write(e Event) error {
	if err := e.validate(w.lastOffset); err != nil {
		return err
	}
	w.lastOffset = e.OffsetMicros
	return errors.Wrap(w.enc.Encode(e), "write trace event")
}

// Flush writes buffered data to the underlying writer.
func (w *Writer) Flush() error { return errors.Wrap(w.buf.Flush(), "flush trace") }
