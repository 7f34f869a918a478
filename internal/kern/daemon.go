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

// closeWithin is how long roles are given to close once they are told to stop.
const closeWithin = 5 * time.Second

// part is one role at work.
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

	// reloading is held while settings are handed to the roles, so that older ones
	// never come after newer ones.
	reloading sync.Mutex
	early     *Config // read again before the roles were made; guarded by reloading

	mu       sync.Mutex
	parts    []part
	addr     string
	draining bool
}

// New returns a daemon that will run the roles that cfg names and log to w.
func New(cfg *Config, roles []Role, clock Clock, w io.Writer) *Daemon {
	level := zap.NewAtomicLevel()
	_ = level.UnmarshalText([]byte(cfg.Log.Level)) // Load has checked it
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
// returns after ctx is done, after a signal, or when a role fails; the first two
// drain the roles before they stop. path is the file that cfg was read from.
func Run(ctx context.Context, path string, cfg *Config) error {
	lines := newLines(os.Stdout, cfg.Log.LinesPerSecond)
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

// Reload reads the settings file again and hands roles their part. A file that
// can't be used changes nothing.
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

// hand gives the roles their part of new settings. The caller holds reloading.
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

// Stop asks for a graceful stop. Asking again changes nothing.
func (d *Daemon) Stop() { d.stop() }

// Abort cuts a graceful stop short.
func (d *Daemon) Abort() {
	d.stop()
	d.abort()
}

// State says whether the daemon takes work.
func (d *Daemon) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return StateDraining
	}
	return StateRunning
}

// AdminAddr returns the address of the admin listener once it is open.
func (d *Daemon) AdminAddr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// Dump returns the state of the process with that of every role.
func (d *Daemon) Dump() Dump {
	state := d.State()
	d.mu.Lock()
	parts, addr := d.parts, d.addr
	d.mu.Unlock()
	dump := Dump{
		Node: d.cfg.Identity(), Version: Version(), State: state, StartedAt: d.started, TakenAt: d.clock.Now(),
		Admin: addr, Roles: make(map[string]any, len(parts)),
	}
	for _, p := range parts {
		dump.Roles[p.name] = p.run.Dump()
	}
	return dump
}

// LogDump writes the dump as one line of the log.
func (d *Daemon) LogDump() {
	d.log.Info("dump", zap.Any("dump", d.Dump()))
}

// Serve runs the roles until ctx is done or Stop is called, drains them, and
// returns once all is closed. A role that fails stops the others in the same
// way.
func (d *Daemon) Serve(ctx context.Context) error {
	defer d.log.Sync()
	scope, page, closer := newMetrics(d.cfg.Identity(), d.log)
	defer closer.Close() //nolint:errcheck // nothing is left to report to
	env := Env{Node: d.cfg.Identity(), Log: d.log, Metrics: scope, Clock: d.clock, BootClock: BootClock{}, Keys: d.cfg.Secrets()}
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

// build makes every role that the settings name.
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
		d.hand(d.early, "changed during the start")
	}
	return nil
}

// work runs roles and admin listener, and stops them in order.
func (d *Daemon) work(ctx context.Context, adm *admin, ln net.Listener) error {
	// Roles outlive ctx, since they serve while they drain.
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

var errEnded = errors.New("ended by itself")

func orEnded(err error) error {
	if err == nil {
		return errEnded
	}
	return err
}

// wait returns when the daemon has to stop, with the failure that is the cause.
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

// drain asks every role to finish its work by the deadline. Abort cuts it
// short.
func (d *Daemon) drain(ctx context.Context) error {
	deadline := time.Now().Add(time.Duration(d.cfg.Drain.TimeoutSeconds) * time.Second)
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
// not keep the process from ending.
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
		return errors.Wrap(ErrDrain, "a role didn't close")
	}
}
