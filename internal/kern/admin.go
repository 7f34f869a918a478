package kern

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Limits of the admin listener.
const (
	adminHeader  = 16 << 10 // bytes
	adminBody    = 16 << 10 // bytes
	adminRead    = 5 * time.Second
	adminWrite   = 30 * time.Second
	adminIdle    = time.Minute
	adminClosing = 2 * time.Second
)

// admin is the HTTP server for operators of one process.
type admin struct {
	daemon  *Daemon
	trusted bool // no token is required
	token   string
	metrics http.Handler
	level   http.Handler
}

// serve answers requests until ctx is done.
func (a *admin) serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{
		Handler:           a.handler(),
		ReadHeaderTimeout: adminRead,
		ReadTimeout:       adminRead,
		WriteTimeout:      adminWrite,
		IdleTimeout:       adminIdle,
		MaxHeaderBytes:    adminHeader,
		ErrorLog:          zap.NewStdLog(a.daemon.log),
	}
	var g errgroup.Group
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serving the admin listener")
		}
		return nil
	})
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), adminClosing)
	defer cancel()
	if srv.Shutdown(stop) != nil {
		_ = srv.Close()
	}
	return g.Wait()
}

func (a *admin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", a.health)
	mux.Handle("GET /metrics", a.guard(a.metrics))
	mux.Handle("GET /dump", a.guard(http.HandlerFunc(a.dump)))
	mux.Handle("GET /log/level", a.guard(a.level))
	mux.Handle("PUT /log/level", a.guard(a.level))
	mux.Handle("GET /debug/pprof/", a.guard(http.HandlerFunc(pprof.Index)))
	mux.Handle("GET /debug/pprof/profile", a.guard(http.HandlerFunc(pprof.Profile)))
	mux.Handle("POST /drain", a.guard(http.HandlerFunc(a.drain)))
	return http.MaxBytesHandler(mux, adminBody)
}

// guard rejects requests without the process's admin token, unless the network
// is trusted.
func (a *admin) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !a.trusted && subtle.ConstantTimeCompare([]byte(token), []byte(a.token)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, `{"error":{"code":"denied","message":"admin token missing or wrong"}}`, http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// health answers 200 while the process accepts work and 503 once it drains.
func (a *admin) health(w http.ResponseWriter, _ *http.Request) {
	state := a.daemon.State()
	status := http.StatusOK
	if state != StateRunning {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, Health{State: state})
}

func (a *admin) dump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.daemon.Dump())
}

func (a *admin) drain(w http.ResponseWriter, _ *http.Request) {
	a.daemon.Stop()
	writeJSON(w, http.StatusAccepted, Health{State: StateDraining})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n'))
}
