package trace

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Writer writes a trace.
type Writer struct {
	buf *bufio.Writer
	enc *json.Encoder
	at  int64
}

// NewWriter writes the header, with the version set, and returns a writer.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	buf := bufio.NewWriter(w)
	t := &Writer{buf: buf, enc: json.NewEncoder(buf)}
	h.Version = Version
	return t, errors.Wrap(t.enc.Encode(h), "trace header")
}

// Write adds an event. Events are written in the order of their time.
func (w *Writer) Write(e Event) error {
	if err := e.validate(w.at); err != nil {
		return err
	}
	w.at = e.OffsetMicros
	return errors.Wrap(w.enc.Encode(e), "trace event")
}

// Flush writes what is buffered.
func (w *Writer) Flush() error { return errors.Wrap(w.buf.Flush(), "trace") }
