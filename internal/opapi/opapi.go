// Package opapi is the HTTP side of the operators' API: it authenticates the
// operator, limits the size of the body and forwards the request.
package opapi

import (
	"context"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const (
	maxBody = 4 << 20          // bytes
	timeout = 10 * time.Second // of one request
)

// Doer carries out an operator's request and returns the reply.
type Doer func(ctx context.Context, req *wire.ApiRequest) (*wire.ApiReply, error)

// Handler serves the operators' API.
type Handler struct {
	keys map[string]string // hex keys by name of the operator
	do   Doer
	log  *zap.Logger
}

// New returns a handler that accepts the operators whose hex keys are given by
// name and carries out their requests with do.
func New(keys map[string]string, do Doer, log *zap.Logger) *Handler {
	return &Handler{keys: keys, do: do, log: log}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	op := r.Header.Get(client.HeaderOperator)
	if !h.known(op, r) {
		fail(w, http.StatusUnauthorized, client.CodeDenied, "Authorization", "no operator of this name has this key")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		fail(w, http.StatusBadRequest, client.CodeBad, "body", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	rep, err := h.do(ctx, &wire.ApiRequest{Verb: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Operator: op, Body: body})
	if err != nil {
		h.log.Warn("operator's request failed", zap.String("operator", op), zap.String("path", r.URL.Path), zap.Error(err))
		fail(w, http.StatusServiceUnavailable, client.CodeUnavailable, "", "no quorum of control processes answered; ask again with the same id")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(int(rep.Status))
	_, _ = w.Write(rep.Body)
}

func (h *Handler) known(op string, r *http.Request) bool {
	key, ok := h.keys[op]
	given, hasKey := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || !hasKey {
		return false
	}
	want, err := hex.DecodeString(key)
	if err != nil {
		return false
	}
	got, err := hex.DecodeString(given)
	return err == nil && subtle.ConstantTimeCompare(want, got) == 1
}

func fail(w http.ResponseWriter, status int, code client.Code, field, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(client.ErrorBody{Error: &client.Error{Code: code, Field: field, Message: text}})
}
