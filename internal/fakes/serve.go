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
	bodyMax           = 16 << 20 // bytes of a request's body
)

// Clock tells the time. Tests inject their own.
type Clock interface {
	Now() time.Time
}

// WallClock tells the time of the host.
type WallClock struct{}

// Now returns the time of the host.
func (WallClock) Now() time.Time { return time.Now() }

// serveHTTP serves until ctx is done. It cuts off what still runs then, as a
// host that goes away would.
func serveHTTP(ctx context.Context, ln net.Listener, h http.Handler, state func(net.Conn, http.ConnState)) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ConnState: state}
	var g errgroup.Group
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serving")
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

// readJSON decodes a whole body and refuses unknown fields.
func readJSON(r *http.Request, into any) error {
	dec := json.NewDecoder(io.LimitReader(r.Body, bodyMax))
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}

// pause waits until d has passed or the request is given up.
func pause(ctx context.Context, d time.Duration) error {
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
