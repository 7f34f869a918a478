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

const testTask = "00000000000000aa.0.0.0"

var (
	testWorker  = jobs.Worker{Name: "w", StartedMs: 1}
	errNoAnswer = errors.New("no answer")
)

// fakeWorker is a worker that answers orders to start as configured and records
// the orders that it receives.
type fakeWorker struct {
	mu           sync.Mutex
	startAnswers []any // StartResult or error for each start; the last one is repeated
	stopErr      error
	received     []string
	lastStart    StartOrder
	lastHold     HoldOrder
	lastStop     runKey
}

func (w *fakeWorker) Hold(_ context.Context, _ jobs.Worker, h HoldOrder) (Listing, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastHold = h
	return Listing{}, errNoAnswer
}

func (w *fakeWorker) Start(_ context.Context, _ jobs.Worker, o StartOrder) (StartResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastStart = o
	w.received = append(w.received, "start")
	next := w.startAnswers[0]
	if len(w.startAnswers) > 1 {
		w.startAnswers = w.startAnswers[1:]
	}
	if err, ok := next.(error); ok {
		return "", err
	}
	return next.(StartResult), nil
}

func (w *fakeWorker) Stop(_ context.Context, _ jobs.Worker, _ uint64, task string, run int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastStop = runKey{task, run}
	w.received = append(w.received, "stop")
	return w.stopErr
}

func (w *fakeWorker) receivedOrders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.received...)
}

// A single unanswered hold changes nothing. After the second one in a row, the
// worker gets no new runs and its lease is not extended.
func TestUnansweredHoldsMakeWorkerUnusable(t *testing.T) {
	a, _ := newTestAgent(t, &fakeWorker{})
	miss := func() *wire.HostReport {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.holdFailed(testWorker, errNoAnswer)
		return a.buildReport()
	}
	require.True(t, miss().Listed)
	rep := miss()
	require.False(t, rep.Listed)
	require.Zero(t, rep.Clock)
	require.False(t, rep.Lost)
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 1500})
	require.True(t, a.buildReport().Listed)
}

// fakeClock is a clock that the test moves.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time { c.mu.Lock(); defer c.mu.Unlock(); return c.now }
func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// newTestAgent returns an agent whose worker has announced itself and has a
// lease.
func newTestAgent(t *testing.T, w *fakeWorker) (*Agent, *fakeClock) {
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	clk := &fakeClock{now: time.Unix(100, 0)}
	a := &Agent{
		env: &kern.Env{BootClock: clk}, cfg: &Settings{RenewalTimeoutMs: 5000, ExpiryDelayMs: 300}, startedAt: clk.now.Add(-time.Minute), worker: w, log: zap.NewNop(), group: g, ctx: ctx,
		reportDue: make(chan struct{}), holdDue: make(chan struct{}, 1),
	}
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 1})
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 1000})
	a.receiveOrders(&wire.HostOrders{Term: 2, Worker: "w", Born: 1, Lease: 9000})
	return a, clk
}

func (a *Agent) receiveListing(l Listing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holdAnswered(l.Worker.Name, l)
}

func (a *Agent) goneReasons() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []string
	for _, g := range a.state.goneRuns {
		list = append(list, g.Reason)
	}
	return list
}

func startOrder(fresh bool) *wire.HostOrders {
	return &wire.HostOrders{Term: 2, Worker: "w", Born: 1, Starts: []*wire.RunStart{{Task: testTask, Run: 1, Fresh: fresh}}}
}

const testTimeout = 10 * time.Second

func TestRefusedStartIsReportedGone(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{ResultFull}}
	a, _ := newTestAgent(t, w)
	a.receiveOrders(startOrder(true))
	require.Eventually(t, func() bool { return len(a.goneReasons()) == 1 }, testTimeout, time.Millisecond)
	require.Equal(t, []string{"full"}, a.goneReasons())
	require.Equal(t, []string{"start"}, w.receivedOrders())
}

// A worker may execute an unanswered order to start seconds later. Only a stop
// prevents that, and only a listing made after the stop shows that the run has
// not started.
func TestUnansweredStartIsStoppedFirst(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{errNoAnswer, ResultFull}}
	a, _ := newTestAgent(t, w)
	a.receiveOrders(startOrder(true))
	require.Eventually(t, func() bool { c := w.receivedOrders(); return len(c) > 0 && c[len(c)-1] == "stop" }, testTimeout, time.Millisecond)
	require.Empty(t, a.goneReasons())
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 1100})
	require.Empty(t, a.goneReasons(), "the worker may have made this listing before the stop")
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 1200})
	require.Equal(t, []string{"full"}, a.goneReasons())
}

func TestRunWithListedEndIsNotGone(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{errNoAnswer, ResultFull}}
	a, _ := newTestAgent(t, w)
	a.receiveOrders(startOrder(true))
	require.Eventually(t, func() bool { c := w.receivedOrders(); return len(c) > 0 && c[len(c)-1] == "stop" }, testTimeout, time.Millisecond)
	ended := Listing{Worker: testWorker, Ends: []jobs.RunEnd{{Number: 1, Task: testTask, Run: 1, Outcome: jobs.RunStopped}}}
	for range 4 {
		a.receiveListing(ended)
	}
	require.Empty(t, a.goneReasons(), "a run whose end is listed must not be reported as gone")
}

// A restarted agent doesn't know whether its predecessor sent the same order.
func TestRepeatedOrderIsStoppedFirst(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{ResultFull}}
	a, _ := newTestAgent(t, w)
	a.receiveOrders(startOrder(false))
	require.Eventually(t, func() bool { c := w.receivedOrders(); return len(c) > 0 && c[len(c)-1] == "stop" }, testTimeout, time.Millisecond)
	require.Empty(t, a.goneReasons())
}

func TestDrainingWorkerStartsNothing(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{ResultStarted}}
	a, _ := newTestAgent(t, w)
	a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 2, Draining: true})
	a.receiveOrders(startOrder(true))
	require.Eventually(t, func() bool { return len(a.goneReasons()) == 1 }, testTimeout, time.Millisecond)
	require.Empty(t, w.receivedOrders())
}

func TestOrdersOfOldTermOrWorkerAreIgnored(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{ResultStarted}}
	a, _ := newTestAgent(t, w)
	o := startOrder(true)
	o.Term = 1
	a.receiveOrders(o)
	o = startOrder(true)
	o.Born = 0
	a.receiveOrders(o)
	require.Empty(t, a.state.runs)
	require.EqualValues(t, 2, a.term)
}

func TestWorkerRestartResetsState(t *testing.T) {
	w := &fakeWorker{startAnswers: []any{ResultStarted}}
	a, _ := newTestAgent(t, w)
	restarted := jobs.Worker{Name: "w", StartedMs: 5}
	a.receiveListing(Listing{Worker: restarted, ClockMs: 3})
	require.Equal(t, restarted, a.state.worker)
	require.Zero(t, a.state.grantEnd)
	require.Zero(t, a.state.leaseEnd)
	require.False(t, a.buildReport().Listed, "the restarted worker has not announced itself")
	a.Announce(Announcement{Worker: restarted, Service: "s", Seq: 1})
	require.True(t, a.buildReport().Listed)
	a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 9})
	require.Equal(t, restarted, a.announced.Worker, "a late announcement of the previous incarnation must be ignored")
}

func TestOldAnnouncementIsIgnored(t *testing.T) {
	a, _ := newTestAgent(t, &fakeWorker{})
	a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 3, Draining: true})
	a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 2})
	require.True(t, a.announced.Draining)
}

func TestOnlyWorkerThatReportedExitIsLost(t *testing.T) {
	a, clk := newTestAgent(t, &fakeWorker{})
	a.renew()
	miss := func(err error) bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.holdFailed(testWorker, err)
		return a.state.lost
	}
	for range 5 {
		require.False(t, miss(ErrNoListener), "the worker may be unreachable only; its lease has to end first")
		clk.advance(500 * time.Millisecond)
	}
	require.Zero(t, a.buildReport().Clock, "the lease of a worker that doesn't answer must not be extended")
	require.False(t, a.buildReport().Listed, "the worker must get no new runs")
	a.Leave("other")
	require.False(t, miss(ErrNoListener))
	a.Leave("w")
	require.False(t, miss(errNoAnswer))
	require.False(t, miss(ErrNoListener), "exitConfirmTime has not passed")
	clk.advance(time.Second)
	require.True(t, miss(ErrNoListener))
}

// A leader whose process hangs keeps its connections open. An agent must leave
// the session when its reports are not answered, long before the connection is
// found dead.
func TestAgentLeavesUnresponsiveLeader(t *testing.T) {
	a, _ := newTestAgent(t, &fakeWorker{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := wire.NewMux(zap.NewNop())
	received := make(chan struct{}, 100)
	mux.Handle(wire.MethodAttend, func(_ context.Context, _ *wire.Call, st *wire.Stream) error {
		for {
			if err := st.Recv(&wire.HostReport{}); err != nil {
				return err
			}
			received <- struct{}{}
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
	returned := make(chan struct{})
	g.Go(func() error {
		defer close(returned)
		a.serveLeader(ctx, sess)
		return nil
	})
	<-received
	began := time.Now()
	select {
	case <-returned:
		require.Less(t, time.Since(began), 3*time.Second)
	case <-time.After(testTimeout):
		require.Fail(t, "the agent stays with a leader that doesn't answer")
	}
}

// An announcement by somebody else that names a later start made the agent ignore its worker for good.
func TestAnnouncementOfWorkerThatIsNotThereIsWithdrawn(t *testing.T) {
	a, _ := newTestAgent(t, &fakeWorker{})
	stranger := jobs.Worker{Name: "x", StartedMs: 1 << 60}
	a.Announce(Announcement{Worker: stranger, Service: "s", Seq: 1})
	require.True(t, a.buildReport().Listed, "the worker in use stays until another one answers")
	require.Equal(t, stranger, a.nextHold())
	a.mu.Lock()
	a.holdFailed(stranger, ErrOtherWorker)
	a.mu.Unlock()
	require.Empty(t, a.candidates)
	require.Equal(t, testWorker, a.announced.Worker)
	require.True(t, a.buildReport().Listed)

	// The same before any worker has answered.
	a.state, a.announced = workerState{}, Announcement{}
	a.Announce(Announcement{Worker: stranger, Service: "s", Seq: 1})
	a.mu.Lock()
	a.holdFailed(stranger, ErrOtherWorker)
	a.mu.Unlock()
	a.Announce(Announcement{Worker: testWorker, Service: "s", Seq: 2})
	require.Equal(t, testWorker, a.nextHold())
	a.receiveListing(Listing{Worker: testWorker, ClockMs: 1000})
	require.Equal(t, testWorker, a.announced.Worker)
}
