package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	maxRequestID   = 128
	defaultBodyMax = 1 << 20
)

// callPrefix is the path below which callers reach services.
const callPrefix = "/v1/call/"

// callRequest is one caller's request, read whole and checked.
type callRequest struct {
	admit.Request
	path     string
	verb     string
	headers  []*wire.Header
	body     []byte
	claim    uint64 // claim epoch of a non-idempotent request
	attempt  string // unique to this arrival, whatever id the caller gave
	hash     []byte
	held     int64 // bytes taken from the entry's buffer
	deadline time.Time
}

// fault is a refusal of a request before anything of it ran.
type fault struct {
	status int
	code   client.Code
	field  string
	text   string
}

// Error implements error.
func (f *fault) Error() string { return f.field + ": " + f.text }

func badField(field, text string) error {
	return &fault{status: http.StatusBadRequest, code: client.CodeMalformed, field: field, text: text}
}

// readCall reads the caller's request whole. A body that is cut short or too
// large is refused here, so that no part of it can run.
func (e *Entry) readCall(w http.ResponseWriter, r *http.Request, team string, now time.Time) (*callRequest, error) {
	o := &callRequest{verb: r.Method, attempt: uuid.NewString()}
	o.Team = team
	o.ID = r.Header.Get(client.HeaderRequestID)
	if o.ID == "" {
		o.ID = uuid.NewString()
	}
	if len(o.ID) > maxRequestID || !utf8.ValidString(o.ID) {
		return nil, badField(client.HeaderRequestID, "want UTF-8 of at most 128 bytes")
	}
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), callPrefix), "/")
	o.Service = service
	o.path = "/" + rest
	if r.URL.RawQuery != "" {
		o.path += "?" + r.URL.RawQuery
	}
	if err := o.readHeaders(r, now); err != nil {
		return nil, err
	}
	svc, ok := e.conf.Config().Service(service)
	if !ok {
		return nil, &fault{status: http.StatusNotFound, code: client.CodeNotFound, field: "service", text: strconv.Quote(service) + " does not exist"}
	}
	o.deadline = o.Deadline
	if o.deadline.IsZero() {
		o.deadline = now.Add(serviceLimit(svc))
		o.Deadline = o.deadline
	}
	return o, e.readBody(w, r, o, svc.MaxBodyBytes)
}

func serviceLimit(svc model.Service) time.Duration {
	if svc.LimitMs <= 0 {
		return defaultLimit
	}
	return time.Duration(svc.LimitMs) * time.Millisecond
}

func (o *callRequest) readHeaders(r *http.Request, now time.Time) error {
	o.Urgency = model.Urgency(r.Header.Get(client.HeaderUrgency))
	o.DeclaredClass = admit.Class(r.Header.Get(client.HeaderClass))
	o.Key = r.Header.Get(client.HeaderIdempotencyKey)
	o.Idempotent = o.Key == ""
	if once := r.Header.Get(client.HeaderAtMostOnce); once == "true" {
		o.Idempotent = false
	} else if once != "" && once != "false" {
		return badField(client.HeaderAtMostOnce, "want true or false")
	}
	if s := r.Header.Get(client.HeaderDeclaredMs); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n < 0 {
			return badField(client.HeaderDeclaredMs, "want milliseconds, 0 or more")
		}
		o.DeclaredMs = n
	}
	if s := r.Header.Get(client.HeaderDeadline); s != "" {
		dl, err := client.ParseDeadline(s)
		if err != nil {
			return badField(client.HeaderDeadline, "want RFC 3339 or milliseconds since 1970")
		}
		if !dl.After(now) {
			return badField(client.HeaderDeadline, "has passed")
		}
		o.Deadline = dl
	}
	o.headers = forwarded(r.Header)
	o.headers = append(o.headers, &wire.Header{Name: client.HeaderRequestID, Value: []byte(o.ID)})
	if o.Key != "" {
		o.headers = append(o.headers, &wire.Header{Name: client.HeaderIdempotencyKey, Value: []byte(o.Key)})
	}
	return nil
}

// notForwarded are headers that end at the entry.
var notForwarded = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	client.HeaderRequestID: true,
}

// forwarded returns the headers that pass to the other side, which are all
// but those that concern one connection or this system alone.
func forwarded(h http.Header) []*wire.Header {
	named := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var out []*wire.Header
	for name, values := range h {
		if notForwarded[name] || named[name] || strings.HasPrefix(name, client.HeaderPrefix) {
			continue
		}
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: []byte(v)})
		}
	}
	return out
}

// readBody reads the body whole, within the service's limit and the entry's
// buffer.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, o *callRequest, limit int64) error {
	if limit <= 0 {
		limit = defaultBodyMax
	}
	limit = min(limit, wire.MaxFrameBytes)
	if r.ContentLength > limit {
		return tooLarge(limit)
	}
	held := limit
	if r.ContentLength >= 0 {
		held = r.ContentLength
	}
	if !e.buffer.TryAcquire(held) {
		return &fault{status: http.StatusServiceUnavailable, code: client.CodeBusy, field: "body", text: "no room for it at present"}
	}
	body, err := readWhole(w, r, limit)
	if err != nil {
		e.buffer.Release(held)
		return err
	}
	o.body, o.held = body, held
	return nil
}

func readWhole(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return nil, tooLarge(limit)
	case err != nil:
		return nil, badField("body", "cut short: "+err.Error())
	}
	return body, nil
}

func tooLarge(limit int64) error {
	return &fault{
		status: http.StatusRequestEntityTooLarge, code: client.CodeTooLarge,
		field: "body", text: "more than " + strconv.FormatInt(limit, 10) + " bytes",
	}
}
