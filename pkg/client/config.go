package client

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Config is the answer of GET /v1/config.
type Config struct {
	Revision uint64          `json:"revision"`
	Teams    []model.Team    `json:"teams"`
	Services []model.Service `json:"services"`
}

// Revision is one accepted change of the configuration.
type Revision struct {
	Revision uint64         `json:"revision"`
	At       time.Time      `json:"at"`
	Operator string         `json:"operator"`
	Intent   string         `json:"intent"`
	Plan     string         `json:"plan"`
	Changes  []model.Change `json:"changes,omitempty"`
}

// History is the answer of GET /v1/config/history, newest first.
type History struct {
	Revisions []Revision `json:"revisions"`
}

// Diff is the answer of GET /v1/config/diff.
type Diff struct {
	From    uint64         `json:"from"`
	To      uint64         `json:"to"`
	Changes []model.Change `json:"changes"`
}

// Process is the state of the configuration in one process.
type Process struct {
	Name     string    `json:"name"`
	Role     string    `json:"role"`
	Domain   string    `json:"domain,omitempty"`
	Revision uint64    `json:"revision"` // revision in force there
	Fresh    bool      `json:"fresh"`    // it learned the newest revision recently enough
	LastSeen time.Time `json:"seen"`     // time of its last report
}

// Status is the answer of GET /v1/config/status.
type Status struct {
	Revision  uint64    `json:"revision"` // newest accepted revision
	Processes []Process `json:"processes"`
}
