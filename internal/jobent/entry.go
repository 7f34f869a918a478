// Package jobent implements the jobentry role, which receives calls about jobs.
// It keeps no state: each call is forwarded to the leading control process.
package jobent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/jobctl"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/seek"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 32 << 10
	bodyCost       = 3 // a body is read, decoded and encoded for the leader
	// attemptTimeout is the timeout of one attempt. A commit takes about 20 ms,
	// with a slow disk about 250 ms; if the leader takes longer, it is looked up
	// again.
	attemptTimeout = 700 * time.Millisecond
	retryDelay     = 20 * time.Millisecond // between two attempts
	// answerMargin is the time reserved to send the answer to the caller.
	answerMargin = 150 * time.Millisecond
	// retryAfter is when refused callers should retry. An election takes as long,
	// after which a new leader answers.
	retryAfter = 1200 * time.Millisecond
	// maxRetryAfter bounds the time after which the leader may tell refused callers to come back.
	maxRetryAfter = time.Hour
	// unreadyAfter is how long there may be no leader before the entry reports that
	// it isn't ready.
	unreadyAfter = 2 * time.Second
	// giveUpAfter is how long there may be no leader before calls are refused at
	// once. A new leader is elected and found within 1.7 s. If it takes longer, this
	// entry is probably disconnected, and the caller's next attempt reaches another
	// entry.
	giveUpAfter = 2 * time.Second
)

// Entry is a running instance of the jobentry role.
type Entry struct {
	env            *kern.Env
	cfg            *Settings
	finder         *seek.Finder
	callerListener net.Listener
	readyListener  net.Listener
	httpServer     *http.Server
	protocol       Protocol
	latency        tally.Histogram

	unready            atomic.Bool
	leaderMissingSince atomic.Int64 // time on the boot clock in ns; 0 if there is a leader
}

// New returns an entry with its listeners open.
func New(env *kern.Env, cfg *Settings) (*Entry, error) {
	protocol, ok := CallerProtocol.Get()
	if !ok {
		return nil, errors.New("jobentry: this build contains no protocol for callers")
	}
	id := wire.NewIdentity(env.Node, RoleName, env.Keys, uuid.NewString())
	e := &Entry{
		env: env, cfg: cfg, protocol: protocol, finder: seek.New(id, jobctl.WithPort(cfg.Seeds, cfg.ControlPort), env.Log, nil),
		latency: env.Metrics.Histogram("call_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
	}
	e.leaderMissingSince.Store(env.BootClock.Now().UnixNano())
	var err error
	if e.callerListener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, errors.Wrap(err, "jobentry: listen")
	}
	if e.readyListener, err = net.Listen("tcp", cfg.ReadyListen); err != nil {
		return nil, errors.Wrap(err, "jobentry: listen for readiness")
	}
	e.httpServer = &http.Server{
		Handler: protocol.Handler(e, cfg.MaxBodyBytes, env.Log), ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(env.Log),
	}
	env.Guard.Serve(e.httpServer, bodyCost)
	return e, nil
}

// Run implements kern.Runner.
func (e *Entry) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.finder.Run(ctx) })
	g.Go(func() error { return serve(ctx, e.httpServer, e.env.Guard.Listen(e.callerListener)) })
	g.Go(func() error {
		srv := &http.Server{
			Handler: e.protocol.ReadyHandler(e), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(e.env.Log),
		}
		e.env.Guard.Serve(srv, 1)
		return serve(ctx, srv, e.env.Guard.Listen(e.readyListener))
	})
	return g.Wait()
}

// serve serves HTTP on ln until ctx is done.
func serve(ctx context.Context, srv *http.Server, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "jobentry: serve")
	}
	<-ctx.Done() // Drain stops the server before ctx ends
	return nil
}

// Drain implements kern.Runner. The entry reports that it isn't ready, still
// accepts calls for the configured delay and then completes those in progress.
func (e *Entry) Drain(ctx context.Context) error {
	e.unready.Store(true)
	kern.Sleep(ctx, time.Duration(e.cfg.DrainDelayMs)*time.Millisecond)
	return errors.Wrap(e.httpServer.Shutdown(ctx), "jobentry: drain")
}

// Reload implements kern.Reloader. Only the addresses of control processes are
// reloaded.
func (e *Entry) Reload(s kern.Settings) {
	if next, ok := s.(*Settings); ok {
		e.finder.SetSeeds(jobctl.WithPort(next.Seeds, next.ControlPort))
	}
}

// Dump implements kern.Runner.
func (e *Entry) Dump() any {
	return struct {
		Leader  bool     `json:"leader"`
		Known   []string `json:"known"`
		Leaving bool     `json:"leaving"`
	}{e.finder.HasSession(), e.finder.KnownAddrs(), e.unready.Load()}
}

// Ready implements CallHandler.
func (e *Entry) Ready() bool {
	if e.unready.Load() {
		return false
	}
	now := e.env.BootClock.Now().UnixNano()
	if e.finder.HasSession() {
		e.leaderMissingSince.Store(0)
		return true
	}
	e.leaderMissingSince.CompareAndSwap(0, now)
	return now-e.leaderMissingSince.Load() < int64(unreadyAfter) && e.leaderMissingSince.Load() != 0 && e.finder.EverHadSession()
}

// Call implements CallHandler.
func (e *Entry) Call(ctx context.Context, r Request) Answer {
	start := e.env.BootClock.Now()
	req := newJobCall(r)
	if r.Spec != nil {
		body, err := json.Marshal(r.Spec)
		if err != nil {
			e.env.Log.Error("job not encoded", zap.String("path", r.Path), zap.Error(err))
			return Answer{Outcome: jobs.Invalid}
		}
		req.Body = body
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(-answerMargin))
	defer cancel()
	a, attempts, err := e.callLeader(ctx, req)
	elapsed := e.env.BootClock.Now().Sub(start)
	e.latency.RecordDuration(elapsed)
	if r.Kind != jobs.CallState || a.Outcome != jobs.Answered {
		e.env.Log.Info("call", zap.String("request", req.Request), zap.String("kind", req.Kind), zap.String("path", r.Path),
			zap.String("outcome", string(a.Outcome)), zap.String("phase", string(a.Phase)), zap.Int("tries", attempts),
			zap.Duration("took", elapsed), zap.Error(err))
	}
	return a
}

// newJobCall returns the call to the leader for a request. Strings in it have to be UTF-8: a key that isn't belongs to
// nobody, and no queue or job has a name with the replacement character that stands for other bytes.
func newJobCall(r Request) *wire.JobCall {
	const replacement = "\uFFFD"
	call := &wire.JobCall{
		Kind: string(r.Kind), Host: strings.ToValidUTF8(r.Host, replacement), Path: strings.ToValidUTF8(r.Path, replacement), Request: uuid.NewString(),
	}
	if utf8.ValidString(r.Key) {
		call.Key = r.Key
	}
	return call
}

// callLeader sends a call to the current leader and retries until the call is
// answered or ctx is done. It returns the number of attempts. All calls are
// idempotent, so that a call with an unknown result may be retried.
func (e *Entry) callLeader(ctx context.Context, req *wire.JobCall) (Answer, int, error) {
	unanswered, attempts := false, 0
	var lastErr error
	for ctx.Err() == nil {
		s, err := e.session(ctx)
		if err != nil {
			lastErr = errors.CombineErrors(err, lastErr)
			break
		}
		attempts++
		req.Again = unanswered
		rep, err := attempt(ctx, s, req)
		if err == nil {
			return finalAnswer(jobs.CallKind(req.Kind), newAnswer(rep, e.env.BootClock.Now()), unanswered), attempts, nil
		}
		if errors.Is(err, wire.ErrBusy) {
			return finalAnswer(jobs.CallKind(req.Kind), e.unavailable(), unanswered), attempts, err
		}
		if errors.Is(err, wire.ErrUnsendable) {
			return finalAnswer(jobs.CallKind(req.Kind), Answer{Outcome: jobs.Invalid}, unanswered), attempts, err
		}
		lastErr = err
		if ctx.Err() == nil {
			// The leader may have lost its term, hang or be disconnected, and
			// another replica may lead.
			e.finder.CloseSession(s)
		}
		unanswered = true
		kern.Sleep(ctx, retryDelay)
	}
	return finalAnswer(jobs.CallKind(req.Kind), e.unavailable(), unanswered), attempts, lastErr
}

// unavailable returns the answer to a call that no leader has carried out.
func (e *Entry) unavailable() Answer {
	return Answer{Outcome: jobs.Unavailable, RetryAt: e.env.BootClock.Now().Add(retryAfter)}
}

// session returns the session to the leader. It waits for one until ctx is done
// or there has been no leader for giveUpAfter.
func (e *Entry) session(ctx context.Context) (*wire.Session, error) {
	if lostAt, missing := e.finder.NoSessionSince(); missing {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, lostAt.Add(giveUpAfter))
		defer cancel()
	}
	return e.finder.Session(ctx)
}

// attempt makes one attempt at a call.
func attempt(ctx context.Context, s *wire.Session, req *wire.JobCall) (*wire.JobReply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return jobctl.CallLeader(ctx, s, req)
}

// finalAnswer returns the answer to report to the caller. If an earlier attempt got
// no reply, a call that changes something can't be reported as not done, because
// that attempt may have been or may still be carried out.
func finalAnswer(kind jobs.CallKind, a Answer, unanswered bool) Answer {
	if !unanswered || a.Outcome == jobs.Accepted || a.Outcome == jobs.Stopped || kind == jobs.CallState || kind == jobs.CallCount {
		return a
	}
	return Answer{Outcome: jobs.Uncertain}
}

// newAnswer converts the leader's reply.
func newAnswer(rep *wire.JobReply, now time.Time) Answer {
	a := Answer{Outcome: jobs.CallOutcome(rep.Outcome), Phase: jobs.Phase(rep.Detail), Count: int(rep.Count)}
	if a.Outcome == jobs.Refused || a.Outcome == jobs.NoConfig {
		a.RetryAt = now.Add(retryAfter)
	}
	r := jobs.Refusal{}
	if a.Outcome == jobs.Refused && json.Unmarshal(rep.Body, &r) == nil && r.RetryMs > 0 {
		a.RetryAt = now.Add(time.Duration(min(r.RetryMs, maxRetryAfter.Milliseconds())) * time.Millisecond)
	}
	return a
}
