package main

import (
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const planHelp = `Show a plan: what it changes, which jobs it would stop, which guarantees it affects,
and why it was refused.`

// newPlan returns the command that shows a plan.
func newPlan(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "plan PLAN",
		Short:   "Show a plan",
		Long:    planHelp,
		Example: "  knapctl plan p-17 --output json",
		Args:    exactly("PLAN"),
		RunE: a.withOperator(func(cmd *cobra.Command, o *client.Operator, args []string) error {
			plan, err := o.Plan(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return a.printPlan(cmd, plan)
		}),
	}
}
