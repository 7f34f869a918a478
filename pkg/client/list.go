package client

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Confirm is the body of POST /v1/plans/{id}/confirm.
type Confirm struct {
	Operator string `json:"operator"`
}

// TeamList is the answer of GET /v1/teams.
type TeamList struct {
	Teams []model.Team `json:"teams"`
}

// ServiceList is the answer of GET /v1/services.
type ServiceList struct {
	Services []model.Service `json:"services"`
}

// JobList is the answer of GET /v1/jobs.
type JobList struct {
	Jobs []model.Job `json:"jobs"`
}

// WorkerList is the answer of GET /v1/workers.
type WorkerList struct {
	Workers []model.Worker `json:"workers"`
}

// Blocker is one of the things that a job waits for.
type Blocker struct {
	WaitsFor string `json:"what"` // what the job waits for, for example "guarantee of team linen"
	Reason   string `json:"why"`
}

// Explanation is the answer of GET /v1/jobs/{id}/explain: why a job is in its
// state.
type Explanation struct {
	Job      model.Job `json:"job"`
	Reason   string    `json:"reason"`
	Needs    []string  `json:"needs,omitempty"`   // conditions, any one of which lets it start
	Earliest time.Time `json:"earliest,omitzero"` // earliest time at which it is expected to start
	Blockers []Blocker `json:"blockers,omitempty"`
}
