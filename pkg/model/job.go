package model

import "time"

// Urgency orders work within a team.
type Urgency string

// The urgencies, in the order in which they are served.
const (
	Urgent Urgency = "urgent"
	Normal Urgency = "normal"
	Low    Urgency = "low"
)

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"    // accepted, waits for accelerators
	JobPreparing JobState = "preparing" // leases are being taken on its workers
	JobRunning   JobState = "running"   // every member was told to start
	JobStopping  JobState = "stopping"  // members are being checkpointed and stopped
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == JobDone || s == JobFailed || s == JobCancelled
}

// Member is one part of a gang on one worker.
type Member struct {
	Index  int    `json:"index"`
	Worker string `json:"worker"`
}

// Job is a gang of one or more members that are started together or not at all.
type Job struct {
	ID         string    `json:"id" validate:"label"`
	Team       string    `json:"team" validate:"required,max=128"`
	Shape      Shape     `json:"shape"`
	Urgency    Urgency   `json:"urgency" validate:"omitempty,oneof=urgent normal low"`
	Command    string    `json:"command" validate:"required,max=65536"`
	Deadline   time.Time `json:"deadline,omitzero"`           // when it must have ended; zero means no deadline
	EstimateMs int64     `json:"estimatems" validate:"min=0"` // declared run time at speed 1.0, in milliseconds
	Stoppable  bool      `json:"stoppable"`                   // may be checkpointed and stopped when a guarantee reclaims its accelerators
	Idempotent bool      `json:"idempotent"`                  // may be started again after an unknown outcome

	State     JobState  `json:"state,omitempty"`
	Reason    string    `json:"reason,omitempty"` // why it waits, failed or was stopped
	Epoch     uint64    `json:"epoch,omitempty"`  // fencing epoch of its current leases
	Members   []Member  `json:"members,omitempty"`
	Borrowed  bool      `json:"borrowed,omitempty"` // runs outside its team's guarantee
	Attempts  int       `json:"attempts,omitempty"`
	FailedOn  []string  `json:"failedon,omitempty"` // workers on which a member failed, in order
	Submitted time.Time `json:"submitted,omitzero"`
	Started   time.Time `json:"started,omitzero"`
	Ended     time.Time `json:"ended,omitzero"`
}

// WithState returns a copy of the job with another state and the reason for it.
func (j Job) WithState(s JobState, reason string) Job {
	j.State = s
	j.Reason = reason
	return j
}
