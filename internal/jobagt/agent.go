// Package jobagt is the role that runs beside a worker: it takes the worker's
// announcements, carries the leader's orders to it, keeps its lease and reports
// what runs and what has ended.
package jobagt

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
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
	maxHeader     = 16 << 10
)

// Agent is the role at work.
type Agent struct {
	env      *kern.Env
	cfg      *Settings
	finder   *seek.Finder
	platform Platform
	worker   Worker
	ln       net.Listener
	log      *zap.Logger
	group    *errgroup.Group // of orders under way, for the time of Run
	ctx      context.Context // of Run: orders outlive the stream that brought them

	mu      sync.Mutex
	told    Announcement // the last one
	leaves  time.Time    // when its worker ends at the earliest, as it said; zero if it stays
	left    bool         // that worker has said that it ends
	life    life
	term    uint64
	changed chan struct{} // closed when there is something to report
	poke    chan struct{} // there is something for the next hold
}

// life is what is known of one life of the worker.
type life struct {
	worker  jobs.Worker
	listed  bool
	lost    bool
	misses  int       // holds in a row without an answer
	refused int       // holds in a row that met no listener
	since   time.Time // of the first of them
	listing Listing
	count   uint64 // listings
	lease   int64  // on the worker's clock
	seen    uint64
	runs    map[key]*run
	gone    []*wire.RunGone // not reported on the stream in use
}

// key names a run.
type key struct {
	task string
	run  int
}

// New opens the listener.
func New(env *kern.Env, cfg *Settings) (*Agent, error) {
	p, ok := RegisteredPlatform.Get()
	if !ok {
		return nil, errors.New("jobagent: this build speaks with no workers")
	}
	id := wire.NewIdentity(env.Node, RoleName, env.Keys, uuid.NewString())
	a := &Agent{
		env: env, cfg: cfg, platform: p, worker: p.Worker(cfg.Worker), log: env.Log,
		changed: make(chan struct{}), poke: make(chan struct{}, 1),
	}
	a.finder = seek.New(id, jobctl.WithPort(cfg.Seeds, cfg.Port), env.Log, a.attend)
	var err error
	if a.ln, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, errors.Wrap(err, "jobagent: listen")
	}
	return a, nil
}

// Run implements kern.Runner.
func (a *Agent) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	a.group, a.ctx = g, ctx
	g.Go(func() error { return a.finder.Run(ctx) })
	g.Go(func() error { return a.watch(ctx) })
	g.Go(func() error {
		srv := &http.Server{
			Handler: a.platform.Handler(a, a.log), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
			ErrorLog: zap.NewStdLog(a.log),
		}
		stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
		defer stop()
		if err := srv.Serve(a.ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "jobagent: announcements")
		}
		return nil
	})
	return g.Wait()
}

// Drain implements kern.Runner. Runs go on without their agent until their lease
// ends; the next process takes them up.
func (a *Agent) Drain(context.Context) error { return nil }

// Reload implements kern.Reloader. Only the seeds can change.
func (a *Agent) Reload(s kern.Settings) {
	if next, ok := s.(*Settings); ok {
		a.finder.SetSeeds(jobctl.WithPort(next.Seeds, next.Port))
	}
}

// Dump implements kern.Runner.
func (a *Agent) Dump() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return struct {
		Told   Announcement `json:"told"`
		Worker jobs.Worker  `json:"worker"`
		Listed bool         `json:"listed"`
		Lost   bool         `json:"lost"`
		Lease  int64        `json:"lease"`
		Seen   uint64       `json:"seen"`
		Runs   int          `json:"runs"`
		Term   uint64       `json:"term"`
		Leader bool         `json:"leader"`
	}{a.told, a.life.worker, a.life.listed, a.life.lost, a.life.lease, a.life.seen, len(a.life.runs), a.term, a.finder.HasSession()}
}

// notify lets the stream to the leader report at once. The caller holds mu.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// hurry lets the next hold go out at once.
func (a *Agent) hurry() {
	select {
	case a.poke <- struct{}{}:
	default:
	}
}

// Announce implements Announcements. An announcement that another one has
// overtaken changes nothing.
func (a *Agent) Announce(n Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.told
	if n.Worker == old.Worker && n.Seq <= old.Seq || n.Worker.StartedMs < old.Worker.StartedMs {
		a.log.Info("old announcement ignored", zap.String("worker", n.Worker.Name), zap.Int64("born", n.Worker.StartedMs),
			zap.Int64("seq", n.Seq), zap.Int64("newest", old.Seq))
		return
	}
	a.told, a.leaves = n, time.Time{}
	if n.Draining && n.RemainMs > 0 {
		a.leaves = a.env.BootClock.Now().Add(time.Duration(n.RemainMs) * time.Millisecond)
	}
	if n.Worker != old.Worker || n.Draining != old.Draining {
		a.log.Info("worker announced", zap.String("worker", n.Worker.Name), zap.Int64("born", n.Worker.StartedMs), zap.Int64("seq", n.Seq),
			zap.Bool("draining", n.Draining), zap.Int64("remain", n.RemainMs), zap.String("service", n.Service))
		if n.Worker != old.Worker {
			a.left = false
		}
		a.notify()
		a.hurry()
	}
}

// Leave implements Announcements.
func (a *Agent) Leave(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if worker != a.told.Worker.Name {
		return
	}
	a.left = true
	a.told.Draining = true
	a.log.Info("worker leaves", zap.String("worker", worker))
	a.notify()
	a.hurry()
}
