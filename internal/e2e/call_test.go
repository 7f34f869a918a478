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

// ask describes one request that a test sends as a caller.
type ask struct {
	key, id, once, class string
	urgency              string
	ms                   int
	within               time.Duration
	body                 string
}

// reply is the result of one request as the caller sees it.
type reply struct {
	status  int
	outcome client.Outcome
	answer  fakes.Answer
	body    string
	took    time.Duration
	err     error
}

// call sends a request through the entry at an index and waits for its reply.
// By default it uses teamKey and a deadline in 10 s.
func (c *cluster) call(entry int, a ask) reply {
	if a.key == "" {
		a.key = teamKey
	}
	if a.within == 0 {
		a.within = 10 * time.Second
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), a.within+5*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/call/%s/work?ms=%d", c.callAddr[entry], service, a.ms)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(a.body)))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set(client.HeaderDeadline, fmt.Sprint(began.Add(a.within).UnixMilli()))
	for name, v := range map[string]string{
		client.HeaderRequest: a.id, client.HeaderKey: a.once, client.HeaderClass: a.class, client.HeaderUrgency: a.urgency,
	} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, outcome: client.Outcome(resp.Header.Get(client.HeaderOutcome)), body: string(body), took: time.Since(began), err: err}
	if r.outcome == client.OutcomeAnswer {
		_ = json.Unmarshal(body, &r.answer)
	}
	return r
}

// requireAnswer requires the reply to be the complete answer of the backend
// server to this request.
func requireAnswer(t *testing.T, a ask, r reply) {
	t.Helper()
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, client.OutcomeAnswer, r.outcome)
	require.Equal(t, hash(a.body), r.answer.Hash)
	if a.id != "" {
		require.Equal(t, a.id, r.answer.Request)
	}
}
