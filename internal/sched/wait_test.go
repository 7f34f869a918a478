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

// span is the factor on the declared run time that the scheduler assumes while it
// has no measurements. Actual run times within it keep its estimates correct.
const span = 3

// play advances a world in steps of time: jobs end after their run time, and
// stopping ones are queued again after the time for their checkpoint.
type play struct {
	*world
	runs map[string]time.Duration
	left map[string]time.Duration // time until a stopping job has stopped
}

const playStep = 10 * time.Second

func newPlay(w *world) *play {
	return &play{world: w, runs: make(map[string]time.Duration), left: make(map[string]time.Duration)}
}

func (p *play) submit(j model.Job, run time.Duration) {
	p.runs[j.ID] = run
	p.setJob(j)
}

func (p *play) step() {
	p.now = p.now.Add(playStep)
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		j := p.jobs[id]
		switch {
		case j.State == model.JobRunning && !p.now.Before(j.Started.Add(p.runs[id])):
			p.end(id, model.JobDone)
		case j.State == model.JobStopping:
			if p.left[id] -= playStep; p.left[id] <= 0 {
				p.requeue(id)
			}
		}
	}
	for _, d := range p.decide() {
		if d.Kind == Stop {
			p.left[d.Job] = 2 * playStep
		}
	}
}

// TestBackfillKeepsPromise checks that jobs that are submitted after a gang that
// finds no room don't delay it beyond the start of its reservation.
func TestBackfillKeepsPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay(newWorld(t, Options{NoMigration: true}, todays()[:3]...))
		draw := func(id string, now time.Time) {
			declared := time.Duration(rapid.IntRange(1, 30).Draw(t, "minutes")) * time.Minute
			j := gang(id, "t", shape(1, rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "accels"), model.NearWorker), now)
			j.EstimateMs = declared.Milliseconds()
			j.Stoppable = rapid.Bool().Draw(t, "stoppable")
			j.Attempts = 1 // keeps the run time from being recorded, so that the estimates don't change
			p.submit(j, declared*time.Duration(rapid.IntRange(1, 10*span).Draw(t, "tenths"))/10)
		}
		for i := range 12 {
			draw(fmt.Sprintf("old%02d", i), p.now)
		}
		p.step()
		head := gang("head", "t", shape(rapid.IntRange(1, 3).Draw(t, "members"), 8, model.NearRack), p.now)
		head.Urgency, head.EstimateMs = model.Urgent, time.Minute.Milliseconds()
		head.Stoppable = rapid.Bool().Draw(t, "stoppable head")
		p.submit(head, time.Minute)
		var promise time.Time
		for i := 0; !holds(p.jobs["head"].State) && p.jobs["head"].ID != ""; i++ {
			require.Less(t, i, 3000, "the gang never starts")
			if h := p.s.held["head"]; h != nil && promise.IsZero() {
				promise = h.at
			}
			if i%3 == 0 {
				draw(fmt.Sprintf("new%04d", i), p.now)
			}
			p.step()
		}
		if !promise.IsZero() {
			require.False(t, p.now.After(promise.Add(2*playStep)), "promised for %v, starts at %v", promise, p.now)
		}
	})
}

// TestLargeGangsAge checks that a large gang starts although small jobs arrive
// faster than the fleet can run them.
func TestLargeGangsAge(t *testing.T) {
	p := newPlay(newWorld(t, Options{NoMigration: true}, todays()...))
	small := func(i int) {
		j := gang(fmt.Sprintf("s%05d", i), fmt.Sprintf("t%d", i%3), shape(1, 2, model.NearWorker), p.now)
		j.EstimateMs = (20 * time.Minute).Milliseconds()
		j.Stoppable = i%2 == 0
		p.submit(j, 20*time.Minute)
	}
	for i := range 60 {
		small(i)
	}
	p.step()
	p.submit(gang("large", "big", shape(3, 8, model.NearRack), p.now), time.Hour)
	began := p.now
	for i := 100; !holds(p.jobs["large"].State); i++ {
		if i%3 == 0 {
			small(i)
		}
		p.step()
		require.Less(t, p.now.Sub(began), 8*time.Hour, "the large gang has not started")
	}
	p.check()
}

// TestTwoGangs checks that of two gangs that each need more than half of a rack,
// one runs while the other holds no workers, and that both complete.
func TestTwoGangs(t *testing.T) {
	p := newPlay(newWorld(t, Options{}, todays()[:3]...))
	for _, id := range []string{"a", "b"} {
		j := gang(id, id, shape(2, 8, model.NearRack), p.now)
		j.Stoppable = false
		p.submit(j, time.Minute)
	}
	p.step()
	running := 0
	for _, j := range p.jobs {
		if holds(j.State) {
			require.Len(t, j.Members, 2)
			running++
		}
	}
	require.Equal(t, 1, running, "one gang runs, the other holds no workers")
	for range 20 {
		p.step()
	}
	require.Empty(t, p.jobs, "both gangs have completed")
}

// broken returns a world of two workers, each with half of its accelerators used
// by one stoppable job.
func broken(t *testing.T, opt Options) *world {
	w := newWorld(t, opt, todays()[:2]...)
	w.setTeam(model.Team{Name: "t", Weight: 1})
	for i := range 4 {
		w.setJob(gang(fmt.Sprintf("j%d", i), "t", shape(1, 4, model.NearWorker), w.now))
	}
	w.decide()
	for id, j := range w.jobs {
		if other, first := j.Members[0].Worker, slices.Sorted(maps.Keys(w.workers))[0]; (other == first) == (id < "j2") && id != "j0" && id != "j2" {
			w.end(id, model.JobDone)
		}
	}
	left := make(map[string]int)
	for _, j := range w.jobs {
		left[j.Members[0].Worker]++
	}
	require.Len(t, left, 2, "each worker is half used: %v", left)
	return w
}

// TestMigration checks that work is moved to let a starving gang start, but only
// after the gang has waited and only if migration is enabled.
func TestMigration(t *testing.T) {
	for _, off := range []bool{false, true} {
		w := broken(t, Options{NoMigration: off})
		w.s.tidied = w.now.Add(24 * time.Hour)
		w.setJob(gang("gang", "t", shape(1, 8, model.NearWorker), w.now))
		require.Empty(t, w.decide(), "nothing is moved before the gang has waited")
		w.now = w.now.Add(Defaults().Patience)
		ds := w.decide()
		if off {
			require.Empty(t, ds)
			continue
		}
		require.Equal(t, map[Kind]int{Stop: 1}, kinds(ds))
		require.True(t, ds[0].Checkpoint)
		w.settle()
		for id, j := range w.jobs {
			require.True(t, holds(j.State), id)
		}
		w.check()
	}
}

// TestTidy checks that work is moved off a partly used worker so that all of its
// accelerators are free, but only if the work is expected to run for long.
func TestTidy(t *testing.T) {
	w := broken(t, Options{})
	require.Equal(t, 0, w.s.Fragmentation().Gangs[0].Fits)
	w.now = w.now.Add(tidyEvery)
	require.Equal(t, map[Kind]int{Stop: 1}, kinds(w.decide()))
	w.settle()
	require.Equal(t, 1, w.s.Fragmentation().Gangs[0].Fits)

	w = broken(t, Options{})
	w.now = w.now.Add(59 * time.Minute)
	require.Empty(t, w.decide(), "work that ends soon isn't moved")
}

// TestDeadlines checks that a deadline within a guarantee is either met, or refused
// at submission with the earliest start.
func TestDeadlines(t *testing.T) {
	p := newPlay(newWorld(t, Options{}, todays()...))
	p.setTeam(holding("linen", 1, shape(1, 8, model.NearWorker)))
	fillBorrowed(p.world, true)
	for id := range p.jobs {
		p.runs[id] = 100 * time.Hour
	}
	due := func(id string, by time.Duration) model.Job {
		j := gang(id, "linen", shape(1, 8, model.NearWorker), p.now)
		j.Deadline = p.now.Add(by)
		return j
	}
	first := due("first", 62*time.Minute)
	r := p.s.Check([]model.Op{{Kind: model.OpSubmitJob, Job: &first}}, p.now)
	require.Empty(t, r.Refusals)
	require.Len(t, r.Preempts, 1)
	require.Equal(t, p.now.Add(Defaults().Grace), r.Starts["first"])
	p.submit(first, time.Hour)
	p.step()
	second := due("second", 90*time.Minute)
	r = p.s.Check([]model.Op{{Kind: model.OpSubmitJob, Job: &second}}, p.now)
	require.Len(t, r.Refusals, 1)
	require.Equal(t, "ops[0].job.deadline", r.Refusals[0].Field)
	require.Contains(t, r.Refusals[0].Reason, "earliest start")
	for p.jobs["first"].ID != "" {
		p.step()
	}
	require.False(t, p.now.After(first.Deadline))
}

// TestLearnsRunTimes checks that wrong declared run times are corrected per team.
func TestLearnsRunTimes(t *testing.T) {
	p := newPlay(newWorld(t, Options{}, todays()...))
	for i := range learnEnough {
		p.submit(gang(fmt.Sprintf("j%d", i), "t", shape(1, 1, model.NearWorker), p.now), 10*time.Minute)
	}
	for range 70 {
		p.step()
	}
	require.Empty(t, p.jobs)
	mid, _ := p.s.expect(gang("x", "t", shape(1, 1, model.NearWorker), p.now))
	require.Greater(t, mid, 3*time.Minute)
	require.Less(t, mid, 20*time.Minute, "an hour is declared, ten minutes are needed")
	other, _ := p.s.expect(gang("x", "u", shape(1, 1, model.NearWorker), p.now))
	require.Equal(t, time.Hour, other)
}

// TestDeadlineKeepsGuarantee checks that a job that is ahead of one with a deadline
// uses the guarantee only if the deadline can still be met afterwards.
func TestDeadlineKeepsGuarantee(t *testing.T) {
	for _, hours := range []int{1, 4} {
		w := newWorld(t, Options{}, todays()...)
		w.setTeam(holding("linen", 1, shape(1, 8, model.NearWorker)))
		fillBorrowed(w, true)
		due := gang("due", "linen", shape(1, 8, model.NearWorker), w.now)
		due.Deadline = w.now.Add(3 * time.Hour)
		w.setJob(due)
		first := gang("first", "linen", shape(1, 8, model.NearWorker), w.now)
		first.Urgency = model.Urgent
		first.EstimateMs = (time.Duration(hours) * time.Hour).Milliseconds()
		first.Submitted = w.now.Add(-24 * time.Hour)
		w.setJob(first)
		w.settle()
		require.Equal(t, hours == 1, holds(w.jobs["first"].State) && !w.jobs["first"].Borrowed)
		require.Equal(t, hours != 1, holds(w.jobs["due"].State) && !w.jobs["due"].Borrowed)
	}
}

// TestTeamClaimsWholeShape checks that a job that needs all of its team's guarantee
// displaces smaller work of the team from it, and that this work doesn't enter the
// guarantee again before the job has started.
func TestTeamClaimsWholeShape(t *testing.T) {
	w := newWorld(t, Options{}, todays()...)
	w.setTeam(holding("linen", 1, shape(1, 8, model.NearWorker)))
	fillBorrowed(w, true)
	w.setJob(gang("part", "linen", shape(1, 4, model.NearWorker), w.now))
	w.settle()
	require.True(t, holds(w.jobs["part"].State) && !w.jobs["part"].Borrowed)
	whole := gang("whole", "linen", shape(1, 8, model.NearWorker), w.now.Add(time.Hour))
	w.setJob(whole)
	w.settle()
	require.True(t, holds(w.jobs["whole"].State) && !w.jobs["whole"].Borrowed)
	w.check()
}
