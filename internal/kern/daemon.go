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
)

// closeWithin limits how long roles may take to close once they are stopped.
const closeWithin = 5 * time.Second

// part is the runner of one role.
type part struct {
	name string
	run  Runner
}

// Daemon runs the roles of one settings file.
type Daemon struct {
	cfg     *Config
	roles   []Role
	clock   Clock
	log     *zap.Logger
	level   zap.AtomicLevel
	started time.Time
	stop    func() // closes stopped
	stopped chan struct{}
	abort   func() // closes aborted
	aborted chan struct{}

	// reloading serializes reloads, so that older settings never replace newer
	// ones.
	reloading sync.Mutex
	early     *Config // reloaded before the roles were built; guarded by reloading

	mu       sync.Mutex
	parts    []part
	addr     string
	draining bool
}

// New returns a daemon that runs those of the given roles that cfg names. It
// logs to w.
func New(cfg *Config, roles []Role, clock Clock, w io.Writer) *Daemon {
	level := zap.NewAtomicLevel()
	_ = level.UnmarshalText([]byte(cfg.Log.Level)) // Load has validated it
	log := NewLogger(w, level).With(zap.String("node", cfg.Node.Name))
	d := &Daemon{
		cfg: cfg, roles: roles, clock: clock, log: log, level: level, started: clock.Now(),
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
	lines := newLines(os.Stdout, cfg.Log.Lines)
	d := New(cfg, Roles(), wallClock{}, lines)
	var g errgroup.Group
	g.Go(func() error {
		lines.run()
		return nil
	})
	err := withSignals(ctx, d, path)
	lines.close()
	_ = g.Wait() // run never fails
	return err
}

// Reload reads the settings file again and passes each role its settings. An
// invalid file is logged and changes nothing.
func (d *Daemon) Reload(path, why string) {
	cfg, problems, err := load(path, d.roles)
	if err != nil || len(problems) > 0 {
		d.log.Error("reload refused", zap.String("why", why), zap.Error(err), zap.Stringers("problems", problems))
		return
	}
	d.reloading.Lock()
	defer d.reloading.Unlock()
	d.mu.Lock()
	made := d.parts != nil
	d.mu.Unlock()
	if !made {
		d.early = cfg
		return
	}
	d.hand(cfg, why)
}

// hand passes new settings to every role that can reload them. The caller holds
// reloading.
func (d *Daemon) hand(cfg *Config, why string) {
	d.mu.Lock()
	parts := d.parts
	d.mu.Unlock()
	for _, p := range parts {
		if r, ok := p.run.(Reloader); ok && cfg.Role(p.name) != nil {
			r.Reload(cfg.Role(p.name))
		}
	}
	d.log.Info("reloaded", zap.String("why", why))
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

// Addr returns the address of the admin listener, or "" before it is open.
func (d *Daemon) Addr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// Dump returns the state of the process and of each of its roles.
func (d *Daemon) Dump() Dump {
	state := d.State()
	d.mu.Lock()
	parts, addr := d.parts, d.addr
	d.mu.Unlock()
	dump := Dump{
		Node: d.cfg.Who(), Version: Version(), State: state, Started: d.started, Taken: d.clock.Now(),
		Admin: addr, Roles: make(map[string]any, len(parts)),
	}
	for _, p := range parts {
		dump.Roles[p.name] = p.run.Dump()
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
	scope, page, closer := newMetrics(d.cfg.Who(), d.log)
	defer closer.Close() //nolint:errcheck // at exit nothing can report the error
	env := Env{Node: d.cfg.Who(), Log: d.log, Metrics: scope, Clock: d.clock, Boot: BootClock{}, Keys: d.cfg.Secrets()}
	if err := d.build(env); err != nil {
		d.log.Error("start refused", zap.Error(err))
		return err
	}
	ln, err := net.Listen("tcp", d.cfg.Admin.Listen)
	if err != nil {
		err = errors.Wrap(err, "opening admin.listen")
		d.log.Error("start refused", zap.Error(err))
		return err
	}
	d.mu.Lock()
	d.addr = ln.Addr().String()
	d.mu.Unlock()
	d.log.Info("started", zap.String("admin", ln.Addr().String()), zap.Strings("roles", d.cfg.RoleNames()), zap.String("version", Version()))
	adm := &admin{daemon: d, trusted: d.cfg.Trusted, token: AdminToken(env.Keys.Self), metrics: page, level: d.level}
	return d.work(ctx, adm, ln)
}

// build builds every role that the settings name. It applies settings that were
// reloaded meanwhile.
func (d *Daemon) build(env Env) error {
	parts := []part{}
	for _, r := range d.roles {
		s := d.cfg.Role(r.Name())
		if s == nil {
			continue
		}
		own := env
		own.Log = env.Log.With(zap.String("role", r.Name()))
		own.Metrics = env.Metrics.SubScope(r.Name())
		run, err := r.New(&own, s)
		if err != nil {
			return errors.Wrapf(err, "starting role %s", r.Name())
		}
		parts = append(parts, part{name: r.Name(), run: run})
	}
	d.reloading.Lock()
	defer d.reloading.Unlock()
	d.mu.Lock()
	d.parts = parts
	d.mu.Unlock()
	if d.early != nil {
		d.hand(d.early, "settings file changed during startup")
	}
	return nil
}

// work runs the roles and the admin server. When the daemon has to stop, it
// drains the roles, and then closes them and the admin server.
func (d *Daemon) work(ctx context.Context, adm *admin, ln net.Listener) error {
	// Roles outlive ctx, because they still serve while they drain.
	live, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g errgroup.Group
	failed := make(chan error, len(d.parts)+1)
	watch := func(name string, run func(context.Context) error) {
		g.Go(func() error {
			err := run(live)
			if live.Err() == nil {
				failed <- errors.Wrapf(orEnded(err), "role %s", name)
			}
			return err
		})
	}
	for _, p := range d.parts {
		watch(p.name, p.run.Run)
	}
	watch("admin", func(ctx context.Context) error { return adm.serve(ctx, ln) })

	cause := d.wait(ctx, failed)
	err := errors.CombineErrors(cause, d.drain(context.WithoutCancel(ctx)))
	cancel()
	if late := waitWithin(&g, closeWithin); late != nil && err == nil {
		err = late
	}
	d.log.Info("stopped", zap.Error(err))
	return err
}

var errEnded = errors.New("stopped unexpectedly")

func orEnded(err error) error {
	if err == nil {
		return errEnded
	}
	return err
}

// wait blocks until the daemon has to stop. It returns the error of the role
// that failed, if that is the cause.
func (d *Daemon) wait(ctx context.Context, failed <-chan error) error {
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
	deadline := time.Now().Add(time.Duration(d.cfg.Drain.Seconds) * time.Second)
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	d.log.Info("draining", zap.Time("deadline", deadline))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var g errgroup.Group
	for _, p := range d.parts {
		g.Go(func() error {
			if err := p.run.Drain(ctx); err != nil {
				d.log.Warn("drain cut short", zap.String("role", p.name), zap.Error(err))
				return fmt.Errorf("%w: role %s: %w", ErrDrain, p.name, err)
			}
			return nil
		})
	}
	var watch errgroup.Group
	done := make(chan struct{})
	watch.Go(func() error {
		defer close(done)
		return g.Wait()
	})
	select {
	case <-done:
	case <-ctx.Done():
	case <-d.aborted:
		cancel()
	}
	return waitWithin(&watch, closeWithin)
}

// waitWithin waits for a group, but no longer than limit: a role that hangs must
// not keep the process from exiting.
func waitWithin(g *errgroup.Group, limit time.Duration) error {
	done := make(chan error, 1)
	var outer errgroup.Group
	outer.Go(func() error {
		done <- g.Wait()
		return nil
	})
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return errors.Wrap(ErrDrain, "a role didn't close in time")
	}
}
