package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const jobsHelp = `List the jobs of all teams or of one team.`

// newJobs returns the command that lists jobs.
func newJobs(a *app) *cobra.Command {
	var team string
	cmd := &cobra.Command{
		Use:     "jobs",
		Short:   "List jobs",
		Long:    jobsHelp,
		Example: "  knapctl jobs --team linen --output json",
		Args:    exactly(),
		RunE: show(a, func(ctx context.Context, o *client.Operator, _ []string) (client.JobList, error) {
			return o.Jobs(ctx, team)
		}, func(list client.JobList) *table { return jobTable(list.Jobs...) }),
	}
	cmd.Flags().StringVar(&team, "team", "", "only jobs of this team")
	return cmd
}

func jobTable(jobs ...model.Job) *table {
	t := &table{header: []string{"JOB", "TEAM", "STATE", "URGENCY", "SHAPE", "SUBMITTED", "STARTED", "REASON"}}
	for _, j := range jobs {
		t.add(j.ID, j.Team, j.State, j.Urgency, j.Shape, j.Submitted, j.Started, j.Reason)
	}
	return t
}
