package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const explainHelp = `Explain why a job is in its current state and what it waits for.`

// newExplain returns the command that explains a job's state.
func newExplain(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "explain JOB",
		Short:   "Explain the state of a job",
		Long:    explainHelp,
		Example: "  knapctl explain j-12",
		Args:    exactly("JOB"),
		RunE: show(a, func(ctx context.Context, o *client.Operator, args []string) (client.Explanation, error) {
			return o.Explain(ctx, args[0])
		}, explainTable),
	}
}

func explainTable(e client.Explanation) *table {
	t := &table{header: []string{"JOB", e.Job.ID, string(e.Job.State)}}
	t.add("reason", e.Reason, "")
	for _, m := range e.Job.Members {
		t.add("member", m.Index, m.Worker)
	}
	for _, b := range e.Blockers {
		t.add("waits for", b.WaitsFor, b.Reason)
	}
	return t
}
