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
	MaxLineBytes  = 64 << 10   // bytes of one line after the header
	MaxEvents = 10_000_000 // events of one trace
	nameMax  = 256        // bytes of one name
)

// headerMax is the most bytes of the header, which holds every team.
const headerMax = 4 << 20

// The reasons for which a trace can't be read.
var (
	ErrVersion  = errors.New("version isn't supported")
	ErrTooLong  = errors.New("too long")
	ErrTooMany  = errors.New("too many events")
	ErrMissing  = errors.New("missing")
	ErrOrder    = errors.New("earlier than the event before")
	ErrBadValue = errors.New("value isn't valid")
	ErrSyntax   = errors.New("not a JSON object of the format")
)

// FieldError says which field of a line can't be read.
type FieldError struct {
	Line   int // from 1; 0 if the event wasn't read from a file
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

// Reader reads a trace.
type Reader struct {
	Header Header

	buf  *bufio.Reader
	line int
	at   int64
}

// NewReader reads the header and returns a reader of the events.
func NewReader(r io.Reader) (*Reader, error) {
	t := &Reader{buf: bufio.NewReaderSize(r, MaxLineBytes)}
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

// Read returns the next event, or io.EOF after the last.
func (t *Reader) Read() (Event, error) {
	var e Event
	line, err := t.next(MaxLineBytes)
	if err != nil {
		return e, err
	}
	if t.line > MaxEvents+1 {
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
	t.at = e.OffsetMicros
	return e, nil
}

// next returns the next line without its end.
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

func (t *Reader) fail(field string, reason error) error {
	return &FieldError{Line: t.line, Field: field, Reason: reason}
}

// validate checks an event that follows one at the given offset.
func (e Event) validate(after int64) error {
	fail := func(field string, reason error) error { return &FieldError{Field: field, Reason: reason} }
	switch {
	case e.OffsetMicros < 0:
		return fail("at", ErrBadValue)
	case e.OffsetMicros < after:
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
	case e.RunMicros < 0:
		return fail("took", ErrBadValue)
	case e.DeadlineMicros < 0:
		return fail("deadline", ErrBadValue)
	}
	for _, name := range []string{e.ID, e.Entry, e.Team, e.Service, e.Server, e.Reason} {
		if len(name) > nameMax {
			return fail("name", ErrTooLong)
		}
	}
	return nil
}

func (k Kind) known() bool {
	switch k {
	case Arrive, Refuse, Send, Return, Answer, Unknown, Cancel, Grant, Revoke:
		return true
	}
	return false
}
