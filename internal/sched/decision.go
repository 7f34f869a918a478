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
	Job        string         `json:"job,omitempty"`
	Worker     string         `json:"worker,omitempty"`
	Members    []model.Member `json:"members,omitempty"`
	Borrowed   bool           `json:"borrowed,omitempty"`   // the gang runs outside its team's guarantee
	Checkpoint bool           `json:"checkpoint,omitempty"` // the gang writes a checkpoint before it stops
	Deadline   time.Time      `json:"deadline,omitzero"`    // by which a stop must have completed
	Reason     string         `json:"reason"`
}
