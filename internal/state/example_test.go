package state_test

import (
	"fmt"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/state"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// An operator submits an intent, reads the plan and confirms it.
func Example() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	s := state.New()
	apply := func(index uint64, c state.Command) state.Result {
		c.Term, c.Now = 1, now
		b, err := state.Encode(c)
		if err != nil {
			return state.Result{Err: err}
		}
		return s.Apply(index, b).(state.Result)
	}
	in := model.Intent{ID: "1", Operator: "ann", Ops: []model.Op{
		{Kind: model.OpSetTeam, Team: &model.Team{Name: "linen", Weight: 2}},
	}}
	r := apply(1, state.Command{Plan: &state.PlanIntent{Intent: in, Deadline: now.Add(time.Minute)}})
	fmt.Println(r.Plan.State, r.Plan.Changes[0].Subject, "base", r.Plan.BaseRevision)
	r = apply(2, state.Command{Confirm: &state.ConfirmPlan{PlanID: r.Plan.ID, Operator: "ann"}})
	fmt.Println(r.Plan.State, "revision", r.Plan.Revision)
	// Output:
	// open team linen base 0
	// confirmed revision 1
}
