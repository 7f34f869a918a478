package main

import (
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const jobsHelp = `List jobs, of all teams or of one.`

// newJobs returns the command that lists jobs.
func newJobs(a *app) *cobra.Command {
	var team string
	cmd := &cobra.Command{
		Use:     "jobs",
		Short:   "List jobs",
		Long:    jobsHelp,
		Example: "  knapctl jobs --team linen --output json",
		Args:    exactly(),
		RunE: a.with(func(cmd *cobra.Command, o *client.Operator, _ []string) error {
			list, err := o.Jobs(cmd.Context(), team)
			if err != nil {
				return err
			}
			return a.print(cmd, list, func() *table { return jobTable(list.Jobs...) })
		}),
	}
	cmd.Flags().StringVar(&team, "team", "", "only jobs of this team")
	return cmd
}

func jobTable(jobs ...model.Job) *table {
	t := &table{head: []string{"JOB", "TEAM", "STATE", "URGENCY", "SHAPE", "SUBMITTED", "STARTED", "REASON"}}
	for _, j := range jobs {
		t.add(j.ID, j.Team, j.State, j.Urgency, j.Shape, j.Submitted, j.Started, j.Reason)
	}
	return t
}
