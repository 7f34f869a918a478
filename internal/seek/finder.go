// Package seek finds the leading control process, beginning with a list of addresses
// that may be out of date, and keeps a session to it.
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
	// tryTimeout limits connecting to one candidate and asking it who leads. That
	// takes some 20 ms; a frozen candidate must not delay the next one for long.
	tryTimeout = 350 * time.Millisecond
	// suspectTimeout limits the same for a candidate that recently didn't answer.
	suspectTimeout = 120 * time.Millisecond
	// pause is the mean time between two rounds over all candidates; each is drawn at
	// random from half to one and a half of it. An election takes 0.6 to 1.2 s, so a
	// new leader is found within a tenth of that.
	pause = 80 * time.Millisecond
	// suspectFor is how long a candidate that didn't answer is tried after all others.
	// Most freezes and network failures last longer.
	suspectFor = 2 * time.Second
	// refreshEvery is the default interval at which the leader is asked for the list of
	// replicas. With 13,000 agents that makes 1,300 short calls per second.
	refreshEvery = 10 * time.Second
	// maxKnown is the largest accepted number of replicas; longer lists are ignored.
	maxKnown = 64
)

// ErrNone is returned if no leader was found in time. No request was sent then.
var ErrNone = errors.New("no leader of control is in reach")

// Replicas holds the addresses of the replicas of the log.
type Replicas struct {
	Addrs []string
	Index uint64 // index of the log entry that set them; in the same log a higher one is newer
}

// Finder keeps a session to the leading control process.
type Finder struct {
	id  wire.Identity
	mux *wire.Mux
	log *zap.Logger
	up  func(ctx context.Context, s *wire.Session)
	// refresh is the interval at which the leader is asked for the list of replicas.
	refresh time.Duration

	mu     sync.Mutex
	seeds  []string      // addresses from the settings
	known  Replicas      // last list from the leader, or a newer one from elsewhere
	leader string        // address of the leader by the last answer; empty if unknown
	sess   *wire.Session // session to the leader; nil if there is none
	found  bool          // there has been a session to a leader
	lost   time.Time     // when the last session ended, or the search began
	// suspects maps candidates that didn't answer to the time until which they are
	// tried after all others.
	suspects map[string]time.Time
	changed  chan struct{} // closed when sess changes
}

// New returns a Finder that begins with the addresses in seeds. up, which may be
// nil, is called for each session to a leader; the session is closed when it returns.
func New(id wire.Identity, seeds []string, log *zap.Logger, up func(ctx context.Context, s *wire.Session)) *Finder {
	log.Info("seeds", zap.Strings("addrs", seeds))
	return &Finder{
		refresh: refreshEvery,
		id:      id, mux: wire.NewMux(log), log: log, up: up, seeds: seeds,
		changed: make(chan struct{}), suspects: map[string]time.Time{}, lost: time.Now(),
	}
}

// WithRefresh sets the interval at which the leader is asked for the list of replicas,
// and returns the Finder. It must be called before Run.
func (f *Finder) WithRefresh(d time.Duration) *Finder {
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

// Run looks for the leader and keeps a session to it until ctx is done.
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

// candidates returns the addresses to try, in this order: the leader by the last
// answer, then the others in random order, those that recently didn't answer last.
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
	slices.SortStableFunc(list, func(a, b string) int { return int(kern.Gauge(suspect(a)) - kern.Gauge(suspect(b))) })
	if f.leader != "" && !suspect(f.leader) {
		list = slices.Insert(slices.DeleteFunc(list, func(a string) bool { return a == f.leader }), 0, f.leader)
	}
	return list
}

// try connects to one control process and asks it who leads. If it leads itself, try
// uses the session until it ends, and returns true.
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

// patience returns the timeout for one control process.
func (f *Finder) patience(addr string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.suspects[addr]) {
		return suspectTimeout
	}
	return tryTimeout
}

// ask asks a control process who leads, and exchanges the known replicas with it.
func (f *Finder) ask(ctx context.Context, s *wire.Session, deadline time.Time) (*wire.LeaderReply, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	known := f.Replicas()
	rep := &wire.LeaderReply{}
	return rep, s.Call(ctx, wire.MethodLeader, &wire.LeaderRequest{Members: known.Addrs, Index: known.Index}, rep)
}

// Tell sends the known replicas to a control process and updates them from its answer.
func (f *Finder) Tell(ctx context.Context, s *wire.Session) error {
	rep, err := f.ask(ctx, s, time.Now().Add(tryTimeout))
	if err != nil {
		return errors.Wrap(err, "exchange the list of replicas")
	}
	f.hear(rep)
	return nil
}

// hear updates the known replicas from an answer.
func (f *Finder) hear(rep *wire.LeaderReply) {
	r := Replicas{Addrs: rep.Members, Index: rep.Index}
	if rep.Leading {
		f.Settle(r)
	} else {
		f.Learn(r)
	}
}

// Learn updates the known replicas from a source other than the leader, if r is newer.
func (f *Finder) Learn(r Replicas) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.known.Addrs) == 0 || r.Index > f.known.Index {
		f.replace(r)
	}
}

// Settle replaces the known replicas by those that the leader named, whatever their
// index. A list from another source may have a higher index and still be wrong: its
// log entry may have been truncated again, or may be from the log of an earlier
// cluster.
func (f *Finder) Settle(r Replicas) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replace(r)
}

// replace sets the known replicas. The caller holds mu.
func (f *Finder) replace(r Replicas) {
	if len(r.Addrs) == 0 || len(r.Addrs) > maxKnown {
		return
	}
	if !slices.Equal(r.Addrs, f.known.Addrs) {
		f.log.Info("replicas known", zap.Strings("addrs", r.Addrs), zap.Uint64("index", r.Index), zap.Uint64("before", f.known.Index))
	}
	f.known = r
}

// Replicas returns the known replicas.
func (f *Finder) Replicas() Replicas {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// Leader returns the address of the present or last leader; empty if unknown.
func (f *Finder) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// miss records that a candidate didn't answer.
func (f *Finder) miss(addr string, err error) {
	f.log.Debug("control process not reached", zap.String("addr", addr), zap.Error(err))
	f.suspect(addr)
}

// suspect makes an address be tried after all others for a while, even if an answer
// names it as the leader. A failure in that time doesn't prolong it, because
// suspectTimeout may be too short for a host that is far away or slow.
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

// note updates replicas and leader from the answer of the process at addr.
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

// stay publishes a session to the leader and serves it until it ends.
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

// attend serves the session and regularly asks the leader for the list of replicas.
func (f *Finder) attend(ctx context.Context, addr string, s *wire.Session) {
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error {
		// Spreads the calls, because all agents find a new leader within a second.
		kern.Sleep(ctx, rand.N(f.refresh))
		return kern.Every(ctx, f.refresh, func() {
			if err := f.Tell(ctx, s); err != nil {
				f.log.Debug("replica list not refreshed", zap.String("addr", addr), zap.Error(err))
			}
		})
	})
	if f.up != nil {
		f.up(ctx, s)
	} else {
		_ = f.mux.Serve(ctx, s)
	}
	cancel()
	_ = g.Wait() // it never returns an error
}

// set replaces the session and wakes those that wait for one.
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

// Found reports whether there is a session to a leader.
func (f *Finder) Found() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sess != nil
}

// Lost returns since when there has been no session to a leader, and false if there is
// one.
func (f *Finder) Lost() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost, f.sess == nil
}

// Session returns the session to the leader. If there is none, it waits for one, and
// returns ErrNone when ctx is done.
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
			return nil, ErrNone
		case <-changed:
		}
	}
}

// Drop closes a session whose other end no longer leads.
func (f *Finder) Drop(s *wire.Session) { _ = s.Close() }

// Known returns the addresses of all known control processes: the replicas and those
// from the settings.
func (f *Finder) Known() []string {
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

// EverFound reports whether there has ever been a session to a leader.
func (f *Finder) EverFound() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.found
}
