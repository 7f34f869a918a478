package main

import (
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
		RunE: a.with(func(cmd *cobra.Command, o *client.Operator, _ []string) error {
			list, err := o.Services(cmd.Context())
			if err != nil {
				return err
			}
			return a.print(cmd, list, func() *table { return serviceTable(list) })
		}),
	}
}

func serviceTable(list client.ServiceList) *table {
	t := &table{head: []string{"SERVICE", "SHORT MS", "LIMIT MS", "RESERVE", "BODY MAX", "KEEP DAYS", "TEAMS"}}
	for _, s := range list.Services {
		t.add(s.Name, s.ShortMs, s.LimitMs, s.Reserve, s.BodyMax, s.KeepDays, strings.Join(s.Teams, ", "))
	}
	return t
}
