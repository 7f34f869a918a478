package client

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// GuaranteeLine is how one guaranteed shape of a team stands.
type GuaranteeLine struct {
	Team      string      `json:"team"`
	Shape     model.Shape `json:"shape"`
	Count     int         `json:"count"`     // how many are guaranteed
	InUse     int         `json:"inuse"`     // how many the team uses
	Claimable int         `json:"witnessed"` // how many of the rest could be claimed at once
	Shortfall     int         `json:"short"`     // how many can't be had at present
	Reason    string      `json:"reason,omitempty"`
}

// GuaranteeReport is the answer of GET /v1/reports/guarantees.
type GuaranteeReport struct {
	At       time.Time       `json:"at"`
	Revision uint64          `json:"revision"`
	Lines    []GuaranteeLine `json:"lines"`
}

// FragmentationLine says how many gangs of a shape fit into what is free.
type FragmentationLine struct {
	Shape string  `json:"shape"`
	Fits  int     `json:"fits"`
	Possible int     `json:"could"` // that the free accelerators would hold in another layout
	FragmentedShare  float64 `json:"kept"`  // share that only the layout keeps out
}

// FragmentationReport is the answer of GET /v1/reports/fragmentation.
type FragmentationReport struct {
	At    time.Time           `json:"at"`
	Free  int                 `json:"free"` // accelerators
	Lines []FragmentationLine `json:"lines"`
}
