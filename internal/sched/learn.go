package sched

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/place"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	learnWindow  = 64 // ratios kept per key
	learnEnough  = 8  // ratios required before they are used
	quantileHigh = 0.95
	quantileMid  = 0.5
	// Factors applied to the declared run time while there are too few ratios.
	unlearnedMid  = 1.0
	unlearnedHigh = 3.0
	undeclared    = 30 * time.Minute // run time assumed for a job that declares none
)

// lesson is the key by which run times are grouped.
type lesson struct {
	team   string
	kind   string
	accels int // accelerators of the whole gang, rounded down to a power of two
}

// ratios holds the latest ratios of measured to declared run time, with their
// median and high quantile.
type ratios struct {
	next int
	vals []float64
	mid  float64
	high float64
}

type learned map[lesson]*ratios

func newLearned() learned { return make(learned) }

func lessonOf(m model.Job) lesson {
	a := 0
	if n := m.Shape.TotalAccels(); n > 0 {
		a = 1 << int(math.Log2(float64(n)))
	}
	return lesson{m.Team, m.Shape.Kind, a}
}

func declared(m model.Job) time.Duration {
	if m.EstimateMs <= 0 {
		return undeclared
	}
	return time.Duration(m.EstimateMs) * time.Millisecond
}

func (r *ratios) add(x float64) {
	if len(r.vals) < learnWindow {
		r.vals = append(r.vals, x)
	} else {
		r.vals[r.next] = x
	}
	r.next = (r.next + 1) % learnWindow
	sorted := slices.Clone(r.vals)
	slices.Sort(sorted)
	r.mid = sorted[int(quantileMid*float64(len(sorted)-1))]
	r.high = sorted[int(math.Ceil(quantileHigh*float64(len(sorted)-1)))]
}

// learn records the run time of a job that has succeeded. A job that was started
// more than once is left out, because its total run time isn't known.
func (s *Sched) learn(m model.Job, cells []place.Cell) {
	if m.Attempts > 1 || m.Started.IsZero() || !m.Ended.After(m.Started) {
		return
	}
	key := lessonOf(m)
	if s.learned[key] == nil {
		s.learned[key] = &ratios{}
	}
	run := float64(m.Ended.Sub(m.Started)) * s.pace(cells)
	s.learned[key].add(run / float64(declared(m)))
}

// pace returns the speed of the slowest worker of a gang, or 1 if none is known.
func (s *Sched) pace(cells []place.Cell) float64 {
	slowest := math.Inf(1)
	for _, c := range cells {
		if w, ok := s.workers[c.Worker]; ok && w.model.Speed > 0 {
			slowest = min(slowest, w.model.Speed)
		}
	}
	if math.IsInf(slowest, 1) {
		return 1
	}
	return slowest
}

// expect returns estimates of the job's run time at speed 1.0: the median, and a
// high one that nearly all similar jobs stay below.
func (s *Sched) expect(m model.Job) (mid, high time.Duration) {
	d := float64(declared(m))
	r := s.learned[lessonOf(m)]
	if r == nil || len(r.vals) < learnEnough {
		return time.Duration(d * unlearnedMid), time.Duration(d * unlearnedHigh)
	}
	return time.Duration(d * r.mid), time.Duration(d * r.high)
}

// endOf returns when a placed job is expected to have ended. A job that has
// exceeded its estimate is expected to run for another half of its run time so
// far.
func (s *Sched) endOf(j *job, now time.Time) time.Time {
	if j.stopping {
		return later(j.stopBy, now)
	}
	_, high := s.expect(j.Job)
	run := time.Duration(float64(high) / s.pace(j.cells))
	end := j.placedAt.Add(run)
	if end.After(now) {
		return end
	}
	return now.Add(max(now.Sub(j.placedAt)/2, time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
