package sched

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Kind is the action of a decision.
type Kind string

// The kinds of decisions.
const (
	Place      Kind = "place"      // start the whole gang on Members
	Stop       Kind = "stop"       // stop the whole gang, then queue it again
	Fail       Kind = "fail"       // the job can't run; it ends as failed
	Quarantine Kind = "quarantine" // start no work on the worker except probes
	Probe      Kind = "probe"      // probe the worker and report to ProbeResult
	Release    Kind = "release"    // the worker is ready again
)

// Decision is one action for the caller to commit and carry out.
type Decision struct {
	Kind       Kind           `json:"kind"`
	Job        string         `json:"job,omitempty"`        // id; set for Place, Stop and Fail
	Worker     string         `json:"worker,omitempty"`     // name; set for Quarantine, Probe and Release
	Members    []model.Member `json:"members,omitempty"`    // members of the gang with their workers; set for Place
	Borrowed   bool           `json:"borrowed,omitempty"`   // the gang runs outside its team's guarantee
	Checkpoint bool           `json:"checkpoint,omitempty"` // the gang writes a checkpoint before it stops
	Deadline   time.Time      `json:"deadline,omitzero"`    // time by which the gang must have stopped; set for Stop
	Reason     string         `json:"reason"`               // why the decision was made, for operators
}
