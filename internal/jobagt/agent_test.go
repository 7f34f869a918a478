package jobagt

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

const task = "00000000000000aa.0.0.0"

var (
	one     = jobs.Worker{Name: "w", StartedMs: 1}
	errMute = errors.New("no answer")
)

// scripted is a worker that answers starts as told, and remembers what it got.
type scripted struct {
	mu      sync.Mutex
	starts  []any // Verdict or error, one a start; the last one stays
	stopErr error
	got     []string
}

func (s *scripted) Hold(context.Context, jobs.Worker, HoldOrder) (Listing, error) {
	return Listing{}, errMute
}

func (s *scripted) Start(_ context.Context, _ jobs.Worker, _ StartOrder) (StartResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, "start")
	next := s.starts[0]
	if len(s.starts) > 1 {
		s.starts = s.starts[1:]
	}
	if err, ok := next.(error); ok {
		return "", err
	}
	return next.(StartResult), nil
}

func (s *scripted) Stop(context.Context, jobs.Worker, uint64, string, int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, "stop")
	return s.stopErr
}

func (s *scripted) calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.got...)
}

// One answer that comes late says little, two say that the worker is in trouble.
func TestUnansweredHoldsMakeWorkerUnusable(t *testing.T) {
	a, _ := newAgent(t, &scripted{})
	miss := func() *wire.HostReport {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.missed(one, errMute)
		return a.report()
	}
	require.True(t, miss().Listed)
	rep := miss()
	require.False(t, rep.Listed)
	require.Zero(t, rep.Clock)
	require.False(t, rep.Lost)
	a.list(Listing{Worker: one, ClockMs: 1500})
	require.True(t, a.report().Listed)
}

// clock is set by hand.
type clock struct {
	mu sync.Mutex
	at time.Time
}

func (c *clock) Now() time.Time { c.mu.Lock(); defer c.mu.Unlock(); return c.at }
func (c *clock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.at.Add(d)
}

// newAgent returns an agent whose worker has shown itself and has a lease.
func newAgent(t *testing.T, w *scripted) (*Agent, *clock) {
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	clk := &clock{at: time.Unix(100, 0)}
	a := &Agent{
		env: &kern.Env{BootClock: clk}, worker: w, log: zap.NewNop(), group: g, ctx: ctx,
		changed: make(chan struct{}), poke: make(chan struct{}, 1),
	}
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	a.Announce(Announcement{Worker: one, Service: "s", Seq: 1})
	a.list(Listing{Worker: one, ClockMs: 1000})
	a.give(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Lease: 9000})
	return a, clk
}

func (a *Agent) list(l Listing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listed(l)
}

func (a *Agent) give(o *wire.HostOrders) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.order(a.ctx, o)
}

func (a *Agent) gone() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []string
	for _, g := range a.life.gone {
		list = append(list, g.Reason)
	}
	return list
}

func startOrder(fresh bool) *wire.HostOrders {
	return &wire.HostOrders{Term: 2, Worker: "w", Born: 1, Starts: []*wire.RunStart{{Task: task, Run: 1, Fresh: fresh}}}
}

const patience = 10 * time.Second

func TestRefusedStartIsReportedGone(t *testing.T) {
	w := &scripted{starts: []any{ResultFull}}
	a, _ := newAgent(t, w)
	a.give(startOrder(true))
	require.Eventually(t, func() bool { return len(a.gone()) == 1 }, patience, time.Millisecond)
	require.Equal(t, []string{"full"}, a.gone())
	require.Equal(t, []string{"start"}, w.calls())
}

// A start without an answer may be carried out seconds later. Only a stop makes
// that impossible, and only a list made after it shows that it didn't happen.
func TestUnansweredStartIsStoppedFirst(t *testing.T) {
	w := &scripted{starts: []any{errMute, ResultFull}}
	a, _ := newAgent(t, w)
	a.give(startOrder(true))
	require.Eventually(t, func() bool { c := w.calls(); return len(c) > 0 && c[len(c)-1] == "stop" }, patience, time.Millisecond)
	require.Empty(t, a.gone())
	a.list(Listing{Worker: one, ClockMs: 1100})
	require.Empty(t, a.gone(), "that list may have been on its way before the stop")
	a.list(Listing{Worker: one, ClockMs: 1200})
	require.Equal(t, []string{"full"}, a.gone())
}

func TestRunWithListedEndIsNotGone(t *testing.T) {
	w := &scripted{starts: []any{errMute, ResultFull}}
	a, _ := newAgent(t, w)
	a.give(startOrder(true))
	require.Eventually(t, func() bool { c := w.calls(); return len(c) > 0 && c[len(c)-1] == "stop" }, patience, time.Millisecond)
	ended := Listing{Worker: one, Ends: []jobs.RunEnd{{Number: 1, Task: task, Run: 1, Outcome: jobs.RunStopped}}}
	for range 4 {
		a.list(ended)
	}
	require.Empty(t, a.gone(), "its end is listed and goes the usual way")
}

// A process that has just started doesn't know what its predecessor sent.
func TestRepeatedOrderIsStoppedFirst(t *testing.T) {
	w := &scripted{starts: []any{ResultFull}}
	a, _ := newAgent(t, w)
	a.give(startOrder(false))
	require.Eventually(t, func() bool { c := w.calls(); return len(c) > 0 && c[len(c)-1] == "stop" }, patience, time.Millisecond)
	require.Empty(t, a.gone())
}

func TestDrainingWorkerStartsNothing(t *testing.T) {
	w := &scripted{starts: []any{ResultStarted}}
	a, _ := newAgent(t, w)
	a.Announce(Announcement{Worker: one, Seq: 2, Draining: true})
	a.give(startOrder(true))
	require.Eventually(t, func() bool { return len(a.gone()) == 1 }, patience, time.Millisecond)
	require.Empty(t, w.calls())
}

func TestOrdersOfOldTermOrWorkerAreIgnored(t *testing.T) {
	w := &scripted{starts: []any{ResultStarted}}
	a, _ := newAgent(t, w)
	o := startOrder(true)
	o.Term = 1
	a.give(o)
	o = startOrder(true)
	o.Born = 0
	a.give(o)
	require.Empty(t, a.life.runs)
	require.EqualValues(t, 2, a.term)
}

func TestWorkerRestartResetsState(t *testing.T) {
	w := &scripted{starts: []any{ResultStarted}}
	a, _ := newAgent(t, w)
	again := jobs.Worker{Name: "w", StartedMs: 5}
	a.list(Listing{Worker: again, ClockMs: 3})
	require.Equal(t, again, a.life.worker)
	require.Zero(t, a.life.lease)
	require.False(t, a.report().Listed, "its announcement is still to come")
	a.Announce(Announcement{Worker: again, Seq: 1})
	require.True(t, a.report().Listed)
	a.Announce(Announcement{Worker: one, Seq: 9})
	require.Equal(t, again, a.told.Worker, "an announcement of an earlier life came late")
}

func TestOldAnnouncementIsIgnored(t *testing.T) {
	a, _ := newAgent(t, &scripted{})
	a.Announce(Announcement{Worker: one, Seq: 3, Draining: true})
	a.Announce(Announcement{Worker: one, Seq: 2})
	require.True(t, a.told.Draining)
}

func TestOnlyWorkerThatReportedExitIsLost(t *testing.T) {
	a, clk := newAgent(t, &scripted{})
	miss := func(err error) bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.missed(one, err)
		return a.life.lost
	}
	for range 5 {
		require.False(t, miss(ErrNoListener), "it may have been cut off; its lease has to end")
		clk.pass(time.Second)
	}
	require.Zero(t, a.report().Clock, "nothing extends the lease of a worker that doesn't answer")
	require.False(t, a.report().Listed, "it is given nothing new")
	a.Leave("other")
	require.False(t, miss(ErrNoListener))
	a.Leave("w")
	require.False(t, miss(errMute))
	require.False(t, miss(ErrNoListener), "not at once")
	clk.pass(time.Second)
	require.True(t, miss(ErrNoListener))
}

// A leader that is frozen keeps its connections. An agent whose reports it doesn't
// answer looks for another one, long before the connection is found dead.
func TestAgentLeavesUnresponsiveLeader(t *testing.T) {
	a, _ := newAgent(t, &scripted{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := wire.NewMux(zap.NewNop())
	heard := make(chan struct{}, 100)
	mux.Handle(wire.MethodAttend, func(_ context.Context, _ *wire.Call, st *wire.Stream) error {
		for {
			if err := st.Recv(&wire.HostReport{}); err != nil {
				return err
			}
			heard <- struct{}{}
		}
	})
	id := func(role, name string) wire.Identity {
		return wire.NewIdentity(kern.Node{Cluster: "c", Name: name}, role, kern.Keys{
			Self: kern.DeriveKey(nil, name), Role: map[string][]byte{"jobctl": nil, "jobagent": nil},
		}, name+"-1")
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return wire.NewServer(id("jobctl", "c"), mux, zap.NewNop(), nil).Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	sess, err := wire.Connect(c, id("jobagent", "h"))
	require.NoError(t, err)
	defer func() { _ = sess.Close() }()
	left := make(chan struct{})
	g.Go(func() error {
		defer close(left)
		a.attend(ctx, sess)
		return nil
	})
	<-heard
	began := time.Now()
	select {
	case <-left:
		require.Less(t, time.Since(began), 3*time.Second)
	case <-time.After(patience):
		require.Fail(t, "the agent stays with a leader that says nothing")
	}
}
