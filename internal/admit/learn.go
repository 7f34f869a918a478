package admit

import (
	"math"
	"math/bits"
	"time"
)

// Learning constants of a sizeStat.
const (
	sizeGain    = 0.05 // weight of a new sample
	minSamples  = 8    // samples after which what is learned replaces what is declared
	longShare   = 0.5  // a kind of request is long if more than this share of it is
	minSeconds  = 1e-6 // shortest run time that is told apart
	spreadLimit = 1.0  // deviations added to the mean for the planned run time
)

// sizeKey identifies requests that are expected to have like sizes.
type sizeKey struct {
	service, team string
	declared      Class
	bucket        int // binary logarithm of the declared size; 0 means none
}

// sizeStat is the learned run time of one kind of request, in seconds at the
// mean speed of the fleet.
type sizeStat struct {
	n     int
	mean  float64
	dev   float64 // mean absolute deviation
	pLong float64 // share that ran longer than the short limit
	log   float64 // mean natural logarithm
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

func (s *sizeStat) planned() float64 { return s.mean + spreadLimit*s.dev }

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

// sizes learns run times from finished requests.
type sizes struct {
	stats map[sizeKey]*sizeStat
}

// sizeKeys returns the kinds that a request belongs to, from the narrowest to
// the widest. A wide kind is learned sooner than a narrow one.
func sizeKeys(r Request) [3]sizeKey {
	narrow := sizeKey{service: r.Service, team: r.Team, declared: r.DeclaredClass, bucket: bits.Len64(uint64(r.DeclaredMs))}
	service := narrow
	service.team = ""
	size := service
	size.declared = ""
	if r.DeclaredMs == 0 {
		size = service // without a size there is nothing left to tell requests apart
	}
	return [3]sizeKey{narrow, service, size}
}

// judge returns the class of a request, its expected run time and the run time
// to plan with, both in seconds.
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

// typical returns the geometric mean of the run times of the request's kind in
// seconds, or 0 if it isn't known yet. Unlike the mean it isn't moved by a few
// stragglers.
func (s *sizes) typical(r Request) float64 {
	for _, key := range sizeKeys(r) {
		if st := s.stats[key]; st != nil && st.n >= minSamples {
			return math.Exp(st.log)
		}
	}
	return 0
}

func declared(r Request, shortLimit time.Duration) (c Class, mean, planned float64) {
	size := time.Duration(r.DeclaredMs) * time.Millisecond
	switch {
	case r.DeclaredClass == Long || size > shortLimit:
		c = Long
	default:
		c = Short
	}
	if size == 0 {
		size = shortLimit / 2
	}
	if r.DeclaredClass == Long {
		size = max(size, 2*shortLimit)
	}
	return c, size.Seconds(), size.Seconds()
}

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
