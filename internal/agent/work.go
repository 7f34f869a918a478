package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const (
	chunkSize       = 32 << 10
	maxKeptAnswer   = 64 << 10
	settleTimeout   = 3 * time.Second
	workReadTimeout = 5 * time.Second
	// brokenLinger is how long a backend server may take to notice that a
	// request's connection was closed.
	brokenLinger = 50 * time.Millisecond
)

// handleWork serves one request that an entry sent against a credit.
func (a *Agent) handleWork(ctx context.Context, _ *wire.Call, st *wire.Stream) error {
	_ = st.SetReadDeadline(time.Now().Add(workReadTimeout))
	var work wire.Work
	if err := st.Recv(&work); err != nil {
		return errors.Wrap(err, "read work")
	}
	body, err := readChunks(st)
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	deadline := a.env.Clock.Now().Add(time.Duration(work.Remainms) * time.Millisecond)
	if code := a.take(st.Peer().Name, &work); code != "" {
		return a.refuse(st, code)
	}
	run := &run{agent: a, work: &work, body: body, stream: st, began: a.env.Clock.Now()}
	defer run.finish()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	stop := a.watchLength(&work)
	defer stop()
	_ = st.SetDeadline(deadline.Add(settleTimeout))
	return run.serve(ctx, cancel)
}

// refuse tells the entry that the request did not run and can't any more.
func (a *Agent) refuse(st *wire.Stream, code client.Code) error {
	ans := notRun(code)
	a.meters.count(ans)
	return st.Send(ans)
}

// watchLength accounts a short request as long once it has run for longer than
// its service allows a short one.
func (a *Agent) watchLength(work *wire.Work) (stop func()) {
	svc, ok := a.conf.Config().Service(work.Service)
	if !ok || !work.Short || svc.ShortMs <= 0 {
		return func() {}
	}
	id := work.Credit
	t := time.AfterFunc(time.Duration(svc.ShortMs)*time.Millisecond, func() { a.grants.outlive(id) })
	return func() { t.Stop() }
}

// take is the last check before work starts. It uses up the credit, so that a
// late copy of the same request can't start.
func (a *Agent) take(entry string, work *wire.Work) (code client.Code) {
	now := a.env.Clock.Now()
	switch {
	case !a.conf.Fresh(now):
		return client.CodeStale
	case work.Remainms == 0:
		return client.CodeDeadline
	}
	switch a.server.state(now) {
	case serverReady:
	case serverDraining:
		return client.CodeDraining
	default:
		return client.CodeUnavailable
	}
	if a.server.current().Service != work.Service {
		return client.CodeUnavailable
	}
	if !a.grants.take(entry, work.Credit, classOf(work)) {
		return client.CodeUnavailable
	}
	a.server.began()
	a.shares.add(entry, work.Team, 1)
	return ""
}

func classOf(work *wire.Work) admit.Class {
	if work.Short {
		return admit.Short
	}
	return admit.Long
}

func notRun(code client.Code) *wire.Answer {
	return &wire.Answer{Outcome: string(client.OutcomeNotRun), Code: string(code)}
}

func unknown(code client.Code) *wire.Answer {
	return &wire.Answer{Outcome: string(client.OutcomeUnknown), Code: string(code)}
}

// readChunks reads a whole body, so that one cut short never starts.
func readChunks(st *wire.Stream) ([]byte, error) {
	var body []byte
	for {
		var c wire.Chunk
		if err := st.Recv(&c); err != nil {
			return nil, err
		}
		if c.Error != "" {
			return nil, errors.Newf("body cut: %s", c.Error)
		}
		if len(body)+len(c.Data) > wire.MaxFrameBytes {
			return nil, errors.Wrap(wire.ErrMalformedFrame, "body too large")
		}
		body = append(body, c.Data...)
		if c.Last {
			return body, nil
		}
	}
}

// run is one request on the backend server.
type run struct {
	agent  *Agent
	work   *wire.Work
	body   []byte
	stream *wire.Stream
	began  time.Time
	broken bool // the request was cancelled or its connection failed
}

// finish gives the slot back. A request that was broken off may hold it for a
// moment longer, until the backend server notices that its caller is gone.
func (r *run) finish() {
	if r.broken {
		time.AfterFunc(brokenLinger, r.release)
		return
	}
	r.release()
}

func (r *run) release() {
	r.agent.server.ended()
	r.agent.shares.add(r.stream.Peer().Name, r.work.Team, -1)
	r.agent.grants.free(r.work.Credit)
}

// serve runs the request and passes its answer on. The entry that goes away
// cancels it, unless the answer is owed to a claim.
func (r *run) serve(ctx context.Context, cancel context.CancelFunc) error {
	if r.work.Key == "" {
		stop := r.watchEntry(ctx, cancel)
		defer stop()
	}
	resp, sent, err := r.roundTrip(ctx)
	if err != nil {
		r.broken = sent
		return r.fail(err, sent)
	}
	defer func() {
		r.broken = r.broken || ctx.Err() != nil
		_ = resp.Body.Close()
	}()
	if r.work.Key != "" {
		return r.answerClaimed(resp)
	}
	return r.pass(r.head(resp), resp.Body)
}

// watchEntry cancels the run when the entry closes its end of the stream.
func (r *run) watchEntry(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	_ = r.stream.SetReadDeadline(time.Time{})
	r.agent.group.Go(func() error {
		var c wire.Chunk
		if err := r.stream.Recv(&c); err != nil {
			cancel()
		}
		return nil
	})
	cancelWatch := context.AfterFunc(ctx, func() { _ = r.stream.SetReadDeadline(time.Unix(1, 0)) })
	return func() { cancelWatch() }
}

// onceBody hides the body from the transport's own retries, which would run
// a request twice.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// roundTrip sends the request to the backend server. sent reports whether any
// of it may have arrived there.
func (r *run) roundTrip(ctx context.Context) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	url := "http://" + r.agent.server.current().Addr + r.work.Path
	req, err := http.NewRequestWithContext(ctx, r.work.Verb, url, onceBody{strings.NewReader(string(r.body))})
	if err != nil {
		return nil, false, err
	}
	req.ContentLength = int64(len(r.body))
	for _, h := range r.work.Headers {
		req.Header.Add(h.Name, string(h.Value))
	}
	resp, err = r.agent.transport.RoundTrip(req)
	return resp, connected.Load(), err
}

func (r *run) fail(err error, sent bool) error {
	r.agent.env.Log.Warn("backend server failed a request", zap.String("request", r.work.Id),
		zap.String("team", r.work.Team), zap.Bool("sent", sent), zap.Error(err))
	ans := notRun(client.CodeUnavailable)
	if sent {
		ans = unknown(client.CodeLost)
		r.settle(ans, nil)
	}
	r.agent.meters.count(ans)
	return r.stream.Send(ans)
}

func (r *run) head(resp *http.Response) *wire.Answer {
	ans := &wire.Answer{
		Outcome: string(client.OutcomeAnswer),
		Status:  uint32(resp.StatusCode),
		Tookms:  uint32(r.agent.env.Clock.Now().Sub(r.began).Milliseconds()),
	}
	r.agent.meters.count(ans)
	for name, values := range resp.Header {
		for _, v := range values {
			ans.Headers = append(ans.Headers, &wire.Header{Name: name, Value: []byte(v)})
		}
	}
	return ans
}

// pass sends the answer's head with the first chunk of its body, and the other
// chunks as they come. Only the last chunk of a whole body is marked as such.
func (r *run) pass(head *wire.Answer, body io.Reader) error {
	buf := make([]byte, chunkSize)
	out := []proto.Message{head}
	for {
		n, err := body.Read(buf)
		c := &wire.Chunk{Data: buf[:n], Last: errors.Is(err, io.EOF)}
		if err != nil && !c.Last {
			c.Error = err.Error()
		}
		if sendErr := r.stream.Send(append(out, c)...); sendErr != nil {
			return sendErr
		}
		if err != nil {
			return nil
		}
		out = nil
	}
}
