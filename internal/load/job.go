package load

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/admit"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Job is one request of a scenario.
type Job struct {
	ID             string
	Entry          int // index of the entry at which it arrives
	Team           string
	Urgency        model.Urgency
	Arrival        time.Duration
	Deadline       time.Duration // zero means none
	Size           float64       // run time at speed 1.0, in seconds; only the oracle uses it to decide
	Long           bool          // true class, used for the measurements only
	DeclaredClass  admit.Class
	DeclaredSizeMs int64 // declared run time at speed 1.0
}

// Scenario is a list of arriving jobs and the fleet that serves them.
type Scenario struct {
	Name        string
	Seed        uint64
	Jobs        []Job
	EntryCount  int     // number of entries
	ServerCount int     // number of backend servers
	SpeedSpread float64 // ratio of the fastest speed to the slowest
	SpeedDrift  float64 // amplitude of the drift of a speed, as a natural logarithm
	Teams       []model.Team
	Service     model.Service
}
