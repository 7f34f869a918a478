package sched

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Kind names what a decision does.
type Kind string

// The kinds of decisions.
const (
	Place      Kind = "place"      // start the whole gang on Members
	Stop       Kind = "stop"       // stop the whole gang, then queue it again
	Fail       Kind = "fail"       // the job can't run; it ends as failed
	Quarantine Kind = "quarantine" // give the worker nothing but probes
	Probe      Kind = "probe"      // try the worker; answer by ProbeResult
	Release    Kind = "release"    // the worker is ready again
)

// Decision is one step for the caller to commit and carry out.
type Decision struct {
	Kind       Kind           `json:"kind"`
	Job        string         `json:"job,omitempty"`
	Worker     string         `json:"worker,omitempty"`
	Members    []model.Member `json:"members,omitempty"`
	Borrowed   bool           `json:"borrowed,omitempty"`   // the gang runs outside its team's guarantee
	Checkpoint bool           `json:"checkpoint,omitempty"` // checkpoint before the stop
	Deadline   time.Time      `json:"deadline,omitzero"`    // when a stop must have ended
	Reason     string         `json:"reason"`
}
