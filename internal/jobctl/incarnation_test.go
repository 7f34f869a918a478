package jobctl_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/kern"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// reportIncarnation sends a report of an incarnation of worker w.
func (a *testAgent) reportIncarnation(born int64, change func(r *wire.HostReport)) {
	a.t.Helper()
	r := &wire.HostReport{
		Worker: "w", Born: born, Service: "s", Cpu: 4000, Memory: 1000, Accels: 8, Labels: []string{"a", "r1"}, Rack: "r1",
		Clock: 1000, Listed: true,
	}
	if change != nil {
		change(r)
	}
	require.NoError(a.t, a.st.Send(r))
}

// nextStart reports an incarnation of worker w again and again until a start is ordered, and returns it.
func (a *testAgent) nextStart(born int64, change func(r *wire.HostReport)) *wire.RunStart {
	a.t.Helper()
	ctx, cancel := context.WithCancel(a.t.Context())
	var g errgroup.Group
	defer func() {
		cancel()
		_ = g.Wait()
	}()
	g.Go(func() error {
		return kern.Every(ctx, 50*time.Millisecond, func() { a.reportIncarnation(born, change) })
	})
	for {
		if o := a.orders(); len(o.Starts) > 0 {
			return o.Starts[0]
		}
	}
}

// startOnIncarnation submits a job of one task and waits until its run is ordered to incarnation 7 of worker w.
func startOnIncarnation(t *testing.T) (*testCluster, *testAgent, *wire.Session) {
	s := startCluster(t)
	caller := s.dial("jobentry", "e1")
	require.Equal(t, string(jobs.Accepted), s.call(caller, jobs.CallSubmit, "/q/"+idA, oneTask()).Outcome)
	a := s.openAgentStream("h1")
	a.reportIncarnation(7, nil)
	require.Len(t, a.orders().Starts, 1)
	return s, a, caller
}

// A run was given up when the next incarnation of its worker answered, though that one had taken the order to start
// it: the task ran twice at once.
func TestRunIsStoppedOnTheNextIncarnationBeforeItStartsAgain(t *testing.T) {
	_, a, _ := startOnIncarnation(t)
	a.reportIncarnation(8, nil)
	o := a.orders()
	require.Empty(t, o.Starts)
	require.Len(t, o.Stops, 1)
	require.Equal(t, idA+".0.0.0", o.Stops[0].Task)
	require.EqualValues(t, 1, o.Stops[0].Run)
	require.EqualValues(t, 8, o.Born)
	require.Nil(t, a.startWithin(8, time.Second), "nothing says yet that the run can't start any more")
	a.reportIncarnation(8, func(r *wire.HostReport) {
		r.Gone = []*wire.RunGone{{Task: idA + ".0.0.0", Run: 1, Reason: "stopped"}}
	})
	require.EqualValues(t, 2, a.nextStart(8, nil).Run)
}

// startWithin reports an incarnation for a while and returns the first start that is ordered meanwhile.
func (a *testAgent) startWithin(born int64, d time.Duration) *wire.RunStart {
	a.t.Helper()
	for until := time.Now().Add(d); time.Now().Before(until); {
		a.reportIncarnation(born, nil)
		_ = a.st.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		o := &wire.HostOrders{}
		for a.st.Recv(o) == nil {
			if len(o.Starts) > 0 {
				return o.Starts[0]
			}
			o = &wire.HostOrders{}
		}
	}
	_ = a.st.SetReadDeadline(time.Now().Add(testTimeout))
	return nil
}

// The end of a run that the next incarnation took is the end of that run: a task done must not run again.
func TestEndOnTheNextIncarnationCounts(t *testing.T) {
	s, a, caller := startOnIncarnation(t)
	a.reportIncarnation(8, func(r *wire.HostReport) {
		r.Ends = []*wire.RunEnd{{Number: 1, Task: idA + ".0.0.0", Run: 1, How: "done"}}
	})
	require.Eventually(t, func() bool {
		return s.call(caller, jobs.CallState, "/q/"+idA, nil).Detail == string(jobs.Complete)
	}, testTimeout, 10*time.Millisecond)
}

// The stop is ordered anew by each leader and to each agent process: the stored state still has the run for the
// earlier incarnation.
func TestRunOfAnEarlierIncarnationIsStoppedAfterTheAgentRestarts(t *testing.T) {
	s, _, _ := startOnIncarnation(t)
	second := s.openAgentStream("h1")
	second.reportIncarnation(8, nil)
	require.Len(t, second.orders().Stops, 1)
	third := s.openAgentStream("h1")
	third.reportIncarnation(9, nil)
	o := third.orders()
	require.Len(t, o.Stops, 1)
	require.EqualValues(t, 9, o.Born)
	require.Nil(t, third.startWithin(9, 300*time.Millisecond))
}

// Orders to each incarnation carry a higher fencing token than those to the one before.
func TestOrdersToTheNextIncarnationHaveAHigherFence(t *testing.T) {
	_, a, _ := startOnIncarnation(t)
	a.reportIncarnation(7, func(r *wire.HostReport) {
		r.Ends = []*wire.RunEnd{{Number: 1, Task: idA + ".0.0.0", Run: 1, How: "failed"}}
	})
	before := a.orders()
	a.reportIncarnation(3, nil)
	after := a.orders()
	for after.Born != 3 {
		after = a.orders()
	}
	require.NotZero(t, before.Fence)
	require.Greater(t, after.Fence, before.Fence)
}

// A worker that comes under another name rejects orders for the earlier one, so nothing needs to be stopped.
func TestRunStartsAgainAtOnceIfAnotherWorkerIsInItsPlace(t *testing.T) {
	_, a, _ := startOnIncarnation(t)
	a.reportIncarnation(8, func(r *wire.HostReport) { r.Worker = "x" })
	o := a.orders()
	require.Empty(t, o.Stops)
	require.Len(t, o.Starts, 1)
}

// A run that a worker listed without a record was left alone, and went on beside the run that replaced it.
func TestListedRunWithoutRecordIsStopped(t *testing.T) {
	_, a, _ := startOnIncarnation(t)
	a.reportIncarnation(7, func(r *wire.HostReport) {
		r.Runs = []*wire.RunState{{Task: idA + ".0.0.0", Run: 1, Percent: 1}, {Task: idB + ".0.0.0", Run: 3, Percent: 1}, {Task: "unreadable", Run: 1}}
	})
	o := a.orders()
	require.Len(t, o.Stops, 2)
	require.Equal(t, idB+".0.0.0", o.Stops[0].Task)
	require.EqualValues(t, 3, o.Stops[0].Run)
}
