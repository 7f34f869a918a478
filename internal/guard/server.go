package guard

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Serve sets up a server for listeners that Listen returned. bodyCost is what a byte of a body costs: how often it is
// copied and decoded before the handler returns.
func (b *Budget) Serve(srv *http.Server, bodyCost int64) {
	if b == nil {
		return
	}
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	srv.ConnState = func(c net.Conn, s http.ConnState) {
		if g, ok := c.(*conn); ok && s == http.StateIdle {
			g.endRequest()
		}
	}
	srv.Handler = &handler{next: srv.Handler, bodyCost: bodyCost, readTimeout: srv.ReadTimeout, writeTimeout: srv.WriteTimeout}
}

// handler takes requests from the budget while they are served.
type handler struct {
	next     http.Handler
	bodyCost int64
	// The server's own limits for a whole request and a whole answer, 0 for none.
	readTimeout, writeTimeout time.Duration
}

// ServeHTTP implements http.Handler. What the request holds is given back when the connection is idle or closed: until
// then the server reads the rest of the body.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	c.inHead.Store(false)
	c.idle.Store(false)
	c.holder.Reset()
	c.holder.Enter(PhaseServe)
	c.limitWrites(h.writeTimeout)
	if err := c.holder.Take(requestCost(r)); err != nil {
		refuse(w)
		return
	}
	if r.Body == nil || r.Body == http.NoBody {
		h.next.ServeHTTP(w, r)
		return
	}
	b := newBody(c, r.Body, h.bodyCost, h.readTimeout)
	r.Body = b
	h.next.ServeHTTP(w, r)
	b.finish()
}

// requestCost returns what the head of a request costs.
func requestCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI)+len(r.Host), 1
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return headCost(size, lines)
}

// refuse answers a request for which there is no room.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Charge takes n bytes for a request that is being served, until its handler returns.
func Charge(ctx context.Context, n int64) error {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.holder.Take(n)
	}
	return nil
}

const (
	// decodedBytes is about what a JSON object or list takes when it is decoded, beside its text.
	decodedBytes = 256
	// itemBytes is about what an item of a list takes: up to 16 bytes in a list that is copied as it grows.
	itemBytes = 32
)

// ChargeJSON takes what the values of a body take beside its text, until the handler returns. It has to be called before
// the body is decoded.
func ChargeJSON(ctx context.Context, body []byte) error {
	lists := bytes.Count(body, []byte{'{'}) + bytes.Count(body, []byte{'['})
	items := bytes.Count(body, []byte{','})
	return Charge(ctx, decodedBytes*int64(lists)+itemBytes*int64(items))
}
