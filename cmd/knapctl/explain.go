package main

import (
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const explainHelp = `Say why a job is where it is, and what it waits for.`

// newExplain returns the command that explains a job's state.
func newExplain(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "explain JOB",
		Short:   "Say why a job is where it is",
		Long:    explainHelp,
		Example: "  knapctl explain j-12",
		Args:    exactly("JOB"),
		RunE: a.with(func(cmd *cobra.Command, o *client.Operator, args []string) error {
			e, err := o.Explain(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return a.print(cmd, e, func() *table { return explainTable(e) })
		}),
	}
}

func explainTable(e client.Explanation) *table {
	t := &table{head: []string{"JOB", e.Job.ID, string(e.Job.State)}}
	t.add("reason", e.Reason, "")
	for _, m := range e.Job.Members {
		t.add("member", m.Index, m.Worker)
	}
	for _, b := range e.Blockers {
		t.add("waits for", b.What, b.Why)
	}
	return t
}
