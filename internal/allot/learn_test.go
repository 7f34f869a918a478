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

// Tasks of one step reveal how fast their workers are, whatever the duration of the step and although
// one task in thirty takes seven times as long as the others.
func TestLearnerEstimatesWorkerSpeeds(t *testing.T) {
	pairs, wrong := 0, 0
	for seed := range uint64(40) {
		l, speeds := trainedLearner(seed)
		got := func(i int) float64 { return l.Speed(jobs.Worker{Name: string(rune('a' + i))}) }
		for i := 0; i+2 < len(speeds); i += 3 {
			pairs += 2
			for _, ratio := range []float64{got(i+1) / got(i), got(i+2) / got(i+1)} {
				if ratio < 1.15 {
					wrong++
				}
			}
		}
		require.InDelta(t, math.Log(6), math.Log(l.TaskDuration(jobs.TaskID{Job: "next"}, "q", 0).Seconds()), 0.7, "seed %d", seed)
	}
	require.Less(t, 20*wrong, pairs, "%d of %d pairs of workers are ordered wrongly by speed", wrong, pairs)
}

// trainedLearner returns a learner that has seen six jobs of eighteen tasks on nine workers, and the speeds
// of these workers.
func trainedLearner(seed uint64) (*allot.Learner, []float64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	l := allot.NewLearner()
	speeds := []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6}
	for job := range 6 {
		size := 6 * math.Exp(0.3*rng.NormFloat64())
		for i := range 2 * len(speeds) {
			duration := size * math.Exp(0.15*rng.NormFloat64()) / speeds[i%len(speeds)]
			if rng.Float64() < 0.03 {
				duration *= 7
			}
			l.LearnEnd(allot.Observation{
				Worker: jobs.Worker{Name: string(rune('a' + i%len(speeds)))}, Task: jobs.TaskID{Job: string(rune('A' + job)), Index: i},
				Queue: "q", Outcome: jobs.RunDone, Duration: time.Duration(duration * float64(time.Second)), DistanceFactor: 1, FromStart: true, SingleWorker: true,
			}, baseTime)
		}
	}
	return l, speeds
}

// Failures of two different jobs put a worker into quarantine, failures of one job don't. A single failure
// makes it suspect.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	l := allot.NewLearner()
	w := jobs.Worker{Name: "w"}
	fail := func(job string) {
		l.LearnEnd(allot.Observation{Worker: w, Task: jobs.TaskID{Job: job}, Queue: "q", Outcome: jobs.RunFailed, Duration: time.Second, DistanceFactor: 1}, baseTime)
	}
	fail("a")
	require.True(t, l.Suspect(w, baseTime), "not suspect right after a failure")
	require.False(t, l.Suspect(w, baseTime.Add(time.Minute)))
	fail("a")
	require.False(t, l.Quarantined(w, baseTime), "in quarantine after failures of a single job")
	fail("b")
	require.True(t, l.Quarantined(w, baseTime))
	require.False(t, l.Quarantined(w, baseTime.Add(time.Minute)))
}

// workerSpeed is a worker and its speed.
type workerSpeed struct {
	name  string
	speed float64
}

// reportGangProgress reports the progress of a gang with one member on each of the workers. The work is in
// seconds at the usual speed.
func reportGangProgress(l *allot.Learner, job string, work float64, workers ...workerSpeed) {
	for i, w := range workers {
		l.LearnProgress(allot.Observation{
			Worker: jobs.Worker{Name: w.name}, Task: jobs.TaskID{Job: job, Index: i}, Queue: "q",
			Duration: time.Duration(work / w.speed * float64(time.Second)), DistanceFactor: 1, Gang: true,
		})
	}
}

// Members of a gang do equal work, so a single gang reveals how fast its workers are relative to one
// another, whatever the amount of work and in whatever order the members report.
func TestLearnerEstimatesSpeedsFromOneGang(t *testing.T) {
	slow, usual, fast := workerSpeed{"slow", 0.6}, workerSpeed{"usual", 1}, workerSpeed{"fast", 1.6}
	for _, order := range [][]workerSpeed{
		{slow, usual, fast}, {slow, fast, usual}, {usual, slow, fast}, {usual, fast, slow}, {fast, slow, usual}, {fast, usual, slow},
	} {
		l := allot.NewLearner()
		reportGangProgress(l, "a", 40, order...)
		speed := func(p workerSpeed) float64 { return l.Speed(jobs.Worker{Name: p.name}) }
		require.Greater(t, speed(usual)/speed(slow), 1.35, order)
		require.Greater(t, speed(fast)/speed(usual), 1.35, order)
	}
}

// A new leader starts with the estimates of the former leader.
func TestLearnerRestoresEstimatesOfFormerLeader(t *testing.T) {
	former := allot.NewLearner()
	require.Nil(t, former.Changes())
	reportGangProgress(former, "a", 4, workerSpeed{"slow", 0.6}, workerSpeed{"fast", 1.6})
	changes := former.Changes()
	require.Len(t, changes.Speeds, 2)
	require.Nil(t, former.Changes(), "changes reported although nothing has changed since the last call")
	next := allot.NewLearner()
	next.Restore(*changes)
	for _, name := range []string{"slow", "fast"} {
		w := jobs.Worker{Name: name}
		require.InDelta(t, former.Speed(w), next.Speed(w), 0.01)
		require.Less(t, next.SpeedStdDev(w), next.SpeedStdDev(jobs.Worker{Name: "other"}))
	}
	require.Nil(t, next.Changes(), "restored values reported as changes")
}
