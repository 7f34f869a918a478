package admit

import (
	"math"
	"math/bits"
	"time"
)

// Parameters of the run time estimates.
const (
	sizeGain    = 0.05 // smoothing factor: weight of a new sample
	minSamples  = 8    // number of samples from which the measured run time replaces the declared one
	longShare   = 0.5  // requests of a key are long if more than this fraction of the samples was
	minSeconds  = 1e-6 // lower bound for the logarithm of a run time
	spreadLimit = 1.0  // number of mean deviations added to the mean for the planned run time
)

// sizeKey identifies requests that are expected to have similar run times.
type sizeKey struct {
	service, team string
	declared      Class
	bucket        int // bit length of the declared run time in milliseconds; 0 means none declared
}

// sizeStat holds moving averages of the run times of the requests of one key, in
// seconds at the mean speed of the fleet.
type sizeStat struct {
	n     int
	mean  float64
	dev   float64 // mean absolute deviation
	pLong float64 // fraction that ran longer than the short limit
	log   float64 // mean of the natural logarithm
}

func (s *sizeStat) add(seconds float64, long bool) {
	gain := max(sizeGain, 1/float64(s.n+1))
	s.n++
	diff := seconds - s.mean
	s.mean += gain * diff
	s.dev += gain * (abs(diff) - s.dev)
	s.log += gain * (math.Log(max(seconds, minSeconds)) - s.log)
	sample := 0.0
	if long {
		sample = 1
	}
	s.pLong += gain * (sample - s.pLong)
}

// planned returns the run time to plan with: the mean plus a margin for its
// variation.
func (s *sizeStat) planned() float64 { return s.mean + spreadLimit*s.dev }

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

// sizes estimates run times from those of finished requests.
type sizes struct {
	stats map[sizeKey]*sizeStat
}

// sizeKeys returns the keys that a request belongs to, from the most specific to
// the most general. A general key reaches minSamples sooner.
func sizeKeys(r Request) [3]sizeKey {
	narrow := sizeKey{service: r.Service, team: r.Team, declared: r.Declared, bucket: bits.Len64(uint64(r.SizeMs))}
	service := narrow
	service.team = ""
	size := service
	size.declared = ""
	if r.SizeMs == 0 {
		size = service // without the declared class, too, requests could not be told apart
	}
	return [3]sizeKey{narrow, service, size}
}

// judge returns the class of a request, its mean run time and the run time to
// plan with, both in seconds.
func (s *sizes) judge(r Request, shortLimit time.Duration) (c Class, mean, planned float64) {
	for _, key := range sizeKeys(r) {
		st := s.stats[key]
		if st == nil || st.n < minSamples {
			continue
		}
		if st.pLong > longShare {
			return Long, st.mean, st.planned()
		}
		return Short, st.mean, st.planned()
	}
	return declared(r, shortLimit)
}

// typical returns the geometric mean of the run times of similar requests in
// seconds, or 0 if too few have finished. A few very slow requests change it less
// than the arithmetic mean.
func (s *sizes) typical(r Request) float64 {
	for _, key := range sizeKeys(r) {
		if st := s.stats[key]; st != nil && st.n >= minSamples {
			return math.Exp(st.log)
		}
	}
	return 0
}

// declared estimates class and run times from what the caller declared alone.
func declared(r Request, shortLimit time.Duration) (c Class, mean, planned float64) {
	size := time.Duration(r.SizeMs) * time.Millisecond
	switch {
	case r.Declared == Long || size > shortLimit:
		c = Long
	default:
		c = Short
	}
	if size == 0 {
		size = shortLimit / 2
	}
	if r.Declared == Long {
		size = max(size, 2*shortLimit)
	}
	return c, size.Seconds(), size.Seconds()
}

// learn records the run time of a finished request under all its keys.
func (s *sizes) learn(r Request, took, shortLimit time.Duration) {
	keys := sizeKeys(r)
	for i, key := range keys {
		if i > 0 && key == keys[i-1] {
			continue
		}
		st := s.stats[key]
		if st == nil {
			st = &sizeStat{}
			s.stats[key] = st
		}
		st.add(took.Seconds(), took > shortLimit)
	}
}
