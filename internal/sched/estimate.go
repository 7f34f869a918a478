package sched

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	maxRatios      = 64 // ratios kept per key
	minRatios      = 8  // ratios required before they are used
	highQuantile   = 0.95
	medianQuantile = 0.5
	// Factors applied to the declared run time while there are too few ratios.
	defaultMedianFactor = 1.0
	defaultHighFactor   = 3.0
	defaultRunTime      = 30 * time.Minute // run time assumed for a job that declares none
)

// runTimeKey is the key by which run times are grouped.
type runTimeKey struct {
	team   string
	kind   string
	accels int // accelerators of the whole gang, rounded down to a power of two
}

// runTimeRatios holds the latest ratios of measured to declared run time, with
// their median and high quantile.
type runTimeRatios struct {
	next    int       // index in samples that the next ratio replaces once there are maxRatios
	samples []float64 // the latest ratios
	median  float64
	high    float64
}

type runTimeStats map[runTimeKey]*runTimeRatios

func newRunTimeStats() runTimeStats { return make(runTimeStats) }

func runTimeKeyOf(m model.Job) runTimeKey {
	accels := 0
	if n := m.Shape.TotalAccels(); n > 0 {
		accels = 1 << int(math.Log2(float64(n)))
	}
	return runTimeKey{m.Team, m.Shape.Kind, accels}
}

func declaredRunTime(m model.Job) time.Duration {
	if m.EstimateMs <= 0 {
		return defaultRunTime
	}
	return time.Duration(m.EstimateMs) * time.Millisecond
}

// add adds a ratio and recomputes the quantiles.
func (r *runTimeRatios) add(x float64) {
	if len(r.samples) < maxRatios {
		r.samples = append(r.samples, x)
	} else {
		r.samples[r.next] = x
	}
	r.next = (r.next + 1) % maxRatios
	sorted := slices.Clone(r.samples)
	slices.Sort(sorted)
	r.median = sorted[int(medianQuantile*float64(len(sorted)-1))]
	r.high = sorted[int(math.Ceil(highQuantile*float64(len(sorted)-1)))]
}

// recordRunTime records the run time of a job that has succeeded. A job that
// was started more than once is left out, because its total run time isn't
// known.
func (s *Sched) recordRunTime(m model.Job, placement []place.Cell) {
	if m.Attempts > 1 || m.Started.IsZero() || !m.Ended.After(m.Started) {
		return
	}
	key := runTimeKeyOf(m)
	if s.runTimes[key] == nil {
		s.runTimes[key] = &runTimeRatios{}
	}
	run := float64(m.Ended.Sub(m.Started)) * s.slowestSpeed(placement)
	s.runTimes[key].add(run / float64(declaredRunTime(m)))
}

// slowestSpeed returns the speed of the slowest worker of a gang, or 1 if none
// is known.
func (s *Sched) slowestSpeed(placement []place.Cell) float64 {
	slowest := math.Inf(1)
	for _, c := range placement {
		if w, ok := s.workers[c.Worker]; ok && w.model.Speed > 0 {
			slowest = min(slowest, w.model.Speed)
		}
	}
	if math.IsInf(slowest, 1) {
		return 1
	}
	return slowest
}

// estimateRunTime returns estimates of the job's run time at speed 1.0: the
// median, and a high one that nearly all similar jobs stay below.
func (s *Sched) estimateRunTime(m model.Job) (median, high time.Duration) {
	d := float64(declaredRunTime(m))
	r := s.runTimes[runTimeKeyOf(m)]
	if r == nil || len(r.samples) < minRatios {
		return time.Duration(d * defaultMedianFactor), time.Duration(d * defaultHighFactor)
	}
	return time.Duration(d * r.median), time.Duration(d * r.high)
}

// expectedEnd returns when a placed job is expected to have ended. A job that
// has exceeded its estimate is expected to run for another half of its run time
// so far.
func (s *Sched) expectedEnd(j *job, now time.Time) time.Time {
	if j.stopping {
		return laterOf(j.stopDeadline, now)
	}
	_, high := s.estimateRunTime(j.Job)
	run := time.Duration(float64(high) / s.slowestSpeed(j.placement))
	end := j.placedAt.Add(run)
	if end.After(now) {
		return end
	}
	return now.Add(max(now.Sub(j.placedAt)/2, time.Second))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
