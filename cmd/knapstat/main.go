// Command knapstat measures decisions: placement policies on drawn arrivals, what
// became of a day's jobs by its logs, and a recorded day played again.
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
		Short:        "Measure decisions, and days by their logs",
		SilenceUsage: true,
	}
	root.AddCommand(newPolicies(), newDay(), newReplay())
	return root
}
