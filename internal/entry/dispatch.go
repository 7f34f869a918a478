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
	chunkSize = 64 << 10
	// maxBuffered is the largest answer in bytes that is read whole before any
	// of it is passed on, so that a cut answer can still be told as such.
	maxBuffered = 1 << 20
	// slowReader is how long a caller may take for one part of a large answer,
	// which holds a slot of the backend server meanwhile.
	slowReader = 5 * time.Second
)

// dispatch sends the request to the agent of its credit and reads the answer.
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

// watchLength accounts a short request as long once it outlives its class.
func (e *Entry) watchLength(o *callRequest) (stop func()) {
	svc, ok := e.conf.Config().Service(o.Service)
	if !ok || svc.ShortMs <= 0 || o.Class != admit.Short {
		return func() {}
	}
	t := time.AfterFunc(time.Duration(svc.ShortMs)*time.Millisecond, func() { e.disp.outlive(o.ID) })
	return func() { t.Stop() }
}

// exchange makes one attempt. Until the whole request was handed over, a
// failure is "not run": the agent starts nothing before it has read it whole,
// and the credit of a stream that was lost is used up or dropped.
func (e *Entry) exchange(ctx context.Context, w http.ResponseWriter, o *callRequest, s start) result {
	st, err := s.agent.sess.OpenStream(ctx)
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

// lost is the result of an attempt that may have run.
func lost(code client.Code) result {
	return result{outcome: client.OutcomeUnknown, code: code, again: true}
}

// send hands the request over. handed reports whether its last part was
// written, after which it may run.
func (e *Entry) send(ctx context.Context, st *wire.Stream, o *callRequest, s start) (handed bool, err error) {
	dl, _ := ctx.Deadline()
	work := &wire.Work{
		Id: o.ID, Team: o.Team, Service: o.Service, Credit: s.credit.ID, Short: o.Class == admit.Short,
		Idempotent: o.Idempotent, Path: o.path, Verb: o.verb, Headers: o.headers,
		Remainms: uint32(max(0, dl.Sub(e.env.Clock.Now()).Milliseconds())),
		Key:      o.Key, Epoch: o.claim, Revision: e.conf.Revision(),
	}
	if len(o.body) <= chunkSize {
		return true, st.BeginCall(ctx, wire.MethodWork, o.ID, work, &wire.Chunk{Data: o.body, Last: true})
	}
	if err := st.BeginCall(ctx, wire.MethodWork, o.ID, work); err != nil {
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

// receive takes the agent's answer in.
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
			return lost(client.CodeTruncated)
		}
		res.body = append(res.body, c.Data...)
		if c.Last {
			return res
		}
	}
	return e.stream(w, o, st, res)
}

var errCut = errors.New("answer was cut at the backend server")

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

// stream passes a large answer on while it arrives. When it is cut, the
// caller's connection is cut as well, so that it can't pass for whole.
func (e *Entry) stream(w http.ResponseWriter, o *callRequest, st *wire.Stream, res result) result {
	res.passed = true
	writeHead(w, o, res)
	data := res.body
	res.body = nil
	rc := http.NewResponseController(w)
	for {
		_ = rc.SetWriteDeadline(time.Now().Add(slowReader))
		if _, err := w.Write(data); err != nil {
			e.env.Log.Info("caller took the answer too slowly or went away", zap.String("request", o.ID),
				zap.String("team", o.Team), zap.Error(err))
			return res
		}
		c, err := nextChunk(st)
		if err != nil {
			e.env.Log.Warn("answer was cut while it was passed on", zap.String("request", o.ID),
				zap.String("team", o.Team), zap.Error(err))
			res.outcome, res.code = client.OutcomeUnknown, client.CodeTruncated
			return res
		}
		data = c.Data
		if c.Last {
			_, _ = w.Write(data)
			return res
		}
	}
}
