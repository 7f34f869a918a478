package main

import (
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const jobHelp = `Show one job.`

// newJob returns the command that shows a job.
func newJob(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "job JOB",
		Short:   "Show one job",
		Long:    jobHelp,
		Example: "  knapctl job j-12 --output json",
		Args:    exactly("JOB"),
		RunE: a.with(func(cmd *cobra.Command, o *client.Operator, args []string) error {
			job, err := o.Job(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return a.print(cmd, job, func() *table { return jobTable(job) })
		}),
	}
}
