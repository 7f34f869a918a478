// Package opapi is the HTTP side of the operators' API: it tells who the
// operator is, bounds what is read, and hands the request on.
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
	maxBody = 4 << 20
	timeout = 10 * time.Second
)

// ExecuteFunc carries an operator's request out.
type ExecuteFunc func(ctx context.Context, req *wire.ApiRequest) (*wire.ApiReply, error)

// Handler serves the operators' API.
type Handler struct {
	keys map[string]string // hex key of each operator, by name
	do   ExecuteFunc
	log  *zap.Logger
}

// New returns a handler for the operators whose hex keys are given by name.
func New(keys map[string]string, do ExecuteFunc, log *zap.Logger) *Handler {
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
		fail(w, http.StatusBadRequest, client.CodeMalformed, "body", err.Error())
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
