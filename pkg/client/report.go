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
	Witnessed int         `json:"witnessed"` // how many of the rest could be claimed at once
	Short     int         `json:"short"`     // how many can't be had at present
	Reason    string      `json:"reason,omitempty"`
}

// GuaranteeReport is the answer of GET /v1/reports/guarantees.
type GuaranteeReport struct {
	At       time.Time       `json:"at"`
	Revision uint64          `json:"revision"`
	Lines    []GuaranteeLine `json:"lines"`
}

// FragmentationLine is how scattered the free accelerators of one kind are in
// one region.
type FragmentationLine struct {
	Region        string `json:"region"`
	Kind          string `json:"kind"`
	Accels        int    `json:"accels"`
	Free          int    `json:"free"`
	WholeWorkers  int    `json:"wholeworkers"`  // workers with every accelerator free
	LargestWorker int    `json:"largestworker"` // free accelerators on one worker, at most
	LargestRack   int    `json:"largestrack"`   // in one rack, at most
	LargestDomain int    `json:"largestdomain"` // in one failure domain, at most
}

// FragmentationReport is the answer of GET /v1/reports/fragmentation.
type FragmentationReport struct {
	At    time.Time           `json:"at"`
	Lines []FragmentationLine `json:"lines"`
}
