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
	LineMax  = 64 << 10   // bytes of one line after the header
	EventMax = 10_000_000 // events of one trace
	nameMax  = 256        // bytes of an id, a name or a reason
)

// headerMax is the maximum size of the header in bytes. It is larger than other
// lines because it contains all teams and services.
const headerMax = 4 << 20

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

	buf  *bufio.Reader
	line int
	at   int64 // offset of the latest event
}

// NewReader reads the header of a trace and returns a reader of its events.
func NewReader(r io.Reader) (*Reader, error) {
	t := &Reader{buf: bufio.NewReaderSize(r, LineMax)}
	line, err := t.next(headerMax)
	if errors.Is(err, io.EOF) {
		return nil, t.fail("header", ErrMissing)
	}
	if err != nil {
		return nil, err
	}
	if err := t.decode(line, &t.Header); err != nil {
		return nil, err
	}
	switch {
	case t.Header.Version != Version:
		return nil, t.fail("version", ErrVersion)
	case t.Header.Cluster == "":
		return nil, t.fail("cluster", ErrMissing)
	case t.Header.Slots < 1:
		return nil, t.fail("slots", ErrBadValue)
	}
	return t, nil
}

// Read returns the next event, or io.EOF after the last one.
func (t *Reader) Read() (Event, error) {
	var e Event
	line, err := t.next(LineMax)
	if err != nil {
		return e, err
	}
	if t.line > EventMax+1 {
		return e, t.fail("event", ErrTooMany)
	}
	if err := t.decode(line, &e); err != nil {
		return e, err
	}
	if err := e.validate(t.at); err != nil {
		var field *FieldError
		if errors.As(err, &field) {
			return e, t.fail(field.Field, field.Reason)
		}
		return e, err
	}
	t.at = e.At
	return e, nil
}

// next returns the next line, of at most limit bytes, without its line break.
func (t *Reader) next(limit int) ([]byte, error) {
	t.line++
	var line []byte
	for {
		part, more, err := t.buf.ReadLine()
		if err != nil {
			if errors.Is(err, io.EOF) && len(line) == 0 {
				return nil, io.EOF
			}
			return nil, errors.Wrapf(err, "line %d", t.line)
		}
		line = append(line, part...)
		if len(line) > limit {
			return nil, t.fail("line", ErrTooLong)
		}
		if !more {
			return line, nil
		}
	}
}

// decode decodes a line that consists of one JSON object without unknown fields.
func (t *Reader) decode(line []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr):
		return t.fail(typeErr.Field, errors.Wrapf(ErrBadValue, "%s for a %s", typeErr.Value, typeErr.Type))
	case err != nil:
		return t.fail("line", errors.Wrapf(ErrSyntax, "%v", err))
	case dec.More():
		return t.fail("line", ErrSyntax)
	}
	return nil
}

// fail returns the error for a field of the current line.
func (t *Reader) fail(field string, reason error) error {
	return &FieldError{Line: t.line, Field: field, Reason: reason}
}

// validate checks an event that follows an event with the offset after.
func (e Event) validate(after int64) error {
	fail := func(field string, reason error) error { return &FieldError{Field: field, Reason: reason} }
	switch {
	case e.At < 0:
		return fail("at", ErrBadValue)
	case e.At < after:
		return fail("at", ErrOrder)
	case !e.Kind.known():
		return fail("kind", ErrBadValue)
	case e.ID == "" && e.Kind != Grant && e.Kind != Revoke:
		return fail("id", ErrMissing)
	case e.Kind == Arrive && e.Team == "":
		return fail("team", ErrMissing)
	case e.Kind == Arrive && e.Service == "":
		return fail("service", ErrMissing)
	case e.Class != "" && e.Class != admit.Short && e.Class != admit.Long:
		return fail("class", ErrBadValue)
	case e.Took < 0:
		return fail("took", ErrBadValue)
	case e.Deadline < 0:
		return fail("deadline", ErrBadValue)
	}
	for _, name := range []string{e.ID, e.Entry, e.Team, e.Service, e.Server, e.Reason} {
		if len(name) > nameMax {
			return fail("name", ErrTooLong)
		}
	}
	return nil
}

// known reports whether k is one of the defined kinds.
func (k Kind) known() bool {
	switch k {
	case Arrive, Refuse, Send, Return, Answer, Unknown, Cancel, Grant, Revoke:
		return true
	}
	return false
}
