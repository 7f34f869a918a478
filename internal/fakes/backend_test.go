package fakes_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/fakes"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

func sendWork(t *testing.T, url, id, key, body string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/work?ms=0", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set(client.HeaderRequestID, id)
	req.Header.Set(client.HeaderIdempotencyKey, key)
	return (&http.Client{Timeout: 5 * time.Second}).Do(req)
}

func TestBackendRespondsAndRecordsRuns(t *testing.T) {
	b := fakes.NewBackend(fakes.BackendConfig{ID: "b1"}, fakes.WallClock{})
	srv := httptest.NewServer(b.Handler())
	defer srv.Close()
	resp, err := sendWork(t, srv.URL, "r1", "k1", "twelve corporals")
	require.NoError(t, err)
	var a fakes.Answer
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&a))
	sum := sha256.Sum256([]byte("twelve corporals"))
	require.Equal(t, fakes.Answer{Request: "r1", Key: "k1", Hash: hex.EncodeToString(sum[:]), Backend: "b1"}, a)
	_, err = sendWork(t, srv.URL, "r2", "k1", "")
	require.NoError(t, err)
	require.Equal(t, map[string]int{"k1": 2}, fakes.RunsByKey(b.Journal.Entries()))
}

func TestBackendFaults(t *testing.T) {
	b := fakes.NewBackend(fakes.BackendConfig{ID: "b1"}, fakes.WallClock{})
	srv := httptest.NewServer(b.Handler())
	defer srv.Close()
	b.SetFault(fakes.BackendFault{Fails: true})
	resp, err := sendWork(t, srv.URL, "r", "", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
	b.SetFault(fakes.BackendFault{CutAnswer: true})
	resp, err = sendWork(t, srv.URL, "r", "", "")
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	b.SetFault(fakes.BackendFault{ExtraBytes: 1 << 20})
	resp, err = sendWork(t, srv.URL, "r", "", "")
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Greater(t, len(body), 1<<20)
}

func TestBackendRefusesRequestsBeyondItsSlots(t *testing.T) {
	b := fakes.NewBackend(fakes.BackendConfig{ID: "b1", Slots: 1}, fakes.WallClock{})
	srv := httptest.NewServer(b.Handler())
	defer srv.Close()
	b.SetFault(fakes.BackendFault{Frozen: true})
	ctx := t.Context()
	var g errgroup.Group
	frozenRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/work?ms=0", nil)
	require.NoError(t, err)
	g.Go(func() error {
		resp, err := srv.Client().Do(frozenRequest)
		if err == nil {
			resp.Body.Close()
		}
		return nil
	})
	require.Eventually(t, func() bool { return b.Active() == 1 }, 5*time.Second, time.Millisecond)
	resp, err := sendWork(t, srv.URL, "r2", "k", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Empty(t, fakes.RunsByKey(b.Journal.Entries()))
	require.Equal(t, 2, b.Peak())
	srv.CloseClientConnections()
	require.NoError(t, g.Wait())
}

func TestBackendAnnouncesItself(t *testing.T) {
	var presentCount, leavingCount atomic.Int64
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a fakes.Announcement
		if json.NewDecoder(r.Body).Decode(&a) != nil || a.Service != "rota" || a.Slots != fakes.DefaultSlots {
			return
		}
		if a.Leaving {
			leavingCount.Add(1)
			return
		}
		presentCount.Add(1)
	}))
	defer agent.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := fakes.NewBackend(fakes.BackendConfig{ID: "b1", Service: "rota", AgentURL: agent.URL}, fakes.WallClock{})
	var g errgroup.Group
	g.Go(func() error { return b.Serve(t.Context(), ln) })
	require.Eventually(t, func() bool { return presentCount.Load() > 0 }, 5*time.Second, time.Millisecond)
	require.NoError(t, b.Leave(t.Context(), ln.Addr().String()))
	require.Positive(t, leavingCount.Load())
}

func TestBackendClosesConnectionsBeyondItsLimit(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := fakes.NewBackend(fakes.BackendConfig{ID: "b1", MaxConns: 2}, fakes.WallClock{})
	var g errgroup.Group
	g.Go(func() error { return b.Serve(t.Context(), ln) })
	addr := ln.Addr().String()
	for range 2 {
		c := dial(t, addr)
		_, err := c.Write([]byte("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n"))
		require.NoError(t, err)
		require.NoError(t, receive(c, passTimeout))
	}
	excess := dial(t, addr)
	_, _ = excess.Write([]byte("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n"))
	err = receive(excess, passTimeout)
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a run that is missing from the journal because its caller gave up.
func TestBackendRecordsAbandonedRun(t *testing.T) {
	b := fakes.NewBackend(fakes.BackendConfig{ID: "b1"}, fakes.WallClock{})
	b.SetFault(fakes.BackendFault{Frozen: true})
	srv := httptest.NewServer(b.Handler())
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/work?ms=0", nil)
	require.NoError(t, err)
	req.Header.Set(client.HeaderIdempotencyKey, "k1")
	var g errgroup.Group
	g.Go(func() error {
		resp, err := srv.Client().Do(req)
		if err == nil {
			resp.Body.Close()
		}
		return err
	})
	require.Eventually(t, func() bool { return b.Active() == 1 }, passTimeout, time.Millisecond)
	cancel()
	require.ErrorIs(t, g.Wait(), context.Canceled)
	require.Eventually(t, func() bool { return b.Active() == 0 }, passTimeout, time.Millisecond)
	require.Equal(t, map[string]int{"k1": 1}, fakes.RunsByKey(b.Journal.Entries()))
	require.Zero(t, b.Journal.Entries()[0].Ended)
}
