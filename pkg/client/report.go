package client

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// GuaranteeLine reports how much of one guaranteed shape of a team is used and available.
type GuaranteeLine struct {
	Team      string      `json:"team"`
	Shape     model.Shape `json:"shape"`
	Count     int         `json:"count"`     // how many are guaranteed
	InUse     int         `json:"inuse"`     // how many the team uses
	Claimable int         `json:"witnessed"` // how many of the unused ones could be claimed at once
	Shortfall int         `json:"short"`     // how many can't be provided at present
	Reason    string      `json:"reason,omitempty"`
}

// GuaranteeReport is the answer of GET /v1/reports/guarantees.
type GuaranteeReport struct {
	At       time.Time       `json:"at"`
	Revision uint64          `json:"revision"`
	Lines    []GuaranteeLine `json:"lines"`
}

// FragmentationLine reports how many gangs of a shape fit into the free accelerators.
type FragmentationLine struct {
	Shape           string  `json:"shape"`
	Fits            int     `json:"fits"`  // number of gangs that fit at present
	Possible        int     `json:"could"` // number that would fit if the free accelerators were not scattered
	FragmentedShare float64 `json:"kept"`  // share of Possible that doesn't fit because of fragmentation
}

// FragmentationReport is the answer of GET /v1/reports/fragmentation.
type FragmentationReport struct {
	At    time.Time           `json:"at"`
	Free  int                 `json:"free"` // free accelerators
	Lines []FragmentationLine `json:"lines"`
}
