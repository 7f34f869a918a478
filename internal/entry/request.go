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
	"github.com/knapweedlug/knapweedlug/internal/guard"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	maxRequestIDBytes   = 128     // bytes
	defaultMaxBodyBytes = 1 << 20 // bytes, for services without a limit
)

// callPrefix is the path under which callers call services; the service's name
// follows.
const callPrefix = "/v1/call/"

// callRequest is a caller's request, completely read and validated.
type callRequest struct {
	admit.Request
	path          string
	method        string
	headers       []*wire.Header
	body          []byte
	claimEpoch    uint64 // epoch of the claim of a non-idempotent request; 0 if there is none
	attemptID     string // unique for each arrival, unlike the caller's request id
	hash          []byte // set when the claim is first requested
	bufferedBytes int64  // bytes acquired from the entry's body buffer
	deadline      time.Time
}

// callError is an error that is reported to the caller: usually a refusal, or an
// answer that was lost.
type callError struct {
	status  int
	code    client.Code
	field   string
	message string
}

// Error implements error.
func (e *callError) Error() string { return e.field + ": " + e.message }

// badRequest returns the error for an invalid field of a request.
func badRequest(field, message string) error {
	return &callError{status: http.StatusBadRequest, code: client.CodeMalformed, field: field, message: message}
}

// readCall reads and validates the caller's request with its whole body. A body
// that is incomplete or too large is refused here, so that the request can't run.
func (e *Entry) readCall(w http.ResponseWriter, r *http.Request, team string, now time.Time) (*callRequest, error) {
	cr := &callRequest{method: r.Method, attemptID: uuid.NewString()}
	cr.Team = team
	cr.ID = r.Header.Get(client.HeaderRequestID)
	if cr.ID == "" {
		cr.ID = uuid.NewString()
	}
	if len(cr.ID) > maxRequestIDBytes || !utf8.ValidString(cr.ID) {
		return nil, badRequest(client.HeaderRequestID, "want UTF-8 of at most 128 bytes")
	}
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), callPrefix), "/")
	cr.Service = service
	cr.path = "/" + rest
	if r.URL.RawQuery != "" {
		cr.path += "?" + r.URL.RawQuery
	}
	if err := cr.readHeaders(r, now); err != nil {
		return nil, err
	}
	svc, ok := e.conf.Config().Service(service)
	if !ok {
		return nil, &callError{status: http.StatusNotFound, code: client.CodeNotFound, field: "service", message: strconv.Quote(service) + " does not exist"}
	}
	cr.deadline = cr.Deadline
	if cr.deadline.IsZero() {
		cr.deadline = now.Add(timeLimit(svc))
		cr.Deadline = cr.deadline
	}
	return cr, e.readBody(w, r, cr, svc.MaxBodyBytes)
}

// timeLimit returns the service's time limit for requests.
func timeLimit(svc model.Service) time.Duration {
	if svc.LimitMs <= 0 {
		return defaultTimeLimit
	}
	return time.Duration(svc.LimitMs) * time.Millisecond
}

// readHeaders reads and validates the headers of a caller's request.
func (cr *callRequest) readHeaders(r *http.Request, now time.Time) error {
	cr.Urgency = model.Urgency(r.Header.Get(client.HeaderUrgency))
	cr.DeclaredClass = admit.Class(r.Header.Get(client.HeaderClass))
	cr.Key = r.Header.Get(client.HeaderIdempotencyKey)
	cr.Idempotent = cr.Key == ""
	if once := r.Header.Get(client.HeaderAtMostOnce); once == "true" {
		cr.Idempotent = false
	} else if once != "" && once != "false" {
		return badRequest(client.HeaderAtMostOnce, "want true or false")
	}
	if s := r.Header.Get(client.HeaderDeclaredMs); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n < 0 {
			return badRequest(client.HeaderDeclaredMs, "want milliseconds, 0 or more")
		}
		cr.DeclaredMs = n
	}
	if s := r.Header.Get(client.HeaderDeadline); s != "" {
		deadline, err := client.ParseDeadline(s)
		if err != nil {
			return badRequest(client.HeaderDeadline, "want RFC 3339 or milliseconds since 1970")
		}
		if !deadline.After(now) {
			return badRequest(client.HeaderDeadline, "has passed")
		}
		cr.Deadline = deadline
	}
	cr.headers = forwardedHeaders(r.Header)
	cr.headers = append(cr.headers, &wire.Header{Name: client.HeaderRequestID, Value: []byte(cr.ID)})
	if cr.Key != "" {
		cr.headers = append(cr.headers, &wire.Header{Name: client.HeaderIdempotencyKey, Value: []byte(cr.Key)})
	}
	return nil
}

// notForwardedHeaders are the headers that aren't forwarded in either direction. The
// request id is set separately.
var notForwardedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	client.HeaderRequestID: true,
}

// forwardedHeaders returns the headers that are forwarded: all except those that
// concern a single connection or only this system.
func forwardedHeaders(h http.Header) []*wire.Header {
	connectionHeaders := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var out []*wire.Header
	for name, values := range h {
		if notForwardedHeaders[name] || connectionHeaders[name] || strings.HasPrefix(name, client.HeaderPrefix) {
			continue
		}
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: []byte(v)})
		}
	}
	return out
}

// readBody reads the whole body, within the service's limit and the space left in
// the entry's body buffer.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, cr *callRequest, limit int64) error {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	limit = min(limit, wire.MaxFrameBytes)
	if r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	size := limit
	if r.ContentLength >= 0 {
		size = r.ContentLength
	}
	if !e.bodyBuffer.TryAcquire(size) {
		return &callError{status: http.StatusServiceUnavailable, code: client.CodeBusy, field: "body", message: "no space for it in the buffer at present"}
	}
	body, err := readAll(w, r, limit)
	if err != nil {
		e.bodyBuffer.Release(size)
		return err
	}
	cr.body, cr.bufferedBytes = body, size
	return nil
}

// readAll reads the whole body of at most limit bytes.
func readAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bodyTooLarge(limit)
	case errors.Is(err, guard.ErrTooLarge):
		return nil, &callError{status: http.StatusRequestEntityTooLarge, code: client.CodeTooLarge, field: "body", message: err.Error()}
	case errors.Is(err, guard.ErrFull):
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Connection", "close")
		return nil, &callError{status: http.StatusServiceUnavailable, code: client.CodeBusy, field: "body", message: err.Error()}
	case err != nil:
		return nil, badRequest("body", "cut short: "+err.Error())
	}
	return body, nil
}

// bodyTooLarge returns the error for a body of more than limit bytes.
func bodyTooLarge(limit int64) error {
	return &callError{
		status: http.StatusRequestEntityTooLarge, code: client.CodeTooLarge,
		field: "body", message: "more than " + strconv.FormatInt(limit, 10) + " bytes",
	}
}
