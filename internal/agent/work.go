package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
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
	maxRecordedBody = 64 << 10
	settleTimeout   = 3 * time.Second
	workReadTimeout = 5 * time.Second
	// abortReleaseDelay is how long the slot of an aborted request stays taken:
	// a backend server needs some time to notice that the connection was
	// closed.
	abortReleaseDelay = 50 * time.Millisecond
)

// handleWork serves one request that an entry sent with a credit.
func (a *Agent) handleWork(ctx context.Context, _ *wire.Call, st *wire.Stream) error {
	_ = st.SetReadDeadline(time.Now().Add(workReadTimeout))
	var work wire.Work
	if err := st.Recv(&work); err != nil {
		return errors.Wrap(err, "read work")
	}
	deadline := a.env.Clock.Now().Add(time.Duration(work.Remainms) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	release, err := a.bodies.acquire(ctx, work.Size)
	if err != nil {
		// The credit is used up, so that a delayed copy of the call can't start, and its slot is free again.
		if a.grants.useCredit(st.Peer().Name, work.Credit, classOf(&work)) {
			a.grants.release(work.Credit)
		}
		return a.refuse(st, client.CodeDeadline)
	}
	defer release()
	_ = st.SetReadDeadline(time.Now().Add(workReadTimeout))
	body, err := readChunks(st, work.Size)
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if code := a.admitRequest(st.Peer().Name, &work); code != "" {
		return a.refuse(st, code)
	}
	req := &request{agent: a, work: &work, body: body, stream: st, startedAt: a.env.Clock.Now()}
	defer req.finish()
	stop := a.watchDuration(&work)
	defer stop()
	_ = st.SetDeadline(deadline.Add(settleTimeout))
	return req.serve(ctx, cancel)
}

// refuse answers the entry that the request has not run and will not run.
func (a *Agent) refuse(st *wire.Stream, code client.Code) error {
	ans := notRun(code)
	a.metrics.count(ans)
	return st.Send(ans)
}

// watchDuration counts a short request as a long one once it has run for longer
// than its service allows for short requests.
func (a *Agent) watchDuration(work *wire.Work) (stop func()) {
	svc, ok := a.conf.Config().Service(work.Service)
	if !ok || !work.Short || svc.ShortMs <= 0 {
		return func() {}
	}
	id := work.Credit
	t := time.AfterFunc(time.Duration(svc.ShortMs)*time.Millisecond, func() { a.grants.reclassifyAsLong(id) })
	return func() { t.Stop() }
}

// admitRequest makes the last check before a request starts. It returns "" if
// the request may start, else the code of the refusal. It uses up the credit,
// so that a delayed copy of the request can't start.
func (a *Agent) admitRequest(entry string, work *wire.Work) (code client.Code) {
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
	if !a.grants.useCredit(entry, work.Credit, classOf(work)) {
		return client.CodeUnavailable
	}
	a.server.requestStarted()
	a.usage.add(entry, work.Team, 1)
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

// readChunks reads the whole body, so that no request with a truncated body
// starts. Entries of earlier releases give no size, which is 0 then.
func readChunks(st *wire.Stream, size uint64) ([]byte, error) {
	limit := uint64(wire.MaxFrameBytes)
	if size > 0 {
		limit = min(limit, size)
	}
	body := make([]byte, 0, min(limit, size))
	for {
		var c wire.Chunk
		if err := st.Recv(&c); err != nil {
			return nil, err
		}
		if c.Error != "" {
			return nil, errors.Newf("body cut: %s", c.Error)
		}
		if uint64(len(body)+len(c.Data)) > limit {
			return nil, errors.Wrap(wire.ErrMalformedFrame, "body too large")
		}
		body = append(body, c.Data...)
		if c.Last {
			return body, nil
		}
	}
}

// request is one request that the backend server handles.
type request struct {
	agent     *Agent
	work      *wire.Work
	body      []byte
	stream    *wire.Stream
	startedAt time.Time
	aborted   bool // the request was canceled or its connection failed
}

// finish frees the slot, after abortReleaseDelay in case of an aborted request,
// which the backend server may still be handling.
func (r *request) finish() {
	if r.aborted {
		time.AfterFunc(abortReleaseDelay, r.release)
		return
	}
	r.release()
}

func (r *request) release() {
	r.agent.server.requestEnded()
	r.agent.usage.add(r.stream.Peer().Name, r.work.Team, -1)
	r.agent.grants.release(r.work.Credit)
}

// serve runs the request and passes its answer on. If the entry disconnects,
// the request is canceled, unless it has a key: its outcome must be recorded.
func (r *request) serve(ctx context.Context, cancel context.CancelFunc) error {
	if r.work.Key == "" {
		stop := r.watchEntry(ctx, cancel)
		defer stop()
	}
	resp, sent, err := r.roundTrip(ctx)
	if err != nil {
		r.aborted = sent
		return r.answerFailure(err, sent)
	}
	defer func() {
		r.aborted = r.aborted || ctx.Err() != nil
		_ = resp.Body.Close()
	}()
	if r.work.Key != "" {
		return r.recordAndPass(resp)
	}
	return r.passAnswer(r.answerHeader(resp), resp.Body)
}

// watchEntry cancels the request when the entry closes its end of the stream.
func (r *request) watchEntry(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	_ = r.stream.SetReadDeadline(time.Time{})
	r.agent.entryWatches.Go(func() error {
		var c wire.Chunk
		if err := r.stream.Recv(&c); err != nil {
			cancel()
		}
		return nil
	})
	cancelWatch := context.AfterFunc(ctx, func() { _ = r.stream.SetReadDeadline(time.Unix(1, 0)) })
	return func() { cancelWatch() }
}

// singleUseBody is a request body that can be read only once. It hides the type
// of the reader, so that the HTTP transport can't rewind it: a retry by the
// transport would run the request twice.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

// roundTrip sends the request to the backend server. The result sent reports
// whether any part of the request may have arrived there.
func (r *request) roundTrip(ctx context.Context) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	url := "http://" + r.agent.server.current().Addr + r.work.Path
	req, err := http.NewRequestWithContext(ctx, r.work.Verb, url, singleUseBody{bytes.NewReader(r.body)})
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

func (r *request) answerFailure(err error, sent bool) error {
	r.agent.env.Log.Warn("backend server failed a request", zap.String("request", r.work.Id),
		zap.String("team", r.work.Team), zap.Bool("sent", sent), zap.Error(err))
	ans := notRun(client.CodeUnavailable)
	if sent {
		ans = unknown(client.CodeLost)
		r.settle(ans, nil)
	}
	r.agent.metrics.count(ans)
	return r.stream.Send(ans)
}

func (r *request) answerHeader(resp *http.Response) *wire.Answer {
	ans := &wire.Answer{
		Outcome: string(client.OutcomeAnswer),
		Status:  uint32(resp.StatusCode),
		Tookms:  uint32(r.agent.env.Clock.Now().Sub(r.startedAt).Milliseconds()),
	}
	r.agent.metrics.count(ans)
	for name, values := range resp.Header {
		for _, v := range values {
			ans.Headers = append(ans.Headers, &wire.Header{Name: name, Value: []byte(v)})
		}
	}
	return ans
}

// passAnswer sends the answer's header with the first chunk of its body, and
// further chunks as they arrive. Only the last chunk of a complete body is
// marked as the last.
func (r *request) passAnswer(header *wire.Answer, body io.Reader) error {
	buf := make([]byte, chunkSize)
	unsent := []proto.Message{header}
	for {
		n, err := body.Read(buf)
		c := &wire.Chunk{Data: buf[:n], Last: errors.Is(err, io.EOF)}
		if err != nil && !c.Last {
			c.Error = err.Error()
		}
		if sendErr := r.stream.Send(append(unsent, c)...); sendErr != nil {
			return sendErr
		}
		if err != nil {
			return nil
		}
		unsent = nil
	}
}
