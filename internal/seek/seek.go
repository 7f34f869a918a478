// Package seek finds the leading control process from addresses that may be
// stale, and keeps a session to it.
package seek

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const (
	// tryTimeout is for connecting to one candidate and asking it. That takes
	// some 20 ms; a frozen one must not hold up the next.
	tryTimeout = 350 * time.Millisecond
	// suspectTimeout is the same for one that didn't answer a moment ago.
	suspectTimeout = 120 * time.Millisecond
	// pause between two rounds over all candidates, spread by half. An election
	// takes 0.6 to 1.2 s, so a new leader is found within a tenth of that.
	pause = 80 * time.Millisecond
	// suspectFor is how long a candidate that didn't answer is tried last. Most
	// freezes and cuts take longer.
	suspectFor = 2 * time.Second
	// refreshEvery is how often the leader is asked which replicas there are. With
	// 13,000 agents these are 1,300 short calls a second.
	refreshEvery = 10 * time.Second
	// maxKnown bounds the addresses that are remembered.
	maxKnown = 64
)

// ErrNoLeader means that no leader was found in time. Nothing was sent.
var ErrNoLeader = errors.New("no leader of control is in reach")

// Replicas are the addresses of the replicas of the log.
type Replicas struct {
	Addrs []string
	Index uint64 // of the log entry that set them; a higher one is newer in the same log
}

// Finder keeps a session to the leading control process.
type Finder struct {
	id  wire.Identity
	mux *wire.Mux
	log *zap.Logger
	up  func(ctx context.Context, s *wire.Session)
	// refresh is how often the leader is asked which replicas there are.
	refresh time.Duration

	mu     sync.Mutex
	seeds  []string
	known  Replicas // what the leader told last, or newer hearsay
	leader string   // where the last answer pointed
	sess   *wire.Session
	found  bool      // there has been a session
	lost   time.Time // when the last session ended, or the search began
	// suspects are candidates that didn't answer, until when they come last.
	suspects map[string]time.Time
	changed  chan struct{} // closed when sess changes
}

// New returns a Finder that begins with the addresses in seeds. up, which may be
// nil, runs for each session to a leader; the session is given up when up returns.
func New(id wire.Identity, seeds []string, log *zap.Logger, up func(ctx context.Context, s *wire.Session)) *Finder {
	log.Info("seeds", zap.Strings("addrs", seeds))
	return &Finder{
		refresh: refreshEvery,
		id:      id, mux: wire.NewMux(log), log: log, up: up, seeds: seeds,
		changed: make(chan struct{}), suspects: map[string]time.Time{}, lost: time.Now(),
	}
}

// WithRefreshInterval returns the Finder with another time between two looks for new
// replicas. It is to be called before Run.
func (f *Finder) WithRefreshInterval(d time.Duration) *Finder {
	f.refresh = d
	return f
}

// SetSeeds replaces the addresses from the settings.
func (f *Finder) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Equal(f.seeds, seeds) {
		f.log.Info("seeds", zap.Strings("addrs", seeds), zap.Strings("before", f.seeds))
	}
	f.seeds = seeds
}

// Run looks for the leader and keeps to it until ctx is done.
func (f *Finder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, addr := range f.candidates() {
			if f.try(ctx, addr) {
				break
			}
			if ctx.Err() != nil {
				return nil
			}
		}
		kern.Sleep(ctx, pause/2+rand.N(pause))
	}
	return nil
}

// candidates returns where to look: where the last answer pointed, then all
// other addresses in random order.
func (f *Finder) candidates() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	add := func(addr string) {
		if addr != "" && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	for _, addr := range f.known.Addrs {
		add(addr)
	}
	for _, addr := range f.seeds {
		add(addr)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	now := time.Now()
	suspect := func(addr string) bool { return now.Before(f.suspects[addr]) }
	slices.SortStableFunc(list, func(a, b string) int { return int(kern.BoolToFloat(suspect(a)) - kern.BoolToFloat(suspect(b))) })
	if f.leader != "" && !suspect(f.leader) {
		list = slices.Insert(slices.DeleteFunc(list, func(a string) bool { return a == f.leader }), 0, f.leader)
	}
	return list
}

// try asks one control process. If it leads, try stays with it until the session
// ends, and returns true.
func (f *Finder) try(ctx context.Context, addr string) bool {
	deadline := time.Now().Add(f.patience(addr))
	d := net.Dialer{Deadline: deadline}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		f.miss(addr, err)
		return false
	}
	s, err := wire.ConnectBy(c, f.id, deadline)
	if err != nil {
		f.miss(addr, err)
		return false
	}
	defer func() { _ = s.Close() }()
	rep, err := f.ask(ctx, s, deadline)
	if err != nil {
		f.miss(addr, err)
		return false
	}
	f.note(addr, rep)
	if !rep.Leading {
		return false
	}
	f.stay(ctx, addr, s)
	return true
}

// patience returns how long one control process is given to answer.
func (f *Finder) patience(addr string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.suspects[addr]) {
		return suspectTimeout
	}
	return tryTimeout
}

func (f *Finder) ask(ctx context.Context, s *wire.Session, deadline time.Time) (*wire.LeaderReply, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	known := f.Replicas()
	rep := &wire.LeaderReply{}
	return rep, s.Call(ctx, wire.MethodLeader, &wire.LeaderRequest{Members: known.Addrs, Index: known.Index}, rep)
}

// ExchangeReplicas exchanges with a control process which replicas there are.
func (f *Finder) ExchangeReplicas(ctx context.Context, s *wire.Session) error {
	rep, err := f.ask(ctx, s, time.Now().Add(tryTimeout))
	if err != nil {
		return errors.Wrap(err, "tell of the replicas")
	}
	f.hear(rep)
	return nil
}

// hear takes note of the replicas that an answer names.
func (f *Finder) hear(rep *wire.LeaderReply) {
	r := Replicas{Addrs: rep.Members, Index: rep.Index}
	if rep.Leading {
		f.SetReplicas(r)
	} else {
		f.LearnReplicas(r)
	}
}

// LearnReplicas takes note of the replicas that the log or another process names, unless
// others are known that are as new.
func (f *Finder) LearnReplicas(r Replicas) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.known.Addrs) == 0 || r.Index > f.known.Index {
		f.replace(r)
	}
}

// SetReplicas takes note of the replicas that the leader names, whatever is known. What
// others told may come from an entry that was cut off the log again, or from the log
// of a cluster that was founded before this one.
func (f *Finder) SetReplicas(r Replicas) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replace(r)
}

// replace stores replicas. The caller holds mu.
func (f *Finder) replace(r Replicas) {
	if len(r.Addrs) == 0 || len(r.Addrs) > maxKnown {
		return
	}
	if !slices.Equal(r.Addrs, f.known.Addrs) {
		f.log.Info("replicas known", zap.Strings("addrs", r.Addrs), zap.Uint64("index", r.Index), zap.Uint64("before", f.known.Index))
	}
	f.known = r
}

// Replicas returns the newest replicas that are known.
func (f *Finder) Replicas() Replicas {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// LeaderAddr returns where the leader is or was last, empty if unknown.
func (f *Finder) LeaderAddr() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// miss notes that a candidate didn't answer.
func (f *Finder) miss(addr string, err error) {
	f.log.Debug("control process not reached", zap.String("addr", addr), zap.Error(err))
	f.suspect(addr)
}

// suspect lets an address be tried last for a while, whoever points to it. Another
// miss in that time doesn't prolong it: suspectTimeout may be too short for a host
// that is far away or slow.
func (f *Finder) suspect(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); !now.Before(f.suspects[addr]) {
		f.suspects[addr] = now.Add(suspectFor)
	}
	if f.leader == addr {
		f.leader = ""
	}
}

func (f *Finder) note(addr string, rep *wire.LeaderReply) {
	f.hear(rep)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case rep.Leading:
		f.leader = addr
	case rep.Leader != addr:
		f.leader = rep.Leader
	}
}

// stay serves a session to the leader until it ends.
func (f *Finder) stay(ctx context.Context, addr string, s *wire.Session) {
	f.set(s)
	f.log.Info("leader found", zap.String("addr", addr))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	f.attend(ctx, addr, s)
	f.set(nil)
	f.suspect(addr)
	f.log.Warn("leader lost", zap.String("addr", addr))
}

// attend serves the session, and keeps up with the replicas meanwhile.
func (f *Finder) attend(ctx context.Context, addr string, s *wire.Session) {
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error {
		// All agents have found a new leader within a second.
		kern.Sleep(ctx, rand.N(f.refresh))
		return kern.Every(ctx, f.refresh, func() {
			if err := f.ExchangeReplicas(ctx, s); err != nil {
				f.log.Debug("replicas not asked for", zap.String("addr", addr), zap.Error(err))
			}
		})
	})
	if f.up != nil {
		f.up(ctx, s)
	} else {
		_ = f.mux.Serve(ctx, s)
	}
	cancel()
	_ = g.Wait() // never an error
}

func (f *Finder) set(s *wire.Session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sess != nil && s == nil {
		f.lost = time.Now()
	}
	f.sess = s
	f.found = f.found || s != nil
	close(f.changed)
	f.changed = make(chan struct{})
}

// HasSession tells whether there is a session to a leader.
func (f *Finder) HasSession() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sess != nil
}

// NoSessionSince returns since when there has been no session to a leader, if there is none.
func (f *Finder) NoSessionSince() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost, f.sess == nil
}

// Session returns the session to the leader, and waits for one until ctx is
// done. It returns an ErrNone then.
func (f *Finder) Session(ctx context.Context) (*wire.Session, error) {
	for {
		f.mu.Lock()
		s, changed := f.sess, f.changed
		f.mu.Unlock()
		if s != nil {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return nil, ErrNoLeader
		case <-changed:
		}
	}
}

// CloseSession gives a session up: the process at its other end no longer leads.
func (f *Finder) CloseSession(s *wire.Session) { _ = s.Close() }

// KnownAddrs returns the addresses of control processes that are known, those from
// the settings included.
func (f *Finder) KnownAddrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.Clone(f.known.Addrs)
	for _, addr := range f.seeds {
		if !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

// EverHadSession tells whether there has been a session to a leader.
func (f *Finder) EverHadSession() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.found
}
