package main

import (
	"context"
	"strings"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const teamsHelp = `List teams with their slots, weights, quotas and guarantees.`

// newTeams returns the command that lists teams.
func newTeams(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "teams",
		Short:   "List teams",
		Long:    teamsHelp,
		Example: "  knapctl teams",
		Args:    exactly(),
		RunE: show(a, func(ctx context.Context, o *client.Operator, _ []string) (client.TeamList, error) {
			return o.Teams(ctx)
		}, func(list client.TeamList) *table { return teamTable(list.Teams) }),
	}
}

func teamTable(teams []model.Team) *table {
	t := &table{head: []string{"TEAM", "SLOTS", "WEIGHT", "QUOTA", "GUARANTEES"}}
	for _, m := range teams {
		shapes := make([]string, 0, len(m.Guarantees))
		for _, g := range m.Guarantees {
			shapes = append(shapes, cell(g.Count)+" of "+g.Shape.String())
		}
		t.add(m.Name, m.Slots, m.Weight, m.Quota, strings.Join(shapes, ", "))
	}
	return t
}
