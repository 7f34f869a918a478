package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

// requestSpec describes one request that a test sends as a caller.
type requestSpec struct {
	apiKey, id, idempotencyKey, class string
	urgency                           string
	workMs                            int
	timeout                           time.Duration
	body                              string
}

// callResult is the result of one request as the caller sees it.
type callResult struct {
	status  int
	outcome client.Outcome
	answer  fakes.Answer
	body    string
	elapsed time.Duration
	err     error
}

// call sends a request through the entry at an index and returns its result.
// By default it uses teamKey and a deadline in 10 s.
func (c *cluster) call(entry int, spec requestSpec) callResult {
	if spec.apiKey == "" {
		spec.apiKey = teamKey
	}
	if spec.timeout == 0 {
		spec.timeout = 10 * time.Second
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), spec.timeout+5*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/call/%s/work?ms=%d", c.callAddrs[entry], serviceName, spec.workMs)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(spec.body)))
	if err != nil {
		return callResult{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+spec.apiKey)
	req.Header.Set(client.HeaderDeadline, fmt.Sprint(start.Add(spec.timeout).UnixMilli()))
	for name, v := range map[string]string{
		client.HeaderRequestID: spec.id, client.HeaderIdempotencyKey: spec.idempotencyKey, client.HeaderClass: spec.class, client.HeaderUrgency: spec.urgency,
	} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResult{err: err, elapsed: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r := callResult{status: resp.StatusCode, outcome: client.Outcome(resp.Header.Get(client.HeaderOutcome)), body: string(body), elapsed: time.Since(start), err: err}
	if r.outcome == client.OutcomeAnswer {
		_ = json.Unmarshal(body, &r.answer)
	}
	return r
}

// requireAnswer requires the result to be the complete answer of the backend
// server to this request.
func requireAnswer(t *testing.T, spec requestSpec, r callResult) {
	t.Helper()
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, client.OutcomeAnswer, r.outcome)
	require.Equal(t, sha256Hex(spec.body), r.answer.Hash)
	if spec.id != "" {
		require.Equal(t, spec.id, r.answer.Request)
	}
}
