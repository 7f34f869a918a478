package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/internal/guard"
	"github.com/knapweedlug/knapweedlug/internal/wire"
	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const (
	chunkSize = 64 << 10 // most bytes of a request body in one message
	// maxBufferedAnswer is how many bytes of an answer are read before any of it is
	// sent to the caller. Up to this size, an answer that breaks off is reported
	// as an error.
	maxBufferedAnswer = 1 << 20
	// answerCost is what a byte of a buffered answer costs: its buffer is copied as it grows.
	answerCost = 2
	// answerPiece is how much of an answer is written at a time.
	answerPiece = 32 << 10
	// chunkWriteTimeout limits how long a caller may take to read one chunk of a
	// large answer, because the answer occupies a slot of the backend server.
	chunkWriteTimeout = 5 * time.Second
)

// dispatch makes one attempt at the agent that granted the request's credit and
// reports its result to the dispatcher. A retryable result "not run" is reported
// when the request is queued again.
func (e *Entry) dispatch(ctx context.Context, w http.ResponseWriter, pr *pendingRequest, asg assignment) result {
	began := e.env.Clock.Now()
	stop := e.startLongTimer(pr.req)
	res := e.exchange(ctx, w, pr.req, asg)
	stop()
	if res.outcome == client.OutcomeNotRun && res.retryable {
		return res
	}
	elapsed := e.env.Clock.Now().Sub(began)
	healthy := res.outcome == client.OutcomeAnswer && res.status < http.StatusInternalServerError
	e.dispatcher.complete(pr, asg.agent.name, elapsed, admit.Outcome(res.outcome), healthy || ctx.Err() != nil)
	return res
}

// startLongTimer starts a timer that counts a short request as long once it has run
// for longer than the service's limit for short requests.
func (e *Entry) startLongTimer(cr *callRequest) (stop func()) {
	svc, ok := e.conf.Config().Service(cr.Service)
	if !ok || svc.ShortMs <= 0 || cr.Class != admit.Short {
		return func() {}
	}
	t := time.AfterFunc(time.Duration(svc.ShortMs)*time.Millisecond, func() { e.dispatcher.countAsLong(cr.ID) })
	return func() { t.Stop() }
}

// exchange sends the request and receives the answer. A failure before the whole
// request was sent means "not run": the agent starts a request only after it has
// read all of it, and a credit whose stream was lost is never used again.
func (e *Entry) exchange(ctx context.Context, w http.ResponseWriter, cr *callRequest, asg assignment) result {
	stream, err := asg.agent.sess.OpenStream(ctx)
	if err != nil {
		return result{outcome: client.OutcomeNotRun, code: client.CodeLost, retryable: true}
	}
	defer stream.Reset()
	stop := context.AfterFunc(ctx, stream.Reset)
	defer stop()
	if complete, err := e.send(ctx, stream, cr, asg); err != nil {
		e.env.Log.Warn("request could not be handed over", zap.String("request", cr.ID), zap.String("team", cr.Team),
			zap.String("agent", asg.agent.name), zap.Bool("handed", complete), zap.Error(err))
		if complete {
			return unknownResult(client.CodeLost)
		}
		return result{outcome: client.OutcomeNotRun, code: client.CodeLost, retryable: true}
	}
	var ans wire.Answer
	if err := stream.Recv(&ans); err != nil {
		e.env.Log.Warn("no answer", zap.String("request", cr.ID), zap.String("team", cr.Team),
			zap.String("agent", asg.agent.name), zap.Error(err))
		return unknownResult(client.CodeLost)
	}
	return e.receive(ctx, w, cr, stream, &ans)
}

// unknownResult returns the result of an attempt that may have run.
func unknownResult(code client.Code) result {
	return result{outcome: client.OutcomeUnknown, code: code, retryable: true}
}

// send sends the request to the agent. complete reports whether the last chunk
// may have been sent, after which the request may run.
func (e *Entry) send(ctx context.Context, stream *wire.Stream, cr *callRequest, asg assignment) (complete bool, err error) {
	deadline, _ := ctx.Deadline()
	work := &wire.Work{
		Id: cr.ID, Team: cr.Team, Service: cr.Service, Credit: asg.credit.ID, Short: cr.Class == admit.Short,
		Idempotent: cr.Idempotent, Path: cr.path, Verb: cr.method, Headers: cr.headers,
		Remainms: uint32(max(0, deadline.Sub(e.env.Clock.Now()).Milliseconds())),
		Key:      cr.Key, Epoch: cr.claimEpoch, Revision: e.conf.Revision(), Size: uint64(len(cr.body)),
	}
	if len(cr.body) <= chunkSize {
		return true, stream.BeginCall(ctx, wire.MethodWork, cr.ID, work, &wire.Chunk{Data: cr.body, Last: true})
	}
	if err := stream.BeginCall(ctx, wire.MethodWork, cr.ID, work); err != nil {
		return false, err
	}
	body := cr.body
	for len(body) > chunkSize {
		if err := stream.Send(&wire.Chunk{Data: body[:chunkSize]}); err != nil {
			return false, err
		}
		body = body[chunkSize:]
	}
	return true, stream.Send(&wire.Chunk{Data: body, Last: true})
}

// receive reads the agent's answer. An answer of more than maxBufferedAnswer
// bytes, or for which there is no room, is streamed to the caller.
func (e *Entry) receive(ctx context.Context, w http.ResponseWriter, cr *callRequest, stream *wire.Stream, ans *wire.Answer) result {
	switch client.Outcome(ans.Outcome) {
	case client.OutcomeNotRun:
		return result{outcome: client.OutcomeNotRun, code: client.Code(ans.Code), retryable: true}
	case client.OutcomeAnswer:
	default:
		return unknownResult(client.Code(ans.Code))
	}
	res := result{outcome: client.OutcomeAnswer, status: int(ans.Status), headers: ans.Headers}
	for hasRoom := true; hasRoom && len(res.body) <= maxBufferedAnswer; {
		c, err := nextChunk(stream)
		if err != nil {
			e.env.Log.Warn("answer was cut", zap.String("request", cr.ID), zap.String("team", cr.Team), zap.Error(err))
			return unknownResult(client.CodeTruncated)
		}
		res.body = append(res.body, c.Data...)
		if c.Last {
			return res
		}
		hasRoom = guard.Charge(ctx, int64(len(c.Data))*answerCost) == nil
	}
	return e.streamAnswer(w, cr, stream, res)
}

var errAnswerCut = errors.New("answer of the backend server broke off")

// nextChunk reads the next chunk of the answer's body.
func nextChunk(stream *wire.Stream) (*wire.Chunk, error) {
	c := &wire.Chunk{}
	if err := stream.Recv(c); err != nil {
		return nil, err
	}
	if c.Error != "" {
		return nil, errors.Wrap(errAnswerCut, c.Error)
	}
	return c, nil
}

// streamAnswer sends a large answer to the caller while it arrives. If the answer
// breaks off, the result is unknown and the caller's connection is aborted, so
// that the caller can't mistake it for a complete answer.
func (e *Entry) streamAnswer(w http.ResponseWriter, cr *callRequest, stream *wire.Stream, res result) result {
	res.streamed = true
	writeAnswerHeader(w, cr, res)
	data := res.body
	res.body = nil
	for {
		if err := writePieces(w, data, chunkWriteTimeout); err != nil {
			e.env.Log.Info("caller read the answer too slowly or disconnected", zap.String("request", cr.ID),
				zap.String("team", cr.Team), zap.Error(err))
			return res
		}
		c, err := nextChunk(stream)
		if err != nil {
			e.env.Log.Warn("answer broke off while it was streamed to the caller", zap.String("request", cr.ID),
				zap.String("team", cr.Team), zap.Error(err))
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

// writePieces writes an answer in pieces, each of which the caller has to read within timeout if that isn't 0. What is
// buffered of an answer is in the budget already; a large piece would be taken from it again.
func writePieces(w http.ResponseWriter, data []byte, timeout time.Duration) error {
	rc := http.NewResponseController(w)
	for {
		if timeout > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(timeout))
		}
		n := min(len(data), answerPiece)
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		if data = data[n:]; len(data) == 0 {
			return nil
		}
	}
}
