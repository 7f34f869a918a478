package agent

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	maxAnnouncementBytes = 4 << 10
	maxSlots             = 1024
	maxNameLen           = 64
	announcementTimeout  = 3 * time.Second
)

// Sentinel errors of announcements.
var (
	ErrInvalidAnnouncement = errors.New("bad announcement")
	ErrDuplicateServer     = errors.New("another backend server is announced here")
)

// announcement describes a backend server. The backend server posts it once a
// second.
type announcement struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
}

// Validate returns an error that names the first invalid field.
func (a announcement) Validate() error {
	switch {
	case a.ID == "" || len(a.ID) > maxNameLen:
		return errors.Wrapf(ErrInvalidAnnouncement, "id: %q, want 1 to %d characters", truncate(a.ID), maxNameLen)
	case a.Service == "" || len(a.Service) > maxNameLen:
		return errors.Wrapf(ErrInvalidAnnouncement, "service: %q, want 1 to %d characters", truncate(a.Service), maxNameLen)
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.Wrapf(ErrInvalidAnnouncement, "slots: %d, want 1 to %d", a.Slots, maxSlots)
	}
	host, port, err := net.SplitHostPort(a.Addr)
	if err != nil {
		return errors.Wrapf(ErrInvalidAnnouncement, "addr: %q, want IP:port", truncate(a.Addr))
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 || net.ParseIP(host) == nil {
		return errors.Wrapf(ErrInvalidAnnouncement, "addr: %q, want IP:port", truncate(a.Addr))
	}
	return nil
}

func truncate(s string) string {
	if len(s) > maxNameLen {
		return s[:maxNameLen] + "…"
	}
	return s
}

// announceHandler returns the handler that receives the backend server's
// announcements. It listens on a loopback address.
func (a *Agent) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", a.handleAnnounce)
	return mux
}

func (a *Agent) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var ann announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&ann); err != nil {
		writeError(w, http.StatusBadRequest, errors.Wrap(err, "announcement"))
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if err := ann.Validate(); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if err := a.server.announce(ann, a.env.Clock.Now()); err != nil {
		a.env.Log.Warn("announcement refused", zap.String("server", ann.ID), zap.Error(err))
		writeError(w, http.StatusConflict, err)
		return
	}
	a.updateGrants()
	w.WriteHeader(http.StatusNoContent)
}

type errorBody struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: err.Error()})
}
