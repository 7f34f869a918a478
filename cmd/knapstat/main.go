// Command knapstat evaluates scheduling decisions: it compares placement policies
// on random arrivals, reports on a day's jobs from its logs, and replays a
// recorded day.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newRoot().Execute(); err != nil {
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:          "knapstat",
		Short:        "Evaluate scheduling decisions, in simulations and from logs",
		SilenceUsage: true,
	}
	root.AddCommand(newPolicies(), newDay(), newReplay())
	return root
}
