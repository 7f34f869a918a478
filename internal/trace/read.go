package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/admit"
)

// Limits of a trace.
const (
	MaxLineBytes = 64 << 10   // bytes of one line after the header
	MaxEvents    = 10_000_000 // events of one trace
	maxNameBytes = 256        // bytes of an id, a name or a reason
)

// maxHeaderBytes is the maximum size of the header in bytes. It is larger than other
// lines because it contains all teams and services.
const maxHeaderBytes = 4 << 20

// Reasons why a trace can't be read.
var (
	ErrVersion  = errors.New("version isn't supported")
	ErrTooLong  = errors.New("too long")
	ErrTooMany  = errors.New("too many events")
	ErrMissing  = errors.New("missing")
	ErrOrder    = errors.New("earlier than the event before")
	ErrBadValue = errors.New("value isn't valid")
	ErrSyntax   = errors.New("not a JSON object of the format")
)

// FieldError reports the field of a line that can't be read and why.
type FieldError struct {
	Line   int // counted from 1; 0 if the event wasn't read from a trace
	Field  string
	Reason error
}

// Error returns the line, the field and the reason.
func (e *FieldError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.Field, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Field, e.Reason)
}

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Reason }

// Reader reads the events of a trace.
type Reader struct {
	Header Header

	buf        *bufio.Reader
	lineNumber int
	lastOffset int64 // offset of the latest event
}

// NewReader reads the header of a trace and returns a reader of its events.
func NewReader(r io.Reader) (*Reader, error) {
	reader := &Reader{buf: bufio.NewReaderSize(r, MaxLineBytes)}
	line, err := reader.readLine(maxHeaderBytes)
	if errors.Is(err, io.EOF) {
		return nil, reader.fieldError("header", ErrMissing)
	}
	if err != nil {
		return nil, err
	}
	if err := reader.decode(line, &reader.Header); err != nil {
		return nil, err
	}
	switch {
	case reader.Header.Version != Version:
		return nil, reader.fieldError("version", ErrVersion)
	case reader.Header.Cluster == "":
		return nil, reader.fieldError("cluster", ErrMissing)
	case reader.Header.Slots < 1:
		return nil, reader.fieldError("slots", ErrBadValue)
	}
	return reader, nil
}

// Read returns the next event, or io.EOF after the last one.
func (r *Reader) Read() (Event, error) {
	var e Event
	line, err := r.readLine(MaxLineBytes)
	if err != nil {
		return e, err
	}
	if r.lineNumber > MaxEvents+1 {
		return e, r.fieldError("event", ErrTooMany)
	}
	if err := r.decode(line, &e); err != nil {
		return e, err
	}
	if err := e.validate(r.lastOffset); err != nil {
		var fieldErr *FieldError
		if errors.As(err, &fieldErr) {
			return e, r.fieldError(fieldErr.Field, fieldErr.Reason)
		}
		return e, err
	}
	r.lastOffset = e.OffsetMicros
	return e, nil
}

// readLine returns the next line, of at most limit bytes, without its line break.
func (r *Reader) readLine(limit int) ([]byte, error) {
	r.lineNumber++
	var line []byte
	for {
		part, isPrefix, err := r.buf.ReadLine()
		if err != nil {
			if errors.Is(err, io.EOF) && len(line) == 0 {
				return nil, io.EOF
			}
			return nil, errors.Wrapf(err, "line %d", r.lineNumber)
		}
		line = append(line, part...)
		if len(line) > limit {
			return nil, r.fieldError("line", ErrTooLong)
		}
		if !isPrefix {
			return line, nil
		}
	}
}

// decode decodes a line that consists of one JSON object without unknown fields.
func (r *Reader) decode(line []byte, dst any) error {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	err := dec.Decode(dst)
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr):
		return r.fieldError(typeErr.Field, errors.Wrapf(ErrBadValue, "%s for a %s", typeErr.Value, typeErr.Type))
	case err != nil:
		return r.fieldError("line", errors.Wrapf(ErrSyntax, "%v", err))
	case dec.More():
		return r.fieldError("line", ErrSyntax)
	}
	return nil
}

// fieldError returns the error for a field of the current line.
func (r *Reader) fieldError(field string, reason error) error {
	return &FieldError{Line: r.lineNumber, Field: field, Reason: reason}
}

// validate checks an event. Its offset must be at least minOffset, the offset of
// the event before.
func (e Event) validate(minOffset int64) error {
	fieldError := func(field string, reason error) error { return &FieldError{Field: field, Reason: reason} }
	switch {
	case e.OffsetMicros < 0:
		return fieldError("at", ErrBadValue)
	case e.OffsetMicros < minOffset:
		return fieldError("at", ErrOrder)
	case !e.Kind.valid():
		return fieldError("kind", ErrBadValue)
	case e.ID == "" && e.Kind != Grant && e.Kind != Revoke:
		return fieldError("id", ErrMissing)
	case e.Kind == Arrive && e.Team == "":
		return fieldError("team", ErrMissing)
	case e.Kind == Arrive && e.Service == "":
		return fieldError("service", ErrMissing)
	case e.Class != "" && e.Class != admit.Short && e.Class != admit.Long:
		return fieldError("class", ErrBadValue)
	case e.RunMicros < 0:
		return fieldError("took", ErrBadValue)
	case e.DeadlineMicros < 0:
		return fieldError("deadline", ErrBadValue)
	}
	for _, name := range []string{e.ID, e.Entry, e.Team, e.Service, e.Server, e.Reason} {
		if len(name) > maxNameBytes {
			return fieldError("name", ErrTooLong)
		}
	}
	return nil
}

// valid reports whether k is one of the defined kinds.
func (k Kind) valid() bool {
	switch k {
	case Arrive, Refuse, Send, Return, Answer, Unknown, Cancel, Grant, Revoke:
		return true
	}
	return false
}
