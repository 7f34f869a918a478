package kern

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/guard"
)

// closeTimeout limits how long roles may take to close once they are stopped.
const closeTimeout = 5 * time.Second

// namedRunner is the runner of one role.
type namedRunner struct {
	name   string
	runner Runner
}

// Daemon runs the roles of one settings file.
type Daemon struct {
	cfg       *Config
	roles     []Role
	clock     Clock
	log       *zap.Logger
	logLevel  zap.AtomicLevel
	startTime time.Time
	stop      func() // closes stopped
	stopped   chan struct{}
	abort     func() // closes aborted
	aborted   chan struct{}

	// reloadMu serializes reloads, so that older settings never replace newer ones.
	reloadMu      sync.Mutex
	pendingReload *Config // reloaded before the roles were built; guarded by reloadMu

	mu        sync.Mutex
	runners   []namedRunner
	adminAddr string
	draining  bool
}

// New returns a daemon that runs those of the given roles that cfg names. It
// logs to w.
func New(cfg *Config, roles []Role, clock Clock, w io.Writer) *Daemon {
	level := zap.NewAtomicLevel()
	_ = level.UnmarshalText([]byte(cfg.Log.Level)) // Load has validated it
	log := NewLogger(w, level).With(zap.String("node", cfg.Node.Name))
	d := &Daemon{
		cfg: cfg, roles: roles, clock: clock, log: log, logLevel: level, startTime: clock.Now(),
		stopped: make(chan struct{}), aborted: make(chan struct{}),
	}
	d.stop = sync.OnceFunc(func() { close(d.stopped) })
	d.abort = sync.OnceFunc(func() { close(d.aborted) })
	return d
}

// Run runs the registered roles that cfg names and logs to standard output. It
// drains and stops the roles and returns when ctx is done, on a signal, or when
// a role fails. path is the file that cfg was read from.
func Run(ctx context.Context, path string, cfg *Config) error {
	cfg.setMemoryLimit()
	out := newLogWriter(os.Stdout, cfg.Log.LinesPerSecond)
	d := New(cfg, Roles(), wallClock{}, out)
	var g errgroup.Group
	g.Go(func() error {
		out.run()
		return nil
	})
	err := serveWithSignals(ctx, d, path)
	out.close()
	_ = g.Wait() // run never fails
	return err
}

// Reload reads the settings file again and passes each role its settings. An
// invalid file is logged and changes nothing.
func (d *Daemon) Reload(path, reason string) {
	cfg, problems, err := load(path, d.roles)
	if err != nil || len(problems) > 0 {
		d.log.Error("reload refused", zap.String("why", reason), zap.Error(err), zap.Stringers("problems", problems))
		return
	}
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	d.mu.Lock()
	built := d.runners != nil
	d.mu.Unlock()
	if !built {
		d.pendingReload = cfg
		return
	}
	d.reloadRoles(cfg, reason)
}

// reloadRoles passes new settings to every role that can reload them. The caller
// holds reloadMu.
func (d *Daemon) reloadRoles(cfg *Config, reason string) {
	d.mu.Lock()
	runners := d.runners
	d.mu.Unlock()
	for _, role := range runners {
		if r, ok := role.runner.(Reloader); ok && cfg.Role(role.name) != nil {
			r.Reload(cfg.Role(role.name))
		}
	}
	d.log.Info("reloaded", zap.String("why", reason))
}

// Stop starts a graceful stop. Further calls have no effect.
func (d *Daemon) Stop() { d.stop() }

// Abort stops the daemon without waiting for running work to finish.
func (d *Daemon) Abort() {
	d.stop()
	d.abort()
}

// State returns whether the daemon is running or draining.
func (d *Daemon) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return StateDraining
	}
	return StateRunning
}

// AdminAddr returns the address of the admin listener, or "" before it is open.
func (d *Daemon) AdminAddr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.adminAddr
}

// Dump returns the state of the process and of each of its roles.
func (d *Daemon) Dump() Dump {
	state := d.State()
	d.mu.Lock()
	runners, addr := d.runners, d.adminAddr
	d.mu.Unlock()
	dump := Dump{
		Node: d.cfg.Identity(), Version: Version(), State: state, StartedAt: d.startTime, TakenAt: d.clock.Now(),
		Admin: addr, Roles: make(map[string]any, len(runners)),
	}
	for _, role := range runners {
		dump.Roles[role.name] = role.runner.Dump()
	}
	return dump
}

// LogDump writes the dump to the log as one line.
func (d *Daemon) LogDump() {
	d.log.Info("dump", zap.Any("dump", d.Dump()))
}

// Serve runs the roles until ctx is done, Stop is called or a role fails. It then
// drains them and returns once everything is closed.
func (d *Daemon) Serve(ctx context.Context) error {
	defer d.log.Sync()
	scope, metricsHandler, closer := newMetrics(d.cfg.Identity(), d.log)
	defer closer.Close() //nolint:errcheck // at exit nothing can report the error
	env := Env{Node: d.cfg.Identity(), Log: d.log, Metrics: scope, Clock: d.clock, BootClock: BootClock{}, Keys: d.cfg.Secrets()}
	env.Memory = int64(d.cfg.Limits.MemoryMiB) * mebibyte
	env.Guard = guard.New(d.cfg.clientLimits(), env.BootClock, d.log, scope.SubScope("guard"))
	if err := d.buildRoles(env); err != nil {
		d.log.Error("start failed", zap.Error(err))
		return err
	}
	ln, err := net.Listen("tcp", d.cfg.Admin.Listen)
	if err != nil {
		err = errors.Wrap(err, "opening admin.listen")
		d.log.Error("start failed", zap.Error(err))
		return err
	}
	d.mu.Lock()
	d.adminAddr = ln.Addr().String()
	d.mu.Unlock()
	d.log.Info("started", zap.String("admin", ln.Addr().String()), zap.Strings("roles", d.cfg.RoleNames()), zap.String("version", Version()))
	admin := &adminServer{daemon: d, trusted: d.cfg.Trusted, token: AdminToken(env.Keys.Self), metrics: metricsHandler, logLevel: d.logLevel, guard: env.Guard}
	return d.runRoles(ctx, admin, ln)
}

// buildRoles builds every role that the settings name. It then applies settings
// that were reloaded meanwhile.
func (d *Daemon) buildRoles(env Env) error {
	runners := []namedRunner{}
	for _, r := range d.roles {
		s := d.cfg.Role(r.Name())
		if s == nil {
			continue
		}
		roleEnv := env
		roleEnv.Log = env.Log.With(zap.String("role", r.Name()))
		roleEnv.Metrics = env.Metrics.SubScope(r.Name())
		runner, err := r.New(&roleEnv, s)
		if err != nil {
			return errors.Wrapf(err, "starting role %s", r.Name())
		}
		runners = append(runners, namedRunner{name: r.Name(), runner: runner})
	}
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	d.mu.Lock()
	d.runners = runners
	d.mu.Unlock()
	if d.pendingReload != nil {
		d.reloadRoles(d.pendingReload, "settings file changed during startup")
	}
	return nil
}

// runRoles runs the roles and the admin server. When the daemon has to stop, it
// drains the roles, and then closes them and the admin server.
func (d *Daemon) runRoles(ctx context.Context, admin *adminServer, ln net.Listener) error {
	// Roles outlive ctx, because they still serve while they drain.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g errgroup.Group
	failed := make(chan error, len(d.runners)+1)
	start := func(name string, run func(context.Context) error) {
		g.Go(func() error {
			err := run(runCtx)
			if runCtx.Err() == nil {
				failed <- errors.Wrapf(orStoppedUnexpectedly(err), "role %s", name)
			}
			return err
		})
	}
	for _, role := range d.runners {
		start(role.name, role.runner.Run)
	}
	start("admin", func(ctx context.Context) error { return admin.serve(ctx, ln) })

	cause := d.waitForStop(ctx, failed)
	err := errors.CombineErrors(cause, d.drain(context.WithoutCancel(ctx)))
	cancel()
	if closeErr := waitWithTimeout(&g, closeTimeout); closeErr != nil && err == nil {
		err = closeErr
	}
	d.log.Info("stopped", zap.Error(err))
	return err
}

var errStoppedUnexpectedly = errors.New("stopped unexpectedly")

func orStoppedUnexpectedly(err error) error {
	if err == nil {
		return errStoppedUnexpectedly
	}
	return err
}

// waitForStop blocks until the daemon has to stop. It returns the error of the
// role that failed, if that is the cause.
func (d *Daemon) waitForStop(ctx context.Context, failed <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.stopped:
		return nil
	case err := <-failed:
		d.log.Error("role failed", zap.Error(err))
		return err
	}
}

// drain lets every role finish its work, until the drain deadline or Abort.
func (d *Daemon) drain(ctx context.Context) error {
	deadline := time.Now().Add(time.Duration(d.cfg.Drain.TimeoutSeconds) * time.Second)
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	d.log.Info("draining", zap.Time("deadline", deadline))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var g errgroup.Group
	for _, role := range d.runners {
		g.Go(func() error {
			if err := role.runner.Drain(ctx); err != nil {
				d.log.Warn("drain incomplete", zap.String("role", role.name), zap.Error(err))
				return fmt.Errorf("%w: role %s: %w", ErrDrain, role.name, err)
			}
			return nil
		})
	}
	var waiter errgroup.Group
	done := make(chan struct{})
	waiter.Go(func() error {
		defer close(done)
		return g.Wait()
	})
	select {
	case <-done:
	case <-ctx.Done():
	case <-d.aborted:
		cancel()
	}
	return waitWithTimeout(&waiter, closeTimeout)
}

// waitWithTimeout waits for a group, but no longer than timeout: a role that
// hangs must not keep the process from exiting.
func waitWithTimeout(g *errgroup.Group, timeout time.Duration) error {
	done := make(chan error, 1)
	var waiter errgroup.Group
	waiter.Go(func() error {
		done <- g.Wait()
		return nil
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return errors.Wrap(ErrDrain, "a role didn't close in time")
	}
}
