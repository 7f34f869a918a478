package fakes

import (
	"context"
	"net"
	"net/http"
)

// Handler returns an HTTP handler that controls the relay: GET and PUT /state, and POST
// /silence, which calls SilenceOpen.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, r.State())
	})
	mux.HandleFunc("PUT /state", func(w http.ResponseWriter, req *http.Request) {
		var s RelayState
		err := readJSON(req, &s)
		if err == nil {
			err = r.Set(s)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, s)
	})
	mux.HandleFunc("POST /silence", func(w http.ResponseWriter, _ *http.Request) {
		r.SilenceOpen()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// ServeControl serves the relay's HTTP handler until ctx is done.
func (r *Relay) ServeControl(ctx context.Context, ln net.Listener) error {
	return serveHTTP(ctx, ln, r.Handler(), nil)
}
