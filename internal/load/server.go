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
	Index          int
	BaseSpeed      float64 // speed without drift
	driftAmplitude float64
	driftPeriod    float64 // seconds
	driftPhase     float64
}

// Speed returns the speed at a time, relative to 1.0.
func (s *Server) Speed(at time.Duration) float64 {
	return s.BaseSpeed * math.Exp(s.driftAmplitude*math.Sin(2*math.Pi*at.Seconds()/s.driftPeriod+s.driftPhase))
}

// newServers returns servers whose speeds are evenly distributed on a logarithmic
// scale, with the scenario's ratio between the fastest and the slowest.
func newServers(s Scenario) []*Server {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	servers := make([]*Server, s.ServerCount)
	for i := range servers {
		position := 0.5
		if s.ServerCount > 1 {
			position = float64(i) / float64(s.ServerCount-1)
		}
		servers[i] = &Server{
			Index:          i,
			BaseSpeed:      math.Pow(s.SpeedSpread, position-0.5),
			driftAmplitude: s.SpeedDrift,
			driftPeriod:    40 + 40*rng.Float64(),
			driftPhase:     2 * math.Pi * rng.Float64(),
		}
	}
	return servers
}

// Capacity returns the work that all slots do per second, in seconds at speed 1.0.
func (s Scenario) Capacity() float64 {
	sum := 0.0
	for _, server := range newServers(s) {
		sum += SlotsPerServer * server.BaseSpeed
	}
	return sum
}

// Start runs a job on a server, schedules a call of done for its end and returns
// the run time. The caller counts the free slots.
func (sim *Simulation) Start(s *Server, j *Job, done func()) time.Duration {
	sim.starts[j]++
	runTime := time.Duration(j.Size / s.Speed(sim.now) * float64(time.Second))
	sim.After(runTime, done)
	return runTime
}
