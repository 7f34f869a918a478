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
		require.InDelta(t, math.Log(6), math.Log(l.Work("q", 0).Seconds()), 0.7, "seed %d", seed)
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
	fail("a")
	require.False(t, l.Barred(w, noon), "a job may fail by its own fault")
	fail("b")
	require.True(t, l.Barred(w, noon))
	require.False(t, l.Barred(w, noon.Add(time.Minute)))
}
