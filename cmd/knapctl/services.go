package main

import (
	"context"
	"strings"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const servicesHelp = `List services with their limits.`

// newServices returns the command that lists services.
func newServices(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "services",
		Short:   "List services",
		Long:    servicesHelp,
		Example: "  knapctl services",
		Args:    exactly(),
		RunE: show(a, func(ctx context.Context, o *client.Operator, _ []string) (client.ServiceList, error) {
			return o.Services(ctx)
		}, serviceTable),
	}
}

func serviceTable(list client.ServiceList) *table {
	t := &table{header: []string{"SERVICE", "SHORT MS", "LIMIT MS", "RESERVE", "BODY MAX", "KEEP DAYS", "TEAMS"}}
	for _, s := range list.Services {
		t.add(s.Name, s.ShortMs, s.LimitMs, s.Reserve, s.MaxBodyBytes, s.KeepDays, strings.Join(s.Teams, ", "))
	}
	return t
}
