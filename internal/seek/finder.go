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
	// longSearch is after how long without a leader candidates get twice the time, and after
	// veryLongSearch four times: all of them may be slow, or far away.
	longSearch, veryLongSearch = 5 * time.Second, 8 * time.Second
	// suspectTimeout limits the same for a candidate that recently didn't answer.
	suspectTimeout = 120 * time.Millisecond
	// roundPause is the mean time between two rounds over all candidates; each is drawn at
	// random from half to one and a half of it. An election takes 0.6 to 1.2 s, so a
	// new leader is found within a tenth of that.
	roundPause = 80 * time.Millisecond
	// suspectDuration is how long a candidate that didn't answer is tried after all others.
	// Most freezes and network failures last longer.
	suspectDuration = 2 * time.Second
	// defaultRefresh is the default interval at which the leader is asked for the list of
	// replicas. With 13,000 agents that makes 1,300 short calls per second.
	defaultRefresh = 10 * time.Second
	// maxReplicas is the largest accepted number of replicas; longer lists are ignored.
	maxReplicas = 64
)

// ErrNoLeader is returned if no leader was found in time. No request was sent then.
var ErrNoLeader = errors.New("no leader of control is in reach")

// Replicas holds the addresses of the replicas of the log.
type Replicas struct {
	Addrs []string
	Index uint64 // index of the log entry that set them; in the same log a higher one is newer
}

// Finder keeps a session to the leading control process.
type Finder struct {
	id       wire.Identity
	mux      *wire.Mux
	log      *zap.Logger
	onLeader func(ctx context.Context, s *wire.Session)
	// refreshInterval is the interval at which the leader is asked for the list of replicas.
	refreshInterval time.Duration

	mu             sync.Mutex
	seeds          []string      // addresses from the settings
	replicas       Replicas      // last list from the leader, or a newer one from elsewhere
	leaderAddr     string        // address that the last answer named as the leader; empty if unknown
	session        *wire.Session // session to the leader; nil if there is none
	everHadSession bool          // there has been a session to a leader
	lostAt         time.Time     // when the last session ended, or the search began
	// suspectUntil maps candidates that didn't answer to the time until which they are
	// tried after all others.
	suspectUntil   map[string]time.Time
	sessionChanged chan struct{} // closed when session changes
}

// New returns a Finder that begins with the addresses in seeds. onLeader, which
// may be nil, is called for each session to a leader; the session is closed when it returns.
func New(id wire.Identity, seeds []string, log *zap.Logger, onLeader func(ctx context.Context, s *wire.Session)) *Finder {
	log.Info("seeds", zap.Strings("addrs", seeds))
	return &Finder{
		refreshInterval: defaultRefresh,
		id:              id, mux: wire.NewMux(log), log: log, onLeader: onLeader, seeds: seeds,
		sessionChanged: make(chan struct{}), suspectUntil: map[string]time.Time{}, lostAt: time.Now(),
	}
}

// WithRefreshInterval sets the interval at which the leader is asked for the list of replicas,
// and returns the Finder. It must be called before Run.
func (f *Finder) WithRefreshInterval(interval time.Duration) *Finder {
	f.refreshInterval = interval
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
			if f.tryCandidate(ctx, addr) {
				break
			}
			if ctx.Err() != nil {
				return nil
			}
		}
		kern.Sleep(ctx, roundPause/2+rand.N(roundPause))
	}
	return nil
}

// candidates returns the addresses to try, in this order: the leader by the last
// answer, then the others in random order, those that recently didn't answer last.
func (f *Finder) candidates() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []string
	add := func(addr string) {
		if addr != "" && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	for _, addr := range f.replicas.Addrs {
		add(addr)
	}
	for _, addr := range f.seeds {
		add(addr)
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	now := time.Now()
	isSuspect := func(addr string) bool { return now.Before(f.suspectUntil[addr]) }
	slices.SortStableFunc(addrs, func(a, b string) int { return int(kern.BoolToFloat(isSuspect(a)) - kern.BoolToFloat(isSuspect(b))) })
	if f.leaderAddr != "" && !isSuspect(f.leaderAddr) {
		addrs = slices.Insert(slices.DeleteFunc(addrs, func(a string) bool { return a == f.leaderAddr }), 0, f.leaderAddr)
	}
	return addrs
}

// tryCandidate connects to one control process and asks it who leads. If it leads
// itself, tryCandidate uses the session until it ends, and returns true.
func (f *Finder) tryCandidate(ctx context.Context, addr string) bool {
	timeout := f.answerTimeout(addr)
	deadline := time.Now().Add(timeout)
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		f.recordFailure(addr, timeout, err)
		return false
	}
	s, err := wire.ConnectBy(conn, f.id, deadline)
	if err != nil {
		f.recordFailure(addr, timeout, err)
		return false
	}
	defer func() { _ = s.Close() }()
	reply, err := f.askLeader(ctx, s, deadline)
	if err != nil {
		f.recordFailure(addr, timeout, err)
		return false
	}
	f.recordReply(addr, reply)
	if !reply.Leading {
		return false
	}
	f.useSession(ctx, addr, s)
	return true
}

// answerTimeout returns the timeout for one control process.
func (f *Finder) answerTimeout(addr string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.suspectUntil[addr]) {
		return suspectTimeout
	}
	switch search := time.Since(f.lostAt); {
	case f.session != nil:
		return tryTimeout
	case search > veryLongSearch:
		return 4 * tryTimeout
	case search > longSearch:
		return 2 * tryTimeout
	}
	return tryTimeout
}

// askLeader asks a control process who leads, and exchanges the known replicas with it.
func (f *Finder) askLeader(ctx context.Context, s *wire.Session, deadline time.Time) (*wire.LeaderReply, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	known := f.Replicas()
	reply := &wire.LeaderReply{}
	return reply, s.Call(ctx, wire.MethodLeader, &wire.LeaderRequest{Members: known.Addrs, Index: known.Index}, reply)
}

// ExchangeReplicas sends the known replicas to a control process and updates them from its answer.
func (f *Finder) ExchangeReplicas(ctx context.Context, s *wire.Session) error {
	reply, err := f.askLeader(ctx, s, time.Now().Add(tryTimeout))
	if err != nil {
		return errors.Wrap(err, "exchange the list of replicas")
	}
	f.updateReplicas(reply)
	return nil
}

// updateReplicas updates the known replicas from an answer.
func (f *Finder) updateReplicas(reply *wire.LeaderReply) {
	r := Replicas{Addrs: reply.Members, Index: reply.Index}
	if reply.Leading {
		f.SetReplicas(r)
	} else {
		f.LearnReplicas(r)
	}
}

// LearnReplicas updates the known replicas from a source other than the leader, if r is newer.
func (f *Finder) LearnReplicas(r Replicas) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.replicas.Addrs) == 0 || r.Index > f.replicas.Index {
		f.storeReplicas(r)
	}
}

// SetReplicas replaces the known replicas by those that the leader named, whatever their
// index. A list from another source may have a higher index and still be wrong: its
// log entry may have been truncated again, or may be from the log of an earlier
// cluster.
func (f *Finder) SetReplicas(r Replicas) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeReplicas(r)
}

// storeReplicas sets the known replicas. The caller holds mu.
func (f *Finder) storeReplicas(r Replicas) {
	if len(r.Addrs) == 0 || len(r.Addrs) > maxReplicas {
		return
	}
	if !slices.Equal(r.Addrs, f.replicas.Addrs) {
		f.log.Info("replicas known", zap.Strings("addrs", r.Addrs), zap.Uint64("index", r.Index), zap.Uint64("before", f.replicas.Index))
	}
	f.replicas = r
}

// Replicas returns the known replicas.
func (f *Finder) Replicas() Replicas {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas
}

// LeaderAddr returns the address of the present or last leader; empty if unknown.
func (f *Finder) LeaderAddr() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaderAddr
}

// recordFailure records that a candidate didn't answer within the timeout. If that was the short one
// of a suspect, which may be too short for a host that is far away or slow, it says nothing new: the
// suspicion must not begin again if it has ended during the try.
func (f *Finder) recordFailure(addr string, timeout time.Duration, err error) {
	f.log.Debug("control process not reached", zap.String("addr", addr), zap.Duration("timeout", timeout), zap.Error(err))
	if timeout > suspectTimeout {
		f.markSuspect(addr)
	}
}

// markSuspect makes an address be tried after all others for a while, even if an answer
// names it as the leader. A failure in that time doesn't prolong it, because
// suspectTimeout may be too short for a host that is far away or slow.
func (f *Finder) markSuspect(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); !now.Before(f.suspectUntil[addr]) {
		f.suspectUntil[addr] = now.Add(suspectDuration)
	}
	if f.leaderAddr == addr {
		f.leaderAddr = ""
	}
}

// recordReply updates replicas and leader from the answer of the process at addr.
func (f *Finder) recordReply(addr string, reply *wire.LeaderReply) {
	f.updateReplicas(reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case reply.Leading:
		f.leaderAddr = addr
	case reply.Leader != addr:
		f.leaderAddr = reply.Leader
	}
}

// useSession publishes a session to the leader and serves it until it ends.
func (f *Finder) useSession(ctx context.Context, addr string, s *wire.Session) {
	f.setSession(s)
	f.log.Info("leader found", zap.String("addr", addr))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	f.serveSession(ctx, addr, s)
	f.setSession(nil)
	f.markSuspect(addr)
	f.log.Warn("leader lost", zap.String("addr", addr))
}

// serveSession serves the session and regularly asks the leader for the list of replicas.
func (f *Finder) serveSession(ctx context.Context, addr string, s *wire.Session) {
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error {
		// Spreads the calls, because all agents find a new leader within a second.
		kern.Sleep(ctx, rand.N(f.refreshInterval))
		return kern.Every(ctx, f.refreshInterval, func() {
			if err := f.ExchangeReplicas(ctx, s); err != nil {
				f.log.Debug("replica list not refreshed", zap.String("addr", addr), zap.Error(err))
			}
		})
	})
	if f.onLeader != nil {
		f.onLeader(ctx, s)
	} else {
		_ = f.mux.Serve(ctx, s)
	}
	cancel()
	_ = g.Wait() // it never returns an error
}

// setSession replaces the session and wakes those that wait for one.
func (f *Finder) setSession(s *wire.Session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.session != nil && s == nil {
		f.lostAt = time.Now()
	}
	f.session = s
	f.everHadSession = f.everHadSession || s != nil
	close(f.sessionChanged)
	f.sessionChanged = make(chan struct{})
}

// HasSession reports whether there is a session to a leader.
func (f *Finder) HasSession() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.session != nil
}

// NoSessionSince returns since when there has been no session to a leader, and false if there is
// one.
func (f *Finder) NoSessionSince() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostAt, f.session == nil
}

// Session returns the session to the leader. If there is none, it waits for one, and
// returns ErrNoLeader when ctx is done.
func (f *Finder) Session(ctx context.Context) (*wire.Session, error) {
	for {
		f.mu.Lock()
		s, changed := f.session, f.sessionChanged
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

// CloseSession closes a session whose other end no longer leads.
func (f *Finder) CloseSession(s *wire.Session) { _ = s.Close() }

// KnownAddrs returns the addresses of all known control processes: the replicas and those
// from the settings.
func (f *Finder) KnownAddrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	addrs := slices.Clone(f.replicas.Addrs)
	for _, addr := range f.seeds {
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// EverHadSession reports whether there has ever been a session to a leader.
func (f *Finder) EverHadSession() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everHadSession
}
