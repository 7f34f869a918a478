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
	t := &table{header: []string{"TEAM", "SLOTS", "WEIGHT", "QUOTA", "GUARANTEES"}}
	for _, team := range teams {
		shapes := make([]string, 0, len(team.Guarantees))
		for _, g := range team.Guarantees {
			shapes = append(shapes, formatCell(g.Count)+" of "+g.Shape.String())
		}
		t.add(team.Name, team.Slots, team.Weight, team.Quota, strings.Join(shapes, ", "))
	}
	return t
}
