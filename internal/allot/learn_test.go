package allot_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// Like tasks of one step show how fast workers are, whatever the step's size and
// although one task in thirty takes seven times as long as its like.
func TestLearnerFindsSpeeds(t *testing.T) {
	pairs, wrong := 0, 0
	for seed := range uint64(40) {
		l, speeds := learned(seed)
		got := func(i int) float64 { return l.Speed(jobs.Worker{Name: string(rune('a' + i))}) }
		for i := 0; i+2 < len(speeds); i += 3 {
			pairs += 2
			for _, ratio := range []float64{got(i+1) / got(i), got(i+2) / got(i+1)} {
				if ratio < 1.15 {
					wrong++
				}
			}
		}
		require.InDelta(t, math.Log(6), math.Log(l.Work(jobs.TaskID{Job: "next"}, "q", 0).Seconds()), 0.7, "seed %d", seed)
	}
	require.Less(t, 20*wrong, pairs, "%d of %d pairs of workers out of order", wrong, pairs)
}

// learned returns a learner that has seen six jobs of eighteen tasks on nine
// workers, and the workers' speeds.
func learned(seed uint64) (*allot.Learner, []float64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	l := allot.NewLearner()
	speeds := []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6}
	for job := range 6 {
		size := 6 * math.Exp(0.3*rng.NormFloat64())
		for i := range 2 * len(speeds) {
			took := size * math.Exp(0.15*rng.NormFloat64()) / speeds[i%len(speeds)]
			if rng.Float64() < 0.03 {
				took *= 7
			}
			l.Ended(allot.Outcome{
				Worker: jobs.Worker{Name: string(rune('a' + i%len(speeds)))}, Task: jobs.TaskID{Job: string(rune('A' + job)), Index: i},
				Queue: "q", How: jobs.RunDone, Took: time.Duration(took * float64(time.Second)), Factor: 1, Whole: true, Single: true,
			}, noon)
		}
	}
	return l, speeds
}

func TestWorkerThatFailsAllIsBarred(t *testing.T) {
	l := allot.NewLearner()
	w := jobs.Worker{Name: "w"}
	fail := func(job string) {
		l.Ended(allot.Outcome{Worker: w, Task: jobs.TaskID{Job: job}, Queue: "q", How: jobs.RunFailed, Took: time.Second, Factor: 1}, noon)
	}
	fail("a")
	require.True(t, l.Suspect(w, noon), "one failure is reason enough to look elsewhere for a while")
	require.False(t, l.Suspect(w, noon.Add(time.Minute)))
	fail("a")
	require.False(t, l.Barred(w, noon), "a job may fail by its own fault")
	fail("b")
	require.True(t, l.Barred(w, noon))
	require.False(t, l.Barred(w, noon.Add(time.Minute)))
}

// pace is how fast a worker is.
type pace struct {
	name  string
	speed float64
}

// gangProgress shows a learner the members of a gang of some work, one on each of
// the workers.
func gangProgress(l *allot.Learner, job string, work float64, paces ...pace) {
	for i, p := range paces {
		l.Progress(allot.Outcome{
			Worker: jobs.Worker{Name: p.name}, Task: jobs.TaskID{Job: job, Index: i}, Queue: "q",
			Took: time.Duration(work / p.speed * float64(time.Second)), Factor: 1, Gang: true,
		})
	}
}

// Members of a gang do the same work, so one gang shows how fast its workers are
// beside one another, whatever the work is and in whatever order they report.
func TestLearnerSeesSpeedsInOneGang(t *testing.T) {
	slow, usual, fast := pace{"slow", 0.6}, pace{"usual", 1}, pace{"fast", 1.6}
	for _, order := range [][]pace{
		{slow, usual, fast}, {slow, fast, usual}, {usual, slow, fast}, {usual, fast, slow}, {fast, slow, usual}, {fast, usual, slow},
	} {
		l := allot.NewLearner()
		gangProgress(l, "a", 40, order...)
		speed := func(p pace) float64 { return l.Speed(jobs.Worker{Name: p.name}) }
		require.Greater(t, speed(usual)/speed(slow), 1.35, order)
		require.Greater(t, speed(fast)/speed(usual), 1.35, order)
	}
}

// The successor of a leader begins with what that one has learned.
func TestLearnerRecallsWhatAFormerLeaderKnew(t *testing.T) {
	first := allot.NewLearner()
	require.Nil(t, first.News())
	gangProgress(first, "a", 4, pace{"slow", 0.6}, pace{"fast", 1.6})
	news := first.News()
	require.Len(t, news.Speeds, 2)
	require.Nil(t, first.News(), "nothing has changed since")
	next := allot.NewLearner()
	next.Recall(*news)
	for _, name := range []string{"slow", "fast"} {
		w := jobs.Worker{Name: name}
		require.InDelta(t, first.Speed(w), next.Speed(w), 0.01)
		require.Less(t, next.Doubt(w), next.Doubt(jobs.Worker{Name: "other"}))
	}
	require.Nil(t, next.News(), "the log holds it already")
}
