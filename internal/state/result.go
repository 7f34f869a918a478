package state

import "github.com/knapweedlug/knapweedlug/pkg/model"

// Result is the result of applying a command. Err is nil or wraps one of the
// package's errors.
type Result struct {
	Index    uint64 // log index of the command
	Err      error
	Plan     *model.Plan     // for PlanIntent and ConfirmPlan
	Job      *Job            // for PlaceJob, StartJob, StopJob and EndJob
	Claim    *ClaimResult    // for ClaimRequest and SettleClaim
	Refused  []ReportError   // for Report: errors of the member reports that were rejected
	Refusals []model.Refusal // invalid fields of the input
	Expired  int             // for Expire: number of deadlines processed
	More     bool            // for Expire: more deadlines have passed; another Expire is needed
}

func errorResult(err error) Result { return Result{Err: err} }
