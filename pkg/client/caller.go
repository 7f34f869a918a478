package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// MaxAnswerBytes is the largest answer that a Caller takes, in bytes.
const MaxAnswerBytes = 64 << 20

// Call is one request for a service.
type Call struct {
	Service  string
	Query    url.Values // passed on to the backend server
	ContentType     string     // content type of the body
	Body     []byte
	Urgency  model.Urgency // normal if empty
	Deadline time.Time     // when the answer is no longer of use; that of the context if zero
	IdempotencyKey      string        // idempotency key; marks a request that must run at most once
	Class    Class         // as the caller declares, may be empty
	DeclaredMs   int64         // declared work, 0 if not declared
	RequestID  string        // id of the request, made up by the entry if empty
}

// Answer is what became of a Call.
type Answer struct {
	Outcome Outcome
	Status  int // of the backend server
	Header  http.Header
	Body    []byte
	RequestID string // id of the request
}

// Caller is the client of a team's callers. It is safe for use by several
// goroutines. It never sends a request twice by itself: after ErrNotRun the
// caller may; after ErrUnknown only with the same Key, or if twice does no harm.
type Caller struct {
	server string
	key    string
	http   *http.Client
}

// NewCaller returns a client of a server, a base URL such as
// http://127.0.0.1:7300, for a team with the given key.
func NewCaller(server, key string, hc *http.Client) *Caller {
	return &Caller{server: server, key: key, http: hc}
}

// Call sends a request and returns its outcome. The error is nil only for a whole
// answer of the backend server, whatever its status; otherwise it is ErrNotRun or
// ErrUnknown, with the reason in its chain.
func (c *Caller) Call(ctx context.Context, call Call) (Answer, error) {
	req, err := c.request(ctx, call)
	if err != nil {
		return Answer{Outcome: OutcomeNotRun}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return unanswered(err)
	}
	defer resp.Body.Close() //nolint:errcheck // only read from
	a := Answer{Status: resp.StatusCode, Header: resp.Header, RequestID: resp.Header.Get(HeaderRequestID)}
	a.Outcome, a.Body, err = readAnswer(resp)
	return a, err
}

func (c *Caller) request(ctx context.Context, call Call) (*http.Request, error) {
	if call.Service == "" || strings.Contains(call.Service, "/") {
		return nil, errors.Wrapf(ErrMalformed, "service %q", call.Service)
	}
	path := PathCall + url.PathEscape(call.Service)
	if len(call.Query) > 0 {
		path += "?" + call.Query.Encode()
	}
	s := sling.New().Base(c.server).Post(path).Set("Authorization", "Bearer "+c.key).Body(bytes.NewReader(call.Body))
	for name, value := range call.headers(ctx) {
		if value != "" {
			s = s.Set(name, value)
		}
	}
	req, err := s.Request()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return req.WithContext(ctx), nil
}

// headers returns the headers of the call, with an empty value for those unset.
func (c Call) headers(ctx context.Context) map[string]string {
	deadline := c.Deadline
	if d, ok := ctx.Deadline(); ok && deadline.IsZero() {
		deadline = d
	}
	h := map[string]string{
		"Content-Type": c.ContentType,
		HeaderUrgency:  string(c.Urgency),
		HeaderIdempotencyKey:      c.IdempotencyKey,
		HeaderClass:    string(c.Class),
		HeaderRequestID:  c.RequestID,
	}
	if !deadline.IsZero() {
		h[HeaderDeadline] = deadline.UTC().Format(time.RFC3339Nano)
	}
	if c.DeclaredMs > 0 {
		h[HeaderDeclaredMs] = strconv.FormatInt(c.DeclaredMs, 10)
	}
	return h
}

// unanswered returns the outcome of a request without an answer: it can't have
// run if no connection was made.
func unanswered(err error) (Answer, error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Answer{Outcome: OutcomeNotRun}, fmt.Errorf("%w: %w: %w", ErrNotRun, ErrUnreachable, err)
	}
	return Answer{Outcome: OutcomeUnknown}, fmt.Errorf("%w: %w: %w", ErrUnknown, ErrUnreachable, err)
}

// readAnswer reads an answer whole. One that is cut, too large or without an
// outcome leaves it unknown.
func readAnswer(resp *http.Response) (Outcome, []byte, error) {
	outcome := Outcome(resp.Header.Get(HeaderOutcome))
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	switch {
	case outcome == OutcomeNotRun:
		return OutcomeNotRun, body, fmt.Errorf("%w: %w", ErrNotRun, errorOf(resp.StatusCode, body))
	case err != nil:
		return OutcomeUnknown, nil, fmt.Errorf("%w: answer cut short: %w", ErrUnknown, err)
	case len(body) > MaxAnswerBytes:
		return OutcomeUnknown, nil, fmt.Errorf("%w: answer: %w", ErrUnknown, ErrTooLarge)
	case outcome == OutcomeAnswer:
		return OutcomeAnswer, body, nil
	default:
		return OutcomeUnknown, body, fmt.Errorf("%w: %w", ErrUnknown, errorOf(resp.StatusCode, body))
	}
}

// ParseDeadline reads the value of the deadline header: RFC 3339, or milliseconds
// since 1970.
func ParseDeadline(value string) (time.Time, error) {
	if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms > 0 {
		return time.UnixMilli(ms), nil
	}
	t, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return time.Time{}, errors.Wrapf(ErrMalformed, "%s %q: want RFC 3339 or milliseconds since 1970", HeaderDeadline, value)
	}
	return t, nil
}
