package sched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// maxOverrun is the factor on the declared run time that the scheduler assumes
// while it has no measurements. Actual run times within it keep its estimates
// correct.
const maxOverrun = 3

// simulation advances a cluster in steps of time: jobs end after their run
// time, and stopping ones are queued again after the time for their checkpoint.
type simulation struct {
	*testCluster
	runTimes map[string]time.Duration // actual run time of each job
	stopTime map[string]time.Duration // time until a stopping job has stopped
}

const simulationStep = 10 * time.Second // time per step

func newSimulation(tc *testCluster) *simulation {
	return &simulation{testCluster: tc, runTimes: make(map[string]time.Duration), stopTime: make(map[string]time.Duration)}
}

func (s *simulation) submit(j model.Job, run time.Duration) {
	s.runTimes[j.ID] = run
	s.setJob(j)
}

func (s *simulation) step() {
	s.now = s.now.Add(simulationStep)
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		switch {
		case j.State == model.JobRunning && !s.now.Before(j.Started.Add(s.runTimes[id])):
			s.end(id, model.JobDone)
		case j.State == model.JobStopping:
			if s.stopTime[id] -= simulationStep; s.stopTime[id] <= 0 {
				s.requeue(id)
			}
		}
	}
	for _, d := range s.decide() {
		if d.Kind == Stop {
			s.stopTime[d.Job] = 2 * simulationStep
		}
	}
}

// TestBackfillKeepsReservation checks that jobs that are submitted after a gang
// that finds no room don't delay it beyond the start of its reservation.
func TestBackfillKeepsReservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(newTestCluster(t, Options{NoMigration: true}, testFleet()[:3]...))
		submitRandom := func(id string, now time.Time) {
			declared := time.Duration(rapid.IntRange(1, 30).Draw(t, "minutes")) * time.Minute
			j := newGang(id, "t", newShape(1, rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "accels"), model.ProximityWorker), now)
			j.EstimateMs = declared.Milliseconds()
			j.Stoppable = rapid.Bool().Draw(t, "stoppable")
			j.Attempts = 1 // keeps the run time from being recorded, so that the estimates don't change
			sim.submit(j, declared*time.Duration(rapid.IntRange(1, 10*maxOverrun).Draw(t, "tenths"))/10)
		}
		for i := range 12 {
			submitRandom(fmt.Sprintf("old%02d", i), sim.now)
		}
		sim.step()
		head := newGang("head", "t", newShape(rapid.IntRange(1, 3).Draw(t, "members"), 8, model.ProximityRack), sim.now)
		head.Urgency, head.EstimateMs = model.Urgent, time.Minute.Milliseconds()
		head.Stoppable = rapid.Bool().Draw(t, "stoppable head")
		sim.submit(head, time.Minute)
		var promisedStart time.Time
		for i := 0; !holdsWorkers(sim.jobs["head"].State) && sim.jobs["head"].ID != ""; i++ {
			require.Less(t, i, 3000, "the gang never starts")
			if h := sim.s.reservations["head"]; h != nil && promisedStart.IsZero() {
				promisedStart = h.start
			}
			if i%3 == 0 {
				submitRandom(fmt.Sprintf("new%04d", i), sim.now)
			}
			sim.step()
		}
		if !promisedStart.IsZero() {
			require.False(t, sim.now.After(promisedStart.Add(2*simulationStep)), "promised for %v, starts at %v", promisedStart, sim.now)
		}
	})
}

// TestLargeGangDoesNotStarve checks that a large gang starts although small
// jobs arrive faster than the fleet can run them.
func TestLargeGangDoesNotStarve(t *testing.T) {
	sim := newSimulation(newTestCluster(t, Options{NoMigration: true}, testFleet()...))
	submitSmall := func(i int) {
		j := newGang(fmt.Sprintf("s%05d", i), fmt.Sprintf("t%d", i%3), newShape(1, 2, model.ProximityWorker), sim.now)
		j.EstimateMs = (20 * time.Minute).Milliseconds()
		j.Stoppable = i%2 == 0
		sim.submit(j, 20*time.Minute)
	}
	for i := range 60 {
		submitSmall(i)
	}
	sim.step()
	sim.submit(newGang("large", "big", newShape(3, 8, model.ProximityRack), sim.now), time.Hour)
	submitted := sim.now
	for i := 100; !holdsWorkers(sim.jobs["large"].State); i++ {
		if i%3 == 0 {
			submitSmall(i)
		}
		sim.step()
		require.Less(t, sim.now.Sub(submitted), 8*time.Hour, "the large gang has not started")
	}
	sim.checkInvariants()
}

// TestCompetingGangs checks that of two gangs that each need more than half of
// a rack, one runs while the other holds no workers, and that both complete.
func TestCompetingGangs(t *testing.T) {
	sim := newSimulation(newTestCluster(t, Options{}, testFleet()[:3]...))
	for _, id := range []string{"a", "b"} {
		j := newGang(id, id, newShape(2, 8, model.ProximityRack), sim.now)
		j.Stoppable = false
		sim.submit(j, time.Minute)
	}
	sim.step()
	running := 0
	for _, j := range sim.jobs {
		if holdsWorkers(j.State) {
			require.Len(t, j.Members, 2)
			running++
		}
	}
	require.Equal(t, 1, running, "one gang runs, the other holds no workers")
	for range 20 {
		sim.step()
	}
	require.Empty(t, sim.jobs, "both gangs have completed")
}

// newPartlyUsedCluster returns a cluster of two workers, each with half of its
// accelerators used by one stoppable job.
func newPartlyUsedCluster(t *testing.T, opt Options) *testCluster {
	tc := newTestCluster(t, opt, testFleet()[:2]...)
	tc.setTeam(model.Team{Name: "t", Weight: 1})
	for i := range 4 {
		tc.setJob(newGang(fmt.Sprintf("j%d", i), "t", newShape(1, 4, model.ProximityWorker), tc.now))
	}
	tc.decide()
	for id, j := range tc.jobs {
		if other, first := j.Members[0].Worker, slices.Sorted(maps.Keys(tc.workers))[0]; (other == first) == (id < "j2") && id != "j0" && id != "j2" {
			tc.end(id, model.JobDone)
		}
	}
	jobsPerWorker := make(map[string]int)
	for _, j := range tc.jobs {
		jobsPerWorker[j.Members[0].Worker]++
	}
	require.Len(t, jobsPerWorker, 2, "each worker is half used: %v", jobsPerWorker)
	return tc
}

// TestMigration checks that work is moved to let a starving gang start, but
// only after the gang has waited and only if migration is enabled.
func TestMigration(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		tc := newPartlyUsedCluster(t, Options{NoMigration: disabled})
		tc.s.lastDefrag = tc.now.Add(24 * time.Hour)
		tc.setJob(newGang("gang", "t", newShape(1, 8, model.ProximityWorker), tc.now))
		require.Empty(t, tc.decide(), "nothing is moved before the gang has waited")
		tc.now = tc.now.Add(Defaults().StarvingAfter)
		ds := tc.decide()
		if disabled {
			require.Empty(t, ds)
			continue
		}
		require.Equal(t, map[Kind]int{Stop: 1}, countByKind(ds))
		require.True(t, ds[0].Checkpoint)
		tc.decideUntilStable()
		for id, j := range tc.jobs {
			require.True(t, holdsWorkers(j.State), id)
		}
		tc.checkInvariants()
	}
}

// TestDefragment checks that work is moved off a partly used worker so that all
// of its accelerators are free, but only if the work is expected to run for
// long.
func TestDefragment(t *testing.T) {
	tc := newPartlyUsedCluster(t, Options{})
	require.Equal(t, 0, tc.s.Fragmentation().Gangs[0].Fits)
	tc.now = tc.now.Add(defragInterval)
	require.Equal(t, map[Kind]int{Stop: 1}, countByKind(tc.decide()))
	tc.decideUntilStable()
	require.Equal(t, 1, tc.s.Fragmentation().Gangs[0].Fits)

	tc = newPartlyUsedCluster(t, Options{})
	tc.now = tc.now.Add(59 * time.Minute)
	require.Empty(t, tc.decide(), "work that ends soon isn't moved")
}

// TestDeadlines checks that a deadline within a guarantee is either met, or
// refused at submission with the earliest start.
func TestDeadlines(t *testing.T) {
	sim := newSimulation(newTestCluster(t, Options{}, testFleet()...))
	sim.setTeam(teamWithGuarantee("linen", 1, newShape(1, 8, model.ProximityWorker)))
	fillFleet(sim.testCluster, true)
	for id := range sim.jobs {
		sim.runTimes[id] = 100 * time.Hour
	}
	withDeadline := func(id string, after time.Duration) model.Job {
		j := newGang(id, "linen", newShape(1, 8, model.ProximityWorker), sim.now)
		j.Deadline = sim.now.Add(after)
		return j
	}
	first := withDeadline("first", 62*time.Minute)
	r := sim.s.Check([]model.Op{{Kind: model.OpSubmitJob, Job: &first}}, sim.now)
	require.Empty(t, r.Refusals)
	require.Len(t, r.PreemptedJobs, 1)
	require.Equal(t, sim.now.Add(Defaults().CheckpointGrace), r.EarliestStarts["first"])
	sim.submit(first, time.Hour)
	sim.step()
	second := withDeadline("second", 90*time.Minute)
	r = sim.s.Check([]model.Op{{Kind: model.OpSubmitJob, Job: &second}}, sim.now)
	require.Len(t, r.Refusals, 1)
	require.Equal(t, "ops[0].job.deadline", r.Refusals[0].Field)
	require.Contains(t, r.Refusals[0].Reason, "earliest start")
	for sim.jobs["first"].ID != "" {
		sim.step()
	}
	require.False(t, sim.now.After(first.Deadline))
}

// TestRunTimeEstimates checks that wrong declared run times are corrected per
// team.
func TestRunTimeEstimates(t *testing.T) {
	sim := newSimulation(newTestCluster(t, Options{}, testFleet()...))
	for i := range minRatios {
		sim.submit(newGang(fmt.Sprintf("j%d", i), "t", newShape(1, 1, model.ProximityWorker), sim.now), 10*time.Minute)
	}
	for range 70 {
		sim.step()
	}
	require.Empty(t, sim.jobs)
	median, _ := sim.s.estimateRunTime(newGang("x", "t", newShape(1, 1, model.ProximityWorker), sim.now))
	require.Greater(t, median, 3*time.Minute)
	require.Less(t, median, 20*time.Minute, "an hour is declared, ten minutes are needed")
	other, _ := sim.s.estimateRunTime(newGang("x", "u", newShape(1, 1, model.ProximityWorker), sim.now))
	require.Equal(t, time.Hour, other)
}

// TestDeadlineProtectsGuarantee checks that a job that is ahead of one with a
// deadline uses the guarantee only if the deadline can still be met afterwards.
func TestDeadlineProtectsGuarantee(t *testing.T) {
	for _, hours := range []int{1, 4} {
		tc := newTestCluster(t, Options{}, testFleet()...)
		tc.setTeam(teamWithGuarantee("linen", 1, newShape(1, 8, model.ProximityWorker)))
		fillFleet(tc, true)
		withDeadline := newGang("due", "linen", newShape(1, 8, model.ProximityWorker), tc.now)
		withDeadline.Deadline = tc.now.Add(3 * time.Hour)
		tc.setJob(withDeadline)
		first := newGang("first", "linen", newShape(1, 8, model.ProximityWorker), tc.now)
		first.Urgency = model.Urgent
		first.EstimateMs = (time.Duration(hours) * time.Hour).Milliseconds()
		first.Submitted = tc.now.Add(-24 * time.Hour)
		tc.setJob(first)
		tc.decideUntilStable()
		require.Equal(t, hours == 1, holdsWorkers(tc.jobs["first"].State) && !tc.jobs["first"].Borrowed)
		require.Equal(t, hours != 1, holdsWorkers(tc.jobs["due"].State) && !tc.jobs["due"].Borrowed)
	}
}

// TestLargerJobDisplacesSmaller checks that a job that needs all of its team's
// guarantee displaces smaller work of the team from it, and that this work
// doesn't enter the guarantee again before the job has started.
func TestLargerJobDisplacesSmaller(t *testing.T) {
	tc := newTestCluster(t, Options{}, testFleet()...)
	tc.setTeam(teamWithGuarantee("linen", 1, newShape(1, 8, model.ProximityWorker)))
	fillFleet(tc, true)
	tc.setJob(newGang("part", "linen", newShape(1, 4, model.ProximityWorker), tc.now))
	tc.decideUntilStable()
	require.True(t, holdsWorkers(tc.jobs["part"].State) && !tc.jobs["part"].Borrowed)
	whole := newGang("whole", "linen", newShape(1, 8, model.ProximityWorker), tc.now.Add(time.Hour))
	tc.setJob(whole)
	tc.decideUntilStable()
	require.True(t, holdsWorkers(tc.jobs["whole"].State) && !tc.jobs["whole"].Borrowed)
	tc.checkInvariants()
}
