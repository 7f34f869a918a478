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

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/guard"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const (
	maxBodyBytes   = 4 << 20          // bytes
	requestTimeout = 10 * time.Second // of one request
)

// ExecuteFunc carries out an operator's request and returns the reply.
type ExecuteFunc func(ctx context.Context, req *wire.ApiRequest) (*wire.ApiReply, error)

// Handler serves the operators' API.
type Handler struct {
	keys    map[string]string // hex keys by name of the operator
	execute ExecuteFunc
	log     *zap.Logger
}

// New returns a handler that accepts the operators whose hex keys are given by
// name and carries out their requests with do.
func New(keys map[string]string, execute ExecuteFunc, log *zap.Logger) *Handler {
	return &Handler{keys: keys, execute: execute, log: log}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	operator := r.Header.Get(client.HeaderOperator)
	if !h.authenticated(operator, r) {
		writeError(w, http.StatusUnauthorized, client.CodeDenied, "Authorization", "no operator of this name has this key")
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		refuseBody(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	reply, err := h.execute(ctx, &wire.ApiRequest{Verb: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Operator: operator, Body: body})
	if err != nil {
		h.log.Warn("operator's request failed", zap.String("operator", operator), zap.String("path", r.URL.Path), zap.Error(err))
		writeError(w, http.StatusServiceUnavailable, client.CodeUnavailable, "", "no quorum of control processes answered; ask again with the same id")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(int(reply.Status))
	_, _ = w.Write(reply.Body)
}

// readBody reads the whole body and takes the room for decoding it, here or on the leader.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	return body, errors.Wrap(guard.ChargeJSON(r.Context(), body), "decode")
}

// refuseBody answers a request whose body readBody hasn't returned. It has not been carried out.
func refuseBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, guard.ErrTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, client.CodeTooLarge, "body", err.Error())
	case errors.Is(err, guard.ErrFull):
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Connection", "close")
		writeError(w, http.StatusServiceUnavailable, client.CodeUnavailable, "body", err.Error())
	default:
		writeError(w, http.StatusBadRequest, client.CodeMalformed, "body", err.Error())
	}
}

func (h *Handler) authenticated(operator string, r *http.Request) bool {
	key, ok := h.keys[operator]
	givenHex, hasKey := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || !hasKey {
		return false
	}
	want, err := hex.DecodeString(key)
	if err != nil {
		return false
	}
	got, err := hex.DecodeString(givenHex)
	return err == nil && subtle.ConstantTimeCompare(want, got) == 1
}

func writeError(w http.ResponseWriter, status int, code client.Code, field, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(client.ErrorBody{Error: &client.Error{Code: code, Field: field, Message: message}})
}
