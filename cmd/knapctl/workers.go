package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/pkg/client"
)

const workersHelp = `List workers with their location, size, speed and state.`

// newWorkers returns the command that lists workers.
func newWorkers(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "workers",
		Short:   "List workers",
		Long:    workersHelp,
		Example: "  knapctl workers --output json",
		Args:    exactly(),
		RunE: show(a, func(ctx context.Context, o *client.Operator, _ []string) (client.WorkerList, error) {
			return o.Workers(ctx)
		}, workerTable),
	}
}

func workerTable(list client.WorkerList) *table {
	t := &table{header: []string{"WORKER", "STATE", "RACK", "DOMAIN", "REGION", "CORES", "MEMORY GIB", "ACCELS", "KIND", "SPEED"}}
	for _, w := range list.Workers {
		t.add(w.Name, w.State, w.Rack, w.Domain, w.Region, w.Cores, w.Memory>>30, w.Accels, w.Kind, w.Speed)
	}
	return t
}
