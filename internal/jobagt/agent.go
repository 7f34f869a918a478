// Package jobagt implements the jobagent role: one process on the host of each
// worker. It receives the worker's announcements, forwards the orders of the
// control leader to the worker, extends the worker's lease, and reports to the
// leader which runs are on the worker and which have ended.
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
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
	bodyCost          = 3 // an announcement is read and decoded
)

// Agent is a running instance of the role.
type Agent struct {
	env      *kern.Env
	cfg      *Settings
	finder   *seek.Finder
	platform Platform
	worker   Worker
	ln       net.Listener
	log      *zap.Logger
	group    *errgroup.Group // goroutines that execute orders, set by Run
	ctx      context.Context // set by Run; an order outlives the stream that it arrived on

	mu           sync.Mutex
	announced    Announcement // the newest one of the worker in use, which has answered
	candidates   []candidate  // announced workers that haven't answered, those that are tried next first
	probed       string       // name of the candidate that the last hold was for, "" if it was for the worker in use
	deviations   int          // announcements that contradict announced, since the last one that doesn't
	exitReported bool         // the announced worker has reported that it exits now
	state        workerState
	starts       orderQueue
	stops        orderQueue
	term         uint64        // highest term of a leader that sent orders
	fence        uint64        // highest fencing token that a leader has sent
	replaced     []jobs.Worker // incarnations that have answered and were replaced, the latest last
	startedAt    time.Time     // of this process
	reportDue    chan struct{} // closed when a report to the leader is due
	holdDue      chan struct{} // receives a value when a hold is due before its time
}

// workerState is the state of one incarnation of the worker. A restart of the
// worker begins a new one.
type workerState struct {
	worker       jobs.Worker
	listed       bool              // at least one listing was received
	lost         bool              // it is certain that the worker has exited
	misses       int               // consecutive holds without an answer
	refusals     int               // consecutive holds for which nothing listened at the worker's address
	refusedSince time.Time         // time of the first refusal
	lastListing  Listing           // the last one
	listingCount uint64            // listings received
	listedRuns   map[runKey]uint64 // result of listing for listedAs
	listedAs     uint64            // number of a listing
	listedAt     time.Time         // when the last listing arrived
	firstHolds   time.Time         // until when holds wait less
	grantEnd     int64             // until when the leader lets the lease be renewed, on the worker's clock in milliseconds
	evacuated    bool              // the leader says that the failure domain is evacuated
	beginEnd     int64             // until when runs may begin, on the worker's clock in milliseconds; 0 is no limit
	drainClock   int64             // the worker's clock in the last report that it drains, in milliseconds
	lostClock    int64             // the worker's clock in the last listing before it was lost, in milliseconds; 0 if it never was
	leaseEnd     int64             // latest end of the lease that was sent to the worker, on its clock in milliseconds
	earlierLease int64             // latest end of a lease by an order for an earlier incarnation, on the worker's clock in milliseconds
	recordedEnds uint64            // run ends up to this number are recorded by the leader
	runs         map[runKey]*pendingRun
	lateStarts   map[runKey]time.Time // until when an unanswered start of a run may still be executed
	goneRuns     []*wire.RunGone      // not yet reported on the current stream
	// givenUp holds why runs that were reported as gone didn't start, until the leader has recorded their end. An
	// order that it sent before may still come, when the task already has its next run.
	givenUp map[runKey]string
}

// runKey identifies a run.
type runKey struct {
	task string
	run  int
}

// New returns an agent and opens its listener for announcements.
func New(env *kern.Env, cfg *Settings) (*Agent, error) {
	p, ok := RegisteredPlatform.Get()
	if !ok {
		return nil, errors.New("jobagent: no platform is built into this program")
	}
	id := wire.NewIdentity(env.Node, RoleName, env.Keys, uuid.NewString())
	a := &Agent{
		env: env, cfg: cfg, platform: p, worker: p.Worker(cfg.Worker), log: env.Log, startedAt: env.BootClock.Now(),
		reportDue: make(chan struct{}), holdDue: make(chan struct{}, 1),
	}
	a.finder = seek.New(id, jobctl.WithPort(cfg.Seeds, cfg.Port), env.Log, a.serveLeader)
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
	g.Go(func() error { return a.sendHolds(ctx) })
	g.Go(func() error {
		srv := &http.Server{
			Handler: a.platform.Handler(a, a.log), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(a.log),
		}
		a.env.Guard.Serve(srv, bodyCost)
		stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
		defer stop()
		if err := srv.Serve(a.env.Guard.Listen(a.ln)); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "jobagent: announcements")
		}
		return nil
	})
	return g.Wait()
}

// Drain implements kern.Runner. It does nothing: without an agent, runs go on
// until their lease ends, and the next agent process continues with them.
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
		Told      Announcement `json:"told"`
		Worker    jobs.Worker  `json:"worker"`
		Listed    bool         `json:"listed"`
		Lost      bool         `json:"lost"`
		Lease     int64        `json:"lease"`
		Grant     int64        `json:"grant"`
		Seen      uint64       `json:"seen"`
		Runs      int          `json:"runs"`
		Term      uint64       `json:"term"`
		Fence     uint64       `json:"fence"`
		Leader    bool         `json:"leader"`
		Begin     int64        `json:"begin"`
		Evacuated bool         `json:"evacuated"`
	}{a.announced, a.state.worker, a.state.listed, a.state.lost, a.state.leaseEnd, a.state.grantEnd, a.state.recordedEnds, len(a.state.runs), a.term, a.fence, a.finder.HasSession(), a.state.beginEnd, a.state.evacuated}
}

// triggerReport makes a report to the leader due now. The caller holds a.mu.
func (a *Agent) triggerReport() {
	close(a.reportDue)
	a.reportDue = make(chan struct{})
}

// triggerHold makes the next hold due now.
func (a *Agent) triggerHold() {
	select {
	case a.holdDue <- struct{}{}:
	default:
	}
}
