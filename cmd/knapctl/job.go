package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
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
		RunE: show(a, func(ctx context.Context, o *client.Operator, args []string) (model.Job, error) {
			return o.Job(ctx, args[0])
		}, func(job model.Job) *table { return jobTable(job) }),
	}
}
