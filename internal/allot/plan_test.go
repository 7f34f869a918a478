package allot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

var baseTime = time.Unix(1_000_000, 0)

// idleWorkers returns idle workers with eight accelerators, three per rack.
func idleWorkers(n int) []allot.Worker {
	var list []allot.Worker
	for i := range n {
		list = append(list, allot.Worker{
			ID: jobs.Worker{Name: string(rune('a' + i)), StartedMs: 1}, Host: string(rune('a' + i)), Service: "s",
			Rack: string(rune('0' + i/3)), Labels: []string{"x"}, Capacity: allot.Resources{CPU: 32000, Memory: 128000, Accels: 8}, Speed: 1,
		})
	}
	return list
}

// addRun adds a run with that many accelerators to a worker.
func addRun(w *allot.Worker, job string, accels int64, priority int, remaining time.Duration) {
	w.Runs = append(w.Runs, allot.Run{
		Task: jobs.TaskID{Job: job, Index: len(w.Runs)}, Run: 1, Resources: allot.Resources{CPU: 1000, Accels: accels},
		Priority: priority, Remaining: remaining, LostIfStopped: time.Second,
	})
}

// newGang returns a gang that isn't urgent and whose tasks take four seconds.
func newGang(job string, tasks int, accels int64) allot.PendingStep {
	step := allot.PendingStep{
		Job: job, Service: "s", Gang: true, Compact: true, Priority: 1, Resources: allot.Resources{CPU: 1000, Accels: accels},
		TaskDuration: 4 * time.Second, ReadyAt: baseTime, Deadline: baseTime.Add(20 * time.Second), HardDeadline: baseTime.Add(time.Minute),
	}
	for i := range tasks {
		step.Indexes = append(step.Indexes, i)
	}
	return step
}

// tasksByRack returns how many tasks of a job the plan starts in each rack.
func tasksByRack(in allot.Input, p allot.Plan, job string) map[string]int {
	racks := map[string]int{}
	for _, st := range p.Starts {
		for _, pl := range st.Placements {
			for i := range in.Workers {
				if pl.Task.Job == job && in.Workers[i].ID == pl.Worker {
					racks[in.Workers[i].Rack]++
				}
			}
		}
	}
	return racks
}

// A compact gang waits for a rack in which a run is about to end, unless that run is long overdue.
func TestCompactGangWaitsForRackUntilOverdue(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(6)}
	for _, i := range []int{0, 3} {
		// In each rack one worker is busy with a run that has been about to end for a while.
		addRun(&in.Workers[i], "long", 8, 1, time.Second)
	}
	in.Steps = []allot.PendingStep{newGang("g", 3, 8)}
	p := allot.MakePlan(in)
	require.Empty(t, p.Starts, "started across racks although a rack is free in a second")
	require.Equal(t, allot.WaitsForBetter, p.Decisions[0].Verdict)
	in.Now = baseTime.Add(15 * time.Second)
	p = allot.MakePlan(in)
	require.Len(t, tasksByRack(in, p, "g"), 2, "not started across racks although the runs are long overdue")
}

// A compact gang starts in the rack that has room for all of it.
func TestGangStaysInOneRack(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(6), Steps: []allot.PendingStep{newGang("g", 3, 8)}}
	addRun(&in.Workers[0], "other", 1, 1, time.Second)
	require.Equal(t, map[string]int{"1": 3}, tasksByRack(in, allot.MakePlan(in), "g"))
}

// A gang that fits into a partly used rack doesn't use one that is free.
func TestSmallGangLeavesFreeRackFree(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(6)}
	addRun(&in.Workers[4], "other", 3, 1, time.Second)
	in.Steps = []allot.PendingStep{newGang("g", 2, 2)}
	require.Equal(t, map[string]int{"1": 2}, tasksByRack(in, allot.MakePlan(in), "g"))
}

// Guaranteed work stops the run with the least loss, and the resources that this frees are kept for it.
func TestGuaranteeStopsRunWithLeastLoss(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(2)}
	for i := range in.Workers {
		addRun(&in.Workers[i], "batch", 8, 2, time.Minute)
	}
	in.Workers[1].Runs[0].LostIfStopped = 100 * time.Millisecond
	step := newGang("g", 1, 4)
	step.Priority, step.Guaranteed = 0, true
	in.Steps = []allot.PendingStep{step, newGang("small", 1, 1)}
	p := allot.MakePlan(in)
	require.Len(t, p.Stops, 1)
	require.Equal(t, in.Workers[1].ID, p.Stops[0].Worker)
	require.Len(t, p.Claims, 1)

	// The free resources belong to the guaranteed step.
	in.Workers[1].Runs = nil
	in.Claims = p.Claims
	in.Steps[0].Indexes = []int{0}
	p = allot.MakePlan(in)
	require.Equal(t, "g", p.Starts[0].Placements[0].Task.Job)
	require.Empty(t, p.Stops)
}

// Of two runs that were stopped for a gang one has ended. Its resources are kept from other work until the
// other run has ended as well, and nothing more is stopped.
func TestClaimIsKeptUntilRunsEnd(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(2)}
	for i := range in.Workers {
		addRun(&in.Workers[i], "batch", 4, 2, time.Minute)
		addRun(&in.Workers[i], "batch", 4, 2, time.Minute)
	}
	step := newGang("g", 1, 8)
	step.Priority, step.Guaranteed = 0, true
	in.Steps = []allot.PendingStep{step}
	p := allot.MakePlan(in)
	require.Len(t, p.Stops, 2)
	// One of the two runs has ended, the other is still stopping.
	for i := range in.Workers {
		if in.Workers[i].ID == p.Stops[0].Worker {
			in.Workers[i].Runs = in.Workers[i].Runs[:1]
			in.Workers[i].Runs[0].Stopping = true
		}
	}
	in.Claims = p.Claims
	in.Steps = append(in.Steps, newGang("small", 1, 1))
	p = allot.MakePlan(in)
	require.Empty(t, p.Starts)
	require.Empty(t, p.Stops)
	require.Equal(t, allot.WaitsForClaim, p.Decisions[0].Verdict)
}

// A step doesn't start on a worker on which it has failed, unless no other worker could hold it.
func TestAvoidsWorkerOfEarlierFailure(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(2)}
	step := newGang("g", 1, 8)
	step.Avoid = map[jobs.Worker]bool{in.Workers[0].ID: true}
	addRun(&in.Workers[1], "other", 8, 1, time.Second)
	in.Steps = []allot.PendingStep{step}
	require.Empty(t, allot.MakePlan(in).Starts, "started on the worker on which it failed although the other one is free soon")
	in.Workers = in.Workers[:1]
	require.Len(t, allot.MakePlan(in).Starts, 1, "not started although there is no other worker")
}

// newUrgentGang returns a compact gang that has to be complete in six seconds.
func newUrgentGang(job string, tasks int, accels int64) allot.PendingStep {
	step := newGang(job, tasks, accels)
	step.Priority, step.Deadline, step.HardDeadline = 0, baseTime.Add(6*time.Second), baseTime.Add(18*time.Second)
	return step
}

// An urgent gang that spans racks would be late. Work that can wait is stopped in one rack instead.
func TestUrgentGangStopsRunsRatherThanSpanRacks(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(6), Steps: []allot.PendingStep{newUrgentGang("g", 3, 8)}}
	for _, i := range []int{0, 3} {
		addRun(&in.Workers[i], "batch", 1, 2, 10*time.Second)
		in.Workers[i].Runs[0].Deadline, in.Workers[i].Runs[0].HardDeadline = baseTime.Add(time.Minute), baseTime.Add(3*time.Minute)
	}
	p := allot.MakePlan(in)
	require.Empty(t, p.Starts)
	require.Len(t, p.Stops, 1)
	require.Len(t, p.Claims[0].Assignments, 3)
}

// Guaranteed work waits a moment for runs that are about to end before other urgent work is stopped
// for it.
func TestGuaranteeWaitsForRunsAboutToEnd(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, MaxGuaranteeWait: 1500 * time.Millisecond, Workers: idleWorkers(1)}
	addRun(&in.Workers[0], "other", 8, 0, 400*time.Millisecond)
	in.Workers[0].Runs[0].LostIfStopped = 3 * time.Second
	in.Workers[0].Runs[0].Deadline, in.Workers[0].Runs[0].HardDeadline = baseTime.Add(2*time.Second), baseTime.Add(10*time.Second)
	step := newUrgentGang("g", 1, 8)
	step.Guaranteed = true
	in.Steps = []allot.PendingStep{step}
	p := allot.MakePlan(in)
	require.Empty(t, p.Stops)
	require.Equal(t, allot.Waits, p.Decisions[0].Verdict)
	in.Now = baseTime.Add(1400 * time.Millisecond)
	p = allot.MakePlan(in)
	require.Len(t, p.Stops, 1, "no run stopped although the guaranteed job has to start in time")
}

// Stopping one member of a gang loses the work of all members.
func TestStopCostCountsWholeGang(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(3), Steps: []allot.PendingStep{newUrgentGang("g", 1, 8)}}
	setDeadlines := func(w *allot.Worker) {
		r := &w.Runs[len(w.Runs)-1]
		r.Deadline, r.HardDeadline = baseTime.Add(time.Minute), baseTime.Add(3*time.Minute)
	}
	for i := range 2 {
		addRun(&in.Workers[i], "wide", 8, 1, 10*time.Second)
		in.Workers[i].Runs[0].Gang, in.Workers[i].Runs[0].Task.Index = true, i
		setDeadlines(&in.Workers[i])
	}
	addRun(&in.Workers[2], "narrow", 8, 1, 10*time.Second)
	in.Workers[2].Runs[0].LostIfStopped = 1500 * time.Millisecond
	setDeadlines(&in.Workers[2])
	p := allot.MakePlan(in)
	require.Len(t, p.Stops, 1)
	require.Equal(t, "narrow", p.Stops[0].Task.Job)
}

// A run that can't end before its worker shuts down is stopped, so that it resumes elsewhere. A run
// that can end in time continues.
func TestLeavingWorkerRunsAreStopped(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(2)}
	addRun(&in.Workers[0], "short", 1, 1, 1500*time.Millisecond)
	addRun(&in.Workers[0], "long", 1, 1, 4*time.Second)
	addRun(&in.Workers[1], "long", 1, 1, 4*time.Second)
	in.Workers[0].Unschedulable, in.Workers[0].ShutdownAt = true, baseTime.Add(2*time.Second)
	p := allot.MakePlan(in)
	require.Len(t, p.Stops, 1)
	require.Equal(t, "long", p.Stops[0].Task.Job)
	require.Equal(t, in.Workers[0].ID, p.Stops[0].Worker)
	require.Equal(t, allot.ForShutdown, p.Stops[0].ForJob)
}

// Nothing starts on a worker on which a run has just failed as long as other workers have free
// resources, even if these are slower.
func TestSuspectWorkerIsAvoided(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(2), Steps: []allot.PendingStep{newUrgentGang("g", 1, 8)}}
	in.Workers[0].Suspect, in.Workers[1].Speed = true, 0.9
	require.Equal(t, in.Workers[1].ID, allot.MakePlan(in).Starts[0].Placements[0].Worker)
	in.Steps[0] = newUrgentGang("g", 2, 8)
	in.Steps[0].Compact = false
	require.Len(t, allot.MakePlan(in).Starts, 1, "not started although the other worker alone can't hold it")
}

// Urgent tasks that aren't a gang don't take any free worker: on a slow worker their job would be
// late, while the fast workers run only work that can wait.
func TestUrgentTasksTakeFastWorkers(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(4)}
	for i := range in.Workers {
		in.Workers[i].Speed = 0.5
	}
	for _, i := range []int{2, 3} {
		in.Workers[i].Speed = 1.6
		addRun(&in.Workers[i], "batch", 8, 2, 10*time.Second)
		in.Workers[i].Runs[0].LostIfStopped = 200 * time.Millisecond
		in.Workers[i].Runs[0].Deadline, in.Workers[i].Runs[0].HardDeadline = baseTime.Add(time.Minute), baseTime.Add(3*time.Minute)
	}
	step := newUrgentGang("g", 2, 8)
	step.Gang, step.Compact = false, false
	in.Steps = []allot.PendingStep{step}
	p := allot.MakePlan(in)
	require.Empty(t, p.Starts)
	require.Len(t, p.Stops, 2)
	require.Len(t, p.Claims, 2)

	// One of the two runs has ended: that task starts, and the claim for the other one stays.
	in.Claims = p.Claims
	in.Workers[2].Runs = nil
	in.Workers[3].Runs[0].Stopping = true
	p = allot.MakePlan(in)
	require.Len(t, p.Starts, 1)
	require.Equal(t, in.Workers[2].ID, p.Starts[0].Placements[0].Worker)
	require.Len(t, p.Claims, 1)
	require.Equal(t, in.Workers[3].ID, p.Claims[0].Assignments[0].Worker)
}

// A long-running task is stopped only for guaranteed work.
func TestLongRunningTaskStopsOnlyForGuarantee(t *testing.T) {
	in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(1), Steps: []allot.PendingStep{newUrgentGang("g", 1, 8)}}
	addRun(&in.Workers[0], "serving", 8, 2, time.Hour)
	in.Workers[0].Runs[0].LongRunning = true
	require.Empty(t, allot.MakePlan(in).Stops)
	in.Steps[0].Guaranteed = true
	require.Len(t, allot.MakePlan(in).Stops, 1)
}

// A job that has been idle for too long takes workers that are suspect or in quarantine, if the fleet isn't
// busy or the job is long-running.
func TestIdleJobTakesAvoidedWorkers(t *testing.T) {
	for _, tt := range []struct {
		name        string
		idle        time.Duration
		busy        int // workers that are occupied by other jobs
		longRunning bool
		quarantined bool
		starts      bool
	}{
		{"suspect workers are avoided at first", time.Second, 2, false, false, false},
		{"suspect workers are used after a while", 2 * time.Second, 2, false, false, true},
		{"workers in quarantine are used after a while", 2 * time.Second, 2, false, true, true},
		{"avoided as long as the fleet is busy", 2 * time.Second, 5, false, true, false},
		{"used for a long-running task even if the fleet is busy", 2 * time.Second, 5, true, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			in := allot.Input{Now: baseTime, RemoteFactor: 3, Workers: idleWorkers(6)}
			for i := range tt.busy {
				addRun(&in.Workers[i], "other", 8, 1, time.Minute)
			}
			step := newGang("g", 1, 8)
			step.Gang, step.LongRunning, step.IdleSince = false, tt.longRunning, baseTime.Add(-tt.idle)
			step.Avoid = map[jobs.Worker]bool{}
			for i := tt.busy; i < 6; i++ {
				in.Workers[i].Suspect, in.Workers[i].Quarantined = true, tt.quarantined
			}
			in.Steps = []allot.PendingStep{step}
			require.Equal(t, tt.starts, len(allot.MakePlan(in).Starts) > 0)
		})
	}
}
