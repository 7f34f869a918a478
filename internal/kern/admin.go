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

	"github.com/knapweedlug/knapweedlug/internal/guard"
)

// Limits of the admin listener.
const (
	adminMaxHeaderBytes  = 16 << 10
	adminMaxBodyBytes    = 16 << 10
	adminReadTimeout     = 5 * time.Second
	adminWriteTimeout    = 30 * time.Second
	adminIdleTimeout     = time.Minute
	adminShutdownTimeout = 2 * time.Second
)

// adminServer is the HTTP server for operators of one process.
type adminServer struct {
	daemon   *Daemon
	trusted  bool // no token is required
	token    string
	metrics  http.Handler
	logLevel http.Handler
	guard    *guard.Budget
}

// serve answers requests until ctx is done.
func (a *adminServer) serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{
		Handler:           a.handler(),
		ReadHeaderTimeout: adminReadTimeout,
		ReadTimeout:       adminReadTimeout,
		WriteTimeout:      adminWriteTimeout,
		IdleTimeout:       adminIdleTimeout,
		MaxHeaderBytes:    adminMaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(a.daemon.log),
	}
	a.guard.Serve(srv, 1)
	ln = a.guard.Listen(ln)
	var g errgroup.Group
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serving the admin listener")
		}
		return nil
	})
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), adminShutdownTimeout)
	defer cancel()
	if srv.Shutdown(stopCtx) != nil {
		_ = srv.Close()
	}
	return g.Wait()
}

func (a *adminServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", a.serveHealth)
	mux.Handle("GET /metrics", a.requireToken(a.metrics))
	mux.Handle("GET /dump", a.requireToken(http.HandlerFunc(a.serveDump)))
	mux.Handle("GET /log/level", a.requireToken(a.logLevel))
	mux.Handle("PUT /log/level", a.requireToken(a.logLevel))
	mux.Handle("GET /debug/pprof/", a.requireToken(http.HandlerFunc(pprof.Index)))
	mux.Handle("GET /debug/pprof/profile", a.requireToken(http.HandlerFunc(pprof.Profile)))
	mux.Handle("POST /drain", a.requireToken(http.HandlerFunc(a.startDrain)))
	return http.MaxBytesHandler(mux, adminMaxBodyBytes)
}

// requireToken rejects requests without the process's admin token, unless the
// network is trusted.
func (a *adminServer) requireToken(next http.Handler) http.Handler {
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

// serveHealth answers 200 while the process accepts work and 503 once it drains.
func (a *adminServer) serveHealth(w http.ResponseWriter, _ *http.Request) {
	state := a.daemon.State()
	status := http.StatusOK
	if state != StateRunning {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, Health{State: state})
}

func (a *adminServer) serveDump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.daemon.Dump())
}

func (a *adminServer) startDrain(w http.ResponseWriter, _ *http.Request) {
	a.daemon.Stop()
	writeJSON(w, http.StatusAccepted, Health{State: StateDraining})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
