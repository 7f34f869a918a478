package admit

import (
	"math"
	"math/bits"
	"time"
)

// Parameters of the run time estimates.
const (
	runTimeGain       = 0.05 // smoothing factor: weight of a new sample
	minSamples        = 8    // number of samples from which the measured run time replaces the declared one
	longThreshold     = 0.5  // requests of a key are long if more than this fraction of the samples was
	minRunSeconds     = 1e-6 // lower bound for the logarithm of a run time
	plannedDeviations = 1.0  // number of mean deviations added to the mean for the planned run time
)

// runTimeKey identifies requests that are expected to have similar run times.
type runTimeKey struct {
	service, team string
	declared      Class
	declaredBits  int // bit length of the declared run time in milliseconds; 0 means none declared
}

// runTimeStats holds moving averages of the run times of the requests of one key, in
// seconds at the mean speed of the fleet.
type runTimeStats struct {
	samples      int
	mean         float64
	deviation    float64 // mean absolute deviation
	longFraction float64 // fraction that ran longer than the short limit
	meanLog      float64 // mean of the natural logarithm
}

func (s *runTimeStats) add(seconds float64, long bool) {
	gain := max(runTimeGain, 1/float64(s.samples+1))
	s.samples++
	diff := seconds - s.mean
	s.mean += gain * diff
	s.deviation += gain * (abs(diff) - s.deviation)
	s.meanLog += gain * (math.Log(max(seconds, minRunSeconds)) - s.meanLog)
	longSample := 0.0
	if long {
		longSample = 1
	}
	s.longFraction += gain * (longSample - s.longFraction)
}

// plannedSeconds returns the run time to plan with: the mean plus a margin for its
// variation.
func (s *runTimeStats) plannedSeconds() float64 { return s.mean + plannedDeviations*s.deviation }

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

// runTimeEstimator estimates run times from those of finished requests.
type runTimeEstimator struct {
	stats map[runTimeKey]*runTimeStats
}

// runTimeKeys returns the keys that a request belongs to, from the most specific to
// the most general. A general key reaches minSamples sooner.
func runTimeKeys(r Request) [3]runTimeKey {
	byTeam := runTimeKey{service: r.Service, team: r.Team, declared: r.DeclaredClass, declaredBits: bits.Len64(uint64(r.DeclaredMs))}
	byClass := byTeam
	byClass.team = ""
	byRunTime := byClass
	byRunTime.declared = ""
	if r.DeclaredMs == 0 {
		byRunTime = byClass // without the declared class, too, requests could not be told apart
	}
	return [3]runTimeKey{byTeam, byClass, byRunTime}
}

// estimate returns the class of a request, its mean run time and the run time to
// plan with, both in seconds.
func (e *runTimeEstimator) estimate(r Request, shortLimit time.Duration) (c Class, mean, planned float64) {
	for _, key := range runTimeKeys(r) {
		st := e.stats[key]
		if st == nil || st.samples < minSamples {
			continue
		}
		if st.longFraction > longThreshold {
			return Long, st.mean, st.plannedSeconds()
		}
		return Short, st.mean, st.plannedSeconds()
	}
	return estimateDeclared(r, shortLimit)
}

// typicalSeconds returns the geometric mean of the run times of similar requests in
// seconds, or 0 if too few have finished. A few very slow requests change it less
// than the arithmetic mean.
func (e *runTimeEstimator) typicalSeconds(r Request) float64 {
	for _, key := range runTimeKeys(r) {
		if st := e.stats[key]; st != nil && st.samples >= minSamples {
			return math.Exp(st.meanLog)
		}
	}
	return 0
}

// estimateDeclared estimates class and run times from what the caller declared alone.
func estimateDeclared(r Request, shortLimit time.Duration) (c Class, mean, planned float64) {
	runTime := time.Duration(r.DeclaredMs) * time.Millisecond
	switch {
	case r.DeclaredClass == Long || runTime > shortLimit:
		c = Long
	default:
		c = Short
	}
	if runTime == 0 {
		runTime = shortLimit / 2
	}
	if r.DeclaredClass == Long {
		runTime = max(runTime, 2*shortLimit)
	}
	return c, runTime.Seconds(), runTime.Seconds()
}

// record records the run time of a finished request under all its keys.
func (e *runTimeEstimator) record(r Request, runTime, shortLimit time.Duration) {
	keys := runTimeKeys(r)
	for i, key := range keys {
		if i > 0 && key == keys[i-1] {
			continue
		}
		st := e.stats[key]
		if st == nil {
			st = &runTimeStats{}
			e.stats[key] = st
		}
		st.add(runTime.Seconds(), runTime > shortLimit)
	}
}
