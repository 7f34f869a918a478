package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxBodyBytes      = 16 << 20 // maximum bytes read from a request's body
)

// Clock returns the current time. Tests use their own implementation.
type Clock interface {
	Now() time.Time
}

// WallClock is the system clock.
type WallClock struct{}

// Now returns the time of the system clock.
func (WallClock) Now() time.Time { return time.Now() }

// serveHTTP serves HTTP requests until ctx is done. It then closes all connections at
// once, as if the host had failed.
func serveHTTP(ctx context.Context, ln net.Listener, h http.Handler, connState func(net.Conn, http.ConnState)) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ConnState: connState}
	var g errgroup.Group
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve HTTP")
		}
		return nil
	})
	<-ctx.Done()
	_ = srv.Close()
	return g.Wait()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes a request body and refuses unknown fields.
func readJSON(r *http.Request, dest any) error {
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	return dec.Decode(dest)
}

// sleep waits until d has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
