// Package jobent is the role that callers' jobs come in through. It holds
// nothing: each call is carried to the leading control process.
package jobent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

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
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	maxHeader     = 32 << 10
	// tryTimeout bounds one try at the leader. A commit takes some 20 ms, with a
	// slow disk some 250 ms; a leader that takes longer is looked for anew.
	tryTimeout = 700 * time.Millisecond
	tryPause   = 20 * time.Millisecond
	// answerMargin is kept for the way back to the caller.
	answerMargin = 150 * time.Millisecond
	// retryAfter is an election's length, after which a new leader answers.
	retryAfter = 1200 * time.Millisecond
	// unreadyAfter is how long the leader may be missing before calls are sent
	// elsewhere.
	unreadyAfter = 2 * time.Second
	// giveUpAfter is how long the leader may be missing before calls are refused at
	// once. A successor is elected and found within 1.7 s; who waits longer is
	// more likely cut off, and the caller's next try reaches another entry.
	giveUpAfter = 2 * time.Second
)

// Entry is the role at work.
type Entry struct {
	env     *kern.Env
	cfg     *Settings
	finder  *seek.Finder
	ln      net.Listener
	ready   net.Listener
	srv     *http.Server
	front   Protocol
	latency tally.Histogram

	leaving atomic.Bool
	missing atomic.Int64 // since when there is no leader, on the boot clock in ns; 0 if there is one
}

// New opens the listeners.
func New(env *kern.Env, cfg *Settings) (*Entry, error) {
	front, ok := CallerProtocol.Get()
	if !ok {
		return nil, errors.New("jobentry: this build speaks no callers' protocol")
	}
	id := wire.NewIdentity(env.Node, RoleName, env.Keys, uuid.NewString())
	e := &Entry{
		env: env, cfg: cfg, front: front, finder: seek.New(id, jobctl.WithPort(cfg.Seeds, cfg.ControlPort), env.Log, nil),
		latency: env.Metrics.Histogram("call_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
	}
	e.missing.Store(env.BootClock.Now().UnixNano())
	var err error
	if e.ln, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, errors.Wrap(err, "jobentry: listen")
	}
	if e.ready, err = net.Listen("tcp", cfg.ReadyListen); err != nil {
		return nil, errors.Wrap(err, "jobentry: listen for readiness")
	}
	e.srv = &http.Server{
		Handler: front.Handler(e, cfg.MaxBodyBytes, env.Log), ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ErrorLog: zap.NewStdLog(env.Log),
	}
	return e, nil
}

// Run implements kern.Runner.
func (e *Entry) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.finder.Run(ctx) })
	g.Go(func() error { return serve(ctx, e.srv, e.ln) })
	g.Go(func() error {
		srv := &http.Server{Handler: e.front.ReadyHandler(e), ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(e.env.Log)}
		return serve(ctx, srv, e.ready)
	})
	return g.Wait()
}

func serve(ctx context.Context, srv *http.Server, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "jobentry: serve")
	}
	<-ctx.Done() // a drained server stops before its process
	return nil
}

// Drain implements kern.Runner: it tells that no more calls should come, still
// takes those that do for a while, and ends the rest whole.
func (e *Entry) Drain(ctx context.Context) error {
	e.leaving.Store(true)
	kern.Sleep(ctx, time.Duration(e.cfg.DrainDelayMs)*time.Millisecond)
	return errors.Wrap(e.srv.Shutdown(ctx), "jobentry: drain")
}

// Reload implements kern.Reloader. Only the seeds can change.
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
	}{e.finder.HasSession(), e.finder.KnownAddrs(), e.leaving.Load()}
}

// Ready implements Calls.
func (e *Entry) Ready() bool {
	if e.leaving.Load() {
		return false
	}
	now := e.env.BootClock.Now().UnixNano()
	if e.finder.HasSession() {
		e.missing.Store(0)
		return true
	}
	e.missing.CompareAndSwap(0, now)
	return now-e.missing.Load() < int64(unreadyAfter) && e.missing.Load() != 0 && e.finder.EverHadSession()
}

// Call implements Calls.
func (e *Entry) Call(ctx context.Context, r Request) Answer {
	began := e.env.BootClock.Now()
	req := &wire.JobCall{Kind: string(r.Kind), Host: r.Host, Path: r.Path, Key: r.Key, Request: uuid.NewString()}
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
	a, tries, err := e.carry(ctx, req)
	took := e.env.BootClock.Now().Sub(began)
	e.latency.RecordDuration(took)
	if r.Kind != jobs.CallState || a.Outcome != jobs.Answered {
		e.env.Log.Info("call", zap.String("request", req.Request), zap.String("kind", req.Kind), zap.String("path", r.Path),
			zap.String("outcome", string(a.Outcome)), zap.String("phase", string(a.Phase)), zap.Int("tries", tries),
			zap.Duration("took", took), zap.Error(err))
	}
	return a
}

// carry tries a call at whoever leads until it is answered or ctx is done. All
// calls are idempotent, so that one whose fate isn't known may be tried again.
func (e *Entry) carry(ctx context.Context, req *wire.JobCall) (Answer, int, error) {
	sent, tries := false, 0
	var last error
	for ctx.Err() == nil {
		s, err := e.session(ctx)
		if err != nil {
			last = errors.CombineErrors(err, last)
			break
		}
		tries++
		req.Again = sent
		rep, err := try(ctx, s, req)
		if err == nil {
			return truthful(jobs.CallKind(req.Kind), answerOf(rep, e.env.BootClock.Now()), sent), tries, nil
		}
		last = err
		if ctx.Err() == nil {
			// It has lost its term, is frozen or cut off: another one may lead.
			e.finder.CloseSession(s)
		}
		sent = true
		kern.Sleep(ctx, tryPause)
	}
	a := Answer{Outcome: jobs.Unavailable, RetryAt: e.env.BootClock.Now().Add(retryAfter)}
	return truthful(jobs.CallKind(req.Kind), a, sent), tries, last
}

// session returns the session to the leader, and waits for one as long as that
// makes sense.
func (e *Entry) session(ctx context.Context) (*wire.Session, error) {
	if lost, missing := e.finder.NoSessionSince(); missing {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, lost.Add(giveUpAfter))
		defer cancel()
	}
	return e.finder.Session(ctx)
}

func try(ctx context.Context, s *wire.Session, req *wire.JobCall) (*wire.JobReply, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	rep := &wire.JobReply{}
	return rep, s.Call(ctx, wire.MethodJob, req, rep)
}

// truthful returns the answer as far as it may be given. Once a try was sent whose
// answer is missing, what changes something can't be told as not done: that try
// may have been carried out, or may be yet.
func truthful(kind jobs.CallKind, a Answer, sent bool) Answer {
	if !sent || a.Outcome == jobs.Accepted || a.Outcome == jobs.Stopped || kind == jobs.CallState || kind == jobs.CallCount {
		return a
	}
	return Answer{Outcome: jobs.Uncertain}
}

func answerOf(rep *wire.JobReply, now time.Time) Answer {
	a := Answer{Outcome: jobs.CallOutcome(rep.Outcome), Phase: jobs.Phase(rep.Detail), Count: int(rep.Count)}
	if a.Outcome == jobs.Refused || a.Outcome == jobs.NoConfig {
		a.RetryAt = now.Add(retryAfter)
	}
	return a
}
