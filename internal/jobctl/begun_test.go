package jobctl

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// commit applies a command to the state and returns its result.
func (l *leader) commit(t *testing.T, cmd jobs.Command) jobs.Result {
	t.Helper()
	cmd.Term = 1
	data, err := jobs.Encode(cmd)
	require.NoError(t, err)
	index := uint64(0)
	l.c.state.Read(func(v jobs.View) { index = v.Index() + 1 })
	res, ok := l.c.state.Apply(index, data).(jobs.Result)
	require.True(t, ok)
	require.NoError(t, res.Err)
	return res
}

// assign commits the start of the only task of job 0 on host h00 and returns the run number.
func (l *leader) assign(t *testing.T) int {
	t.Helper()
	in := l.planInput()
	starts := []jobs.Start{{Placements: []jobs.Placement{{Task: jobs.TaskID{Job: fmt.Sprintf("%016x", 0)}, Worker: l.hosts["h00"].worker, Host: "h00"}}}}
	res := l.commit(t, jobs.Command{Starts: starts})
	l.recordStarts(in, starts, res)
	require.NotZero(t, res.Runs[0])
	return res.Runs[0]
}

// refuse makes the worker of host h00 refuse a run.
func (l *leader) refuse(t *testing.T, run int) {
	t.Helper()
	h := l.hosts["h00"]
	l.storeReport(h, &wire.HostReport{
		Worker: h.name, Born: 1, Listed: true, Service: "s", Cpu: 32000, Memory: 131072, Accels: 8,
		Gone: []*wire.RunGone{{Task: fmt.Sprintf("%016x.0.0.0", 0), Run: uint32(run), Reason: "unwell"}},
	}, l.now())
	cmd, ok := l.collectUnrecorded()
	require.True(t, ok)
	l.commit(t, cmd)
	l.applyRecorded(cmd)
}

// list makes the worker of host h00 list a run.
func (l *leader) list(run int) {
	h := l.hosts["h00"]
	l.storeReport(h, &wire.HostReport{
		Worker: h.name, Born: 1, Listed: true, Service: "s", Cpu: 32000, Memory: 131072, Accels: 8,
		Runs: []*wire.RunState{{Task: fmt.Sprintf("%016x.0.0.0", 0), Run: uint32(run)}},
	}, l.now())
}

func (l *leader) setNow(at time.Time) {
	l.c.env.BootClock, l.c.env.Clock = fixedClock(at), fixedClock(at)
}

// Each refused start of a job counted as time at which the job was running, so that it never counted as idle for long
// enough to be given any worker with room.
func TestJobIsIdleWhileItsStartsAreRefused(t *testing.T) {
	for name, longRunning := range map[string]bool{"job that ends": false, "job that lasts": true} {
		t.Run(name, func(t *testing.T) {
			at := time.Unix(1_000_000, 0)
			spec := oneStepSpec(1, 8, false)
			spec.Steps[0].LongRunning = longRunning
			l := newTestLeader(t, at, spec)
			idleSince := func() time.Time {
				in := l.planInput()
				require.Len(t, in.Steps, 1)
				return in.Steps[0].IdleSince
			}
			require.Equal(t, at, idleSince())
			for range 3 {
				run := l.assign(t)
				require.Empty(t, l.planInput().Steps, "the task has a run")
				l.setNow(l.now().Add(time.Second))
				l.refuse(t, run)
				require.Equal(t, at, idleSince())
			}
			run := l.assign(t)
			l.list(run)
			require.Empty(t, l.planInput().Steps)
			l.setNow(l.now().Add(time.Second))
			l.commit(t, jobs.Command{Ends: []jobs.RunEnds{{Worker: l.hosts["h00"].worker, Host: "h00", Ends: []jobs.RunEnd{{Number: 1, Task: fmt.Sprintf("%016x.0.0.0", 0), Run: run, Outcome: jobs.RunFailed}}}}})
			require.Equal(t, l.now(), idleSince(), "it was running until now")
		})
	}
}

// A job is recorded as begun once, when a worker lists a run of it, also if an earlier leader started the run.
func TestListedRunMakesItsJobBegun(t *testing.T) {
	for name, adopted := range map[string]bool{"own run": false, "run of an earlier leader": true} {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader(t, time.Unix(1_000_000, 0), oneStepSpec(1, 8, false))
			run := l.assign(t)
			if adopted {
				l.runs = map[runKey]activeRun{}
			}
			_, ok := l.collectUnrecorded()
			require.False(t, ok, "a start that was only decided is nothing to record")
			l.list(run)
			cmd, ok := l.collectUnrecorded()
			require.True(t, ok)
			require.Equal(t, []string{fmt.Sprintf("%016x", 0)}, cmd.BegunJobs)
			l.commit(t, cmd)
			l.applyRecorded(cmd)
			l.list(run)
			_, ok = l.collectUnrecorded()
			require.False(t, ok)
		})
	}
}

// A run that no worker has begun has done no work that a stop would lose.
func TestRunThatHasNotBegunHasNothingToLose(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	l := newTestLeader(t, at, oneStepSpec(1, 8, false))
	run := l.assign(t)
	l.setNow(at.Add(time.Second))
	lost := func() time.Duration {
		for _, w := range l.planInput().Workers {
			for _, r := range w.Runs {
				return r.LostIfStopped
			}
		}
		return -1
	}
	require.Zero(t, lost())
	l.list(run)
	require.Equal(t, time.Second, lost())
}
