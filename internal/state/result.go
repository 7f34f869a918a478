package state

import "github.com/knapweedlug/knapweedlug/pkg/model"

// Result is what Apply returns for every command. Err is nil or one of the
// package's errors, wrapped with the details.
type Result struct {
	Index    uint64 // log index of the command
	Err      error
	Plan     *model.Plan     // of PlanIntent and ConfirmPlan
	Job      *Job            // of PlaceJob, StartJob, StopJob and EndJob
	Claim    *ClaimResult    // of ClaimRequest and SettleClaim
	Refused  []ReportError   // of Report: the reports that were not taken in
	Refusals []model.Refusal // what was wrong with the input, by field
	Expired  int             // of Expire: records removed
	More     bool            // of Expire: more are due
}

func failed(err error) Result { return Result{Err: err} }
