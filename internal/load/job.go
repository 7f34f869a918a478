package load

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Job is one request of a scenario.
type Job struct {
	ID       string
	Entry    int
	Team     string
	Urgency  model.Urgency
	Arrival   time.Duration
	Deadline time.Duration // zero means none
	Size     float64       // seconds at speed 1.0; hidden from every policy but the oracle
	Long     bool          // its true class, for the figures
	DeclaredClass admit.Class
	DeclaredSizeMs   int64 // declared size
}

// Scenario is a list of arrivals and the fleet that they meet.
type Scenario struct {
	Name    string
	Seed    uint64
	Jobs    []Job
	EntryCount int
	ServerCount int
	SpeedSpread  float64 // ratio of the fastest speed to the slowest
	SpeedDrift   float64 // largest logarithm by which a speed drifts
	Teams   []model.Team
	Service model.Service
}
