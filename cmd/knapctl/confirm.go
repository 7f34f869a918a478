package main

import (
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const confirmHelp = `Confirm a plan. Its changes are committed unless another change came first (exit
code 3). Confirming a plan that is already confirmed has no effect.`

// newConfirm returns the command that confirms a plan.
func newConfirm(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "confirm PLAN",
		Short:   "Confirm a plan",
		Long:    confirmHelp,
		Example: "  knapctl confirm p-17",
		Args:    exactly("PLAN"),
		RunE: a.withOperator(func(cmd *cobra.Command, o *client.Operator, args []string) error {
			return a.confirmPlan(cmd, o, args[0])
		}),
	}
}
