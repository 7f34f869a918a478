package allot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// newBatch returns a step of independent tasks that isn't urgent.
func newBatch(tasks int, accels int64) allot.PendingStep {
	step := newGang("batch", tasks, accels)
	step.Gang, step.Compact, step.Priority = false, false, 2
	step.Deadline, step.HardDeadline = baseTime.Add(time.Minute), baseTime.Add(time.Hour)
	return step
}

func countStarts(p allot.Plan) int {
	n := 0
	for _, s := range p.Starts {
		n += len(s.Placements)
	}
	return n
}

// On a quiet day at 240 workers every late urgent job had waited for runs to be stopped, 0.7 to 1.4 s.
func TestEmptyWorkersAreLeftForUrgentWork(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(step *allot.PendingStep)
		starts int
	}{
		{"batch work leaves two of forty", func(*allot.PendingStep) {}, 38},
		{"urgent work takes all", func(s *allot.PendingStep) { s.Priority = 0 }, 40},
		{"guaranteed work takes all", func(s *allot.PendingStep) { s.Guaranteed = true }, 40},
	} {
		t.Run(tt.name, func(t *testing.T) {
			step := newBatch(45, 8)
			tt.change(&step)
			p := allot.MakePlan(allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(40), Steps: []allot.PendingStep{step}})
			require.Equal(t, tt.starts, countStarts(p))
		})
	}
	t.Run("a job that was idle for too long takes them while the fleet isn't busy", func(t *testing.T) {
		in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(40), Steps: []allot.PendingStep{newBatch(1, 8)}}
		for i := range 38 {
			addRun(&in.Workers[i], "other", 1, 2, time.Minute)
		}
		require.Zero(t, countStarts(allot.MakePlan(in)))
		in.Steps[0].IdleSince = baseTime.Add(-2 * time.Second)
		require.Equal(t, 1, countStarts(allot.MakePlan(in)))
	})
	t.Run("a gang leaves two of forty", func(t *testing.T) {
		in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(40)}
		for tasks, starts := range map[int]int{38: 38, 39: 0} {
			gang := newGang("g", tasks, 8)
			gang.Compact = false
			in.Steps = []allot.PendingStep{gang}
			require.Equal(t, starts, countStarts(allot.MakePlan(in)), tasks)
		}
	})
	t.Run("workers in use are taken up to the last", func(t *testing.T) {
		in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(40), Steps: []allot.PendingStep{newBatch(45, 4)}}
		for i := range in.Workers {
			addRun(&in.Workers[i], "other", 4, 2, time.Minute)
		}
		require.Equal(t, 40, countStarts(allot.MakePlan(in)))
	})
	t.Run("small fleets leave none", func(t *testing.T) {
		p := allot.MakePlan(allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(11), Steps: []allot.PendingStep{newBatch(45, 8)}})
		require.Equal(t, 11, countStarts(p))
	})
}

// Tasks were packed on few workers, and the speeds of the others were unknown when urgent work came.
func TestWorkersOfUnknownSpeedAreMeasuredFirst(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(6), Steps: []allot.PendingStep{newBatch(4, 1)}}
	for i := range in.Workers {
		in.Workers[i].SpeedStdDev = 0.42
	}
	in.Workers[0].SpeedStdDev = 0.06 // known
	addRun(&in.Workers[1], "other", 1, 2, time.Minute)
	used := map[jobs.Worker]int{}
	for _, s := range allot.MakePlan(in).Starts {
		used[s.Placements[0].Worker]++
	}
	require.Equal(t, map[jobs.Worker]int{in.Workers[2].ID: 1, in.Workers[3].ID: 1, in.Workers[4].ID: 1, in.Workers[5].ID: 1}, used)
}

// A gang that found something better to wait for lost its claim, and the next plan stopped other runs for it.
func TestClaimIsKeptWhileGangWaitsForBetter(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(2)}
	in.Workers[0].Speed = 0.2
	addRun(&in.Workers[0], "batch", 8, 2, time.Minute)
	in.Workers[0].Runs[0].Stopping = true
	addRun(&in.Workers[1], "other", 8, 0, 100*time.Millisecond)
	step := newUrgentGang("g", 1, 8)
	in.Steps = []allot.PendingStep{step}
	in.Claims = []allot.Claim{{Job: "g", Assignments: []allot.Assignment{{Worker: in.Workers[0].ID, Tasks: 1}}}}
	p := allot.MakePlan(in)
	require.Equal(t, allot.Waits, p.Decisions[0].Verdict)
	require.Empty(t, p.Stops)
	require.Equal(t, in.Claims, p.Claims)
}
