package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const (
	chunkSize = 64 << 10 // most bytes of a request body in one message
	// maxBuffered is how many bytes of an answer are read before any of it is
	// sent to the caller. Up to this size, an answer that breaks off is reported
	// as an error.
	maxBuffered = 1 << 20
	// slowReader limits how long a caller may take to read one chunk of a large
	// answer, because the answer occupies a slot of the backend server.
	slowReader = 5 * time.Second
)

// dispatch makes one attempt at the agent that granted the request's credit and
// reports its result to the dispatcher. A retryable result "not run" is reported
// when the request is queued again.
func (e *Entry) dispatch(ctx context.Context, w http.ResponseWriter, f *pending, s start) result {
	began := e.env.Clock.Now()
	stop := e.watchLength(f.req)
	res := e.exchange(ctx, w, f.req, s)
	stop()
	if res.outcome == client.OutcomeNotRun && res.again {
		return res
	}
	took := e.env.Clock.Now().Sub(began)
	healthy := res.outcome == client.OutcomeAnswer && res.status < http.StatusInternalServerError
	e.disp.done(f, s.agent.name, took, admit.Outcome(res.outcome), healthy || ctx.Err() != nil)
	return res
}

// watchLength starts a timer that counts a short request as long once it has run
// for longer than the service's limit for short requests.
func (e *Entry) watchLength(o *callRequest) (stop func()) {
	svc, ok := e.conf.Config().Service(o.Service)
	if !ok || svc.ShortMs <= 0 || o.Class != admit.Short {
		return func() {}
	}
	t := time.AfterFunc(time.Duration(svc.ShortMs)*time.Millisecond, func() { e.disp.outlive(o.ID) })
	return func() { t.Stop() }
}

// exchange sends the request and receives the answer. A failure before the whole
// request was sent means "not run": the agent starts a request only after it has
// read all of it, and a credit whose stream was lost is never used again.
func (e *Entry) exchange(ctx context.Context, w http.ResponseWriter, o *callRequest, s start) result {
	st, err := s.agent.sess.Stream(ctx)
	if err != nil {
		return result{outcome: client.OutcomeNotRun, code: client.CodeLost, again: true}
	}
	defer st.Reset()
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	if handed, err := e.send(ctx, st, o, s); err != nil {
		e.env.Log.Warn("request could not be handed over", zap.String("request", o.ID), zap.String("team", o.Team),
			zap.String("agent", s.agent.name), zap.Bool("handed", handed), zap.Error(err))
		if handed {
			return lost(client.CodeLost)
		}
		return result{outcome: client.OutcomeNotRun, code: client.CodeLost, again: true}
	}
	var ans wire.Answer
	if err := st.Recv(&ans); err != nil {
		e.env.Log.Warn("no answer", zap.String("request", o.ID), zap.String("team", o.Team),
			zap.String("agent", s.agent.name), zap.Error(err))
		return lost(client.CodeLost)
	}
	return e.receive(w, o, st, &ans)
}

// lost returns the result of an attempt that may have run.
func lost(code client.Code) result {
	return result{outcome: client.OutcomeUnknown, code: code, again: true}
}

// send sends the request to the agent. handed reports whether the last chunk may
// have been sent, after which the request may run.
func (e *Entry) send(ctx context.Context, st *wire.Stream, o *callRequest, s start) (handed bool, err error) {
	dl, _ := ctx.Deadline()
	work := &wire.Work{
		Id: o.ID, Team: o.Team, Service: o.Service, Credit: s.credit.ID, Short: o.Class == admit.Short,
		Idempotent: o.Idempotent, Path: o.path, Verb: o.verb, Headers: o.headers,
		Remainms: uint32(max(0, dl.Sub(e.env.Clock.Now()).Milliseconds())),
		Key:      o.Key, Epoch: o.claim, Revision: e.conf.Revision(),
	}
	if len(o.body) <= chunkSize {
		return true, st.Begin(ctx, wire.MethodWork, o.ID, work, &wire.Chunk{Data: o.body, Last: true})
	}
	if err := st.Begin(ctx, wire.MethodWork, o.ID, work); err != nil {
		return false, err
	}
	body := o.body
	for len(body) > chunkSize {
		if err := st.Send(&wire.Chunk{Data: body[:chunkSize]}); err != nil {
			return false, err
		}
		body = body[chunkSize:]
	}
	return true, st.Send(&wire.Chunk{Data: body, Last: true})
}

// receive reads the agent's answer. An answer of more than maxBuffered bytes is
// streamed to the caller.
func (e *Entry) receive(w http.ResponseWriter, o *callRequest, st *wire.Stream, ans *wire.Answer) result {
	switch client.Outcome(ans.Outcome) {
	case client.OutcomeNotRun:
		return result{outcome: client.OutcomeNotRun, code: client.Code(ans.Code), again: true}
	case client.OutcomeAnswer:
	default:
		return lost(client.Code(ans.Code))
	}
	res := result{outcome: client.OutcomeAnswer, status: int(ans.Status), headers: ans.Headers}
	for len(res.body) <= maxBuffered {
		c, err := nextChunk(st)
		if err != nil {
			e.env.Log.Warn("answer was cut", zap.String("request", o.ID), zap.String("team", o.Team), zap.Error(err))
			return lost(client.CodeCut)
		}
		res.body = append(res.body, c.Data...)
		if c.Last {
			return res
		}
	}
	return e.stream(w, o, st, res)
}

var errCut = errors.New("answer of the backend server broke off")

// nextChunk reads the next chunk of the answer's body.
func nextChunk(st *wire.Stream) (*wire.Chunk, error) {
	c := &wire.Chunk{}
	if err := st.Recv(c); err != nil {
		return nil, err
	}
	if c.Error != "" {
		return nil, errors.Wrap(errCut, c.Error)
	}
	return c, nil
}

// stream sends a large answer to the caller while it arrives. If the answer
// breaks off, the result is unknown and the caller's connection is aborted, so
// that the caller can't mistake it for a complete answer.
func (e *Entry) stream(w http.ResponseWriter, o *callRequest, st *wire.Stream, res result) result {
	res.passed = true
	writeHead(w, o, res)
	data := res.body
	res.body = nil
	rc := http.NewResponseController(w)
	for {
		_ = rc.SetWriteDeadline(time.Now().Add(slowReader))
		if _, err := w.Write(data); err != nil {
			e.env.Log.Info("caller read the answer too slowly or disconnected", zap.String("request", o.ID),
				zap.String("team", o.Team), zap.Error(err))
			return res
		}
		c, err := nextChunk(st)
		if err != nil {
			e.env.Log.Warn("answer broke off while it was streamed to the caller", zap.String("request", o.ID),
				zap.String("team", o.Team), zap.Error(err))
			res.outcome, res.code = client.OutcomeUnknown, client.CodeCut
			return res
		}
		data = c.Data
		if c.Last {
			_, _ = w.Write(data)
			return res
		}
	}
}
