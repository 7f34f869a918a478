package main

import (
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const cancelHelp = `Cancel jobs, all in one intent. Running jobs are stopped.`

// newCancel returns the command that cancels jobs.
func newCancel(a *app) *cobra.Command {
	var flags proposeFlags
	cmd := &cobra.Command{
		Use:     "cancel JOB...",
		Short:   "Cancel jobs",
		Long:    cancelHelp,
		Example: "  knapctl cancel j-12 j-13 --confirm",
		Args:    atLeastOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			ops := make([]model.Op, 0, len(args))
			for _, id := range args {
				ops = append(ops, model.Op{Kind: model.OpCancelJob, Name: id})
			}
			return a.propose(cmd, flags, model.Intent{Ops: ops})
		},
	}
	flags.addFlags(cmd)
	return cmd
}
