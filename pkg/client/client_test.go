package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

func newOperator(t *testing.T, servers ...string) *client.Operator {
	t.Helper()
	o, err := client.NewOperator(servers, "ala", "secret", http.DefaultClient)
	require.NoError(t, err)
	return o
}

func startServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.URL
}

// unusedURL returns the URL of an address on which nothing listens.
func unusedURL(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return "http://" + ln.Addr().String()
}

func writeError(w http.ResponseWriter, e *client.Error) {
	w.WriteHeader(e.Code.Status())
	_ = json.NewEncoder(w).Encode(client.ErrorBody{Error: e})
}

func TestOperatorMapsErrors(t *testing.T) {
	tests := map[client.Code]error{
		client.CodeMalformed: client.ErrMalformed,
		client.CodeDenied:    client.ErrDenied,
		client.CodeForbidden: client.ErrForbidden,
		client.CodeNotFound:  client.ErrNotFound,
		client.CodeConflict:  client.ErrConflict,
		client.CodeRefused:   client.ErrRefused,
		client.CodeTooLarge:  client.ErrTooLarge,
		client.CodeBusy:      client.ErrBusy,
		client.CodeDeadline:  client.ErrDeadline,
		client.CodeInternal:  client.ErrInternal,
	}
	for code, want := range tests {
		t.Run(string(code), func(t *testing.T) {
			url := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				writeError(w, &client.Error{Code: code, Field: "ops[0]", Message: "m", Revision: 7})
			})
			_, err := newOperator(t, url).Teams(t.Context())
			require.ErrorIs(t, err, want)
			var e *client.Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, "ops[0]", e.Field)
			require.EqualValues(t, 7, e.Revision)
			for other, sentinel := range tests {
				require.Equal(t, other == code, errors.Is(err, sentinel), other)
			}
		})
	}
}

// An intent that gets no answer is sent again with the same id, to the next server.
func TestOperatorResendsSameIntent(t *testing.T) {
	var bodies []string
	var calls atomic.Int64
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		var in model.Intent
		require.NoError(t, json.NewDecoder(r.Body).Decode(&in))
		bodies = append(bodies, in.ID)
		require.Equal(t, "Bearer secret", r.Header.Get("Authorization"))
		require.Equal(t, "ala", r.Header.Get(client.HeaderOperator))
		if calls.Add(1) == 1 {
			writeError(w, &client.Error{Code: client.CodeUnavailable, Message: "no leader"})
			return
		}
		_ = json.NewEncoder(w).Encode(model.Plan{ID: "p1", Intent: in.ID})
	})
	plan, err := newOperator(t, unusedURL(t), url).Propose(t.Context(), model.Intent{ID: "i1", Operator: "ala"})
	require.NoError(t, err)
	require.Equal(t, "i1", plan.Intent)
	require.Equal(t, []string{"i1", "i1"}, bodies)
}

func TestOperatorUnreachable(t *testing.T) {
	_, err := newOperator(t, unusedURL(t)).Workers(t.Context())
	require.ErrorIs(t, err, client.ErrUnreachable)
	_, err = client.NewOperator(nil, "ala", "k", http.DefaultClient)
	require.ErrorIs(t, err, client.ErrNoServer)
	_, err = client.NewOperator([]string{"127.0.0.1:1"}, "ala", "k", http.DefaultClient)
	require.ErrorIs(t, err, client.ErrMalformed)
}

func TestCallOutcomes(t *testing.T) {
	tests := map[string]struct {
		serve   http.HandlerFunc
		outcome client.Outcome
		want    error
	}{
		"whole answer": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(client.HeaderOutcome, string(client.OutcomeAnswer))
			fmt.Fprint(w, "done")
		}, client.OutcomeAnswer, nil},
		"error of the backend server is its answer": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(client.HeaderOutcome, string(client.OutcomeAnswer))
			w.WriteHeader(http.StatusInternalServerError)
		}, client.OutcomeAnswer, nil},
		"not run": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(client.HeaderOutcome, string(client.OutcomeNotRun))
			writeError(w, &client.Error{Code: client.CodeBusy, Message: "queue"})
		}, client.OutcomeNotRun, client.ErrBusy},
		"unknown": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(client.HeaderOutcome, string(client.OutcomeUnknown))
			writeError(w, &client.Error{Code: client.CodeDeadline, Message: "late"})
		}, client.OutcomeUnknown, client.ErrDeadline},
		"no outcome, from a balancer": {func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "bad gateway", http.StatusBadGateway)
		}, client.OutcomeUnknown, client.ErrUnknown},
		"answer cut short": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(client.HeaderOutcome, string(client.OutcomeAnswer))
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "don")
		}, client.OutcomeUnknown, client.ErrUnknown},
		"connection lost": {func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, client.OutcomeUnknown, client.ErrUnreachable},
		"connection reset": {func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			require.NoError(t, err)
			require.NoError(t, c.(*net.TCPConn).SetLinger(0))
			require.NoError(t, c.Close())
		}, client.OutcomeUnknown, client.ErrUnreachable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, err := client.NewCaller(startServer(t, tt.serve), "k", http.DefaultClient).Call(t.Context(), client.Call{Service: "rota"})
			require.Equal(t, tt.outcome, a.Outcome)
			require.ErrorIs(t, err, tt.want)
			switch tt.outcome {
			case client.OutcomeNotRun:
				require.ErrorIs(t, err, client.ErrNotRun)
			case client.OutcomeUnknown:
				require.ErrorIs(t, err, client.ErrUnknown)
			default:
				require.NoError(t, err)
			}
		})
	}
	a, err := client.NewCaller(unusedURL(t), "k", http.DefaultClient).Call(t.Context(), client.Call{Service: "rota"})
	require.Equal(t, client.OutcomeNotRun, a.Outcome)
	require.ErrorIs(t, err, client.ErrNotRun)
}

// Only the outcome header decides whether a request counts as not run or as
// unknown, whatever the error code.
func TestOutcomeHeaderDecides(t *testing.T) {
	codes := []client.Code{
		client.CodeBusy, client.CodeStale, client.CodeDraining, client.CodeLost, client.CodeTruncated,
		client.CodeRunning, client.CodeUnavailable, client.CodeInternal,
	}
	outcomes := map[client.Outcome]error{client.OutcomeNotRun: client.ErrNotRun, client.OutcomeUnknown: client.ErrUnknown}
	for _, code := range codes {
		for outcome := range outcomes {
			url := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(client.HeaderOutcome, string(outcome))
				writeError(w, &client.Error{Code: code, Message: "m"})
			})
			_, err := client.NewCaller(url, "k", http.DefaultClient).Call(t.Context(), client.Call{Service: "rota"})
			for other, sentinel := range outcomes {
				require.Equal(t, other == outcome, errors.Is(err, sentinel), "%s %s", code, outcome)
			}
		}
	}
}

// An error answer of an intermediary has no error body; the request is retried
// only for statuses that mean that the server is unavailable.
func TestErrorAnswerOfIntermediary(t *testing.T) {
	tests := map[int]struct {
		want  error
		calls int64
	}{
		http.StatusNotFound:           {client.ErrNotFound, 1},
		http.StatusUnauthorized:       {client.ErrDenied, 1},
		http.StatusMethodNotAllowed:   {client.ErrMalformed, 1},
		http.StatusBadGateway:         {client.ErrUnavailable, 4},
		http.StatusServiceUnavailable: {client.ErrUnavailable, 4},
	}
	for status, tt := range tests {
		t.Run(http.StatusText(status), func(t *testing.T) {
			var calls atomic.Int64
			url := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				http.Error(w, "no", status)
			})
			_, err := newOperator(t, url).Teams(t.Context())
			require.ErrorIs(t, err, tt.want)
			require.Equal(t, tt.calls, calls.Load())
		})
	}
}

func TestCallHeaders(t *testing.T) {
	wantDeadline := time.Date(2026, 4, 5, 6, 0, 0, 5e6, time.UTC)
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/v1/call/rota", r.URL.Path)
		require.Equal(t, "5", r.URL.Query().Get("ms"))
		require.Equal(t, "urgent", r.Header.Get(client.HeaderUrgency))
		require.Equal(t, "k1", r.Header.Get(client.HeaderIdempotencyKey))
		deadline, err := client.ParseDeadline(r.Header.Get(client.HeaderDeadline))
		require.NoError(t, err)
		require.True(t, wantDeadline.Equal(deadline))
		w.Header().Set(client.HeaderOutcome, string(client.OutcomeAnswer))
	})
	_, err := client.NewCaller(url, "k", http.DefaultClient).Call(t.Context(), client.Call{
		Service: "rota", Query: map[string][]string{"ms": {"5"}}, Urgency: model.Urgent, IdempotencyKey: "k1", Deadline: wantDeadline,
	})
	require.NoError(t, err)
	_, err = client.ParseDeadline("tomorrow")
	require.ErrorIs(t, err, client.ErrMalformed)
}

func ExampleCaller_Call() {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(client.HeaderOutcome, string(client.OutcomeAnswer))
		fmt.Fprint(w, "12 corporals")
	}))
	defer entry.Close()
	c := client.NewCaller(entry.URL, "team key", http.DefaultClient)
	a, err := c.Call(context.Background(), client.Call{Service: "rota", Urgency: model.Urgent})
	fmt.Println(a.Outcome, string(a.Body), err)
	// Output: answer 12 corporals <nil>
}
