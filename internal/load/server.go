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
	BaseSpeed   float64 // speed without drift
	drift  float64
	period float64 // seconds
	phase  float64
}

// Speed returns the speed at a time, relative to 1.0.
func (s *Server) Speed(at time.Duration) float64 {
	return s.BaseSpeed * math.Exp(s.drift*math.Sin(2*math.Pi*at.Seconds()/s.period+s.phase))
}

// newServers spreads speeds evenly on a logarithmic scale over the spread.
func newServers(s Scenario) []*Server {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	servers := make([]*Server, s.ServerCount)
	for i := range servers {
		at := 0.5
		if s.ServerCount > 1 {
			at = float64(i) / float64(s.ServerCount-1)
		}
		servers[i] = &Server{
			Index:  i,
			BaseSpeed:   math.Pow(s.SpeedSpread, at-0.5),
			drift:  s.SpeedDrift,
			period: 40 + 40*rng.Float64(),
			phase:  2 * math.Pi * rng.Float64(),
		}
	}
	return servers
}

// Capacity returns the work per second that all slots of the scenario do.
func (s Scenario) Capacity() float64 {
	sum := 0.0
	for _, server := range newServers(s) {
		sum += SlotsPerServer * server.BaseSpeed
	}
	return sum
}

// Start runs a job on a server and calls done when it ends. The caller keeps
// count of the slots.
func (w *Simulation) Start(s *Server, j *Job, done func()) time.Duration {
	w.runs[j]++
	took := time.Duration(j.Size / s.Speed(w.now) * float64(time.Second))
	w.After(took, done)
	return took
}
