package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// SlotsPerServer is the number of slots of a backend server.
const SlotsPerServer = 8

// Server is a backend server whose speed drifts.
type Server struct {
	Index  int
	Base   float64 // speed without drift
	drift  float64
	period float64 // seconds
	phase  float64
}

// Speed returns the speed at a time, relative to 1.0.
func (s *Server) Speed(at time.Duration) float64 {
	return s.Base * math.Exp(s.drift*math.Sin(2*math.Pi*at.Seconds()/s.period+s.phase))
}

// newServers returns servers whose speeds are evenly distributed on a logarithmic
// scale, with the scenario's ratio between the fastest and the slowest.
func newServers(s Scenario) []*Server {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	servers := make([]*Server, s.Servers)
	for i := range servers {
		at := 0.5
		if s.Servers > 1 {
			at = float64(i) / float64(s.Servers-1)
		}
		servers[i] = &Server{
			Index:  i,
			Base:   math.Pow(s.Spread, at-0.5),
			drift:  s.Drift,
			period: 40 + 40*rng.Float64(),
			phase:  2 * math.Pi * rng.Float64(),
		}
	}
	return servers
}

// Capacity returns the work that all slots do per second, in seconds at speed 1.0.
func (s Scenario) Capacity() float64 {
	sum := 0.0
	for _, server := range newServers(s) {
		sum += SlotsPerServer * server.Base
	}
	return sum
}

// Start runs a job on a server, schedules a call of done for its end and returns
// the run time. The caller counts the free slots.
func (w *World) Start(s *Server, j *Job, done func()) time.Duration {
	w.runs[j]++
	took := time.Duration(j.Size / s.Speed(w.now) * float64(time.Second))
	w.After(took, done)
	return took
}
