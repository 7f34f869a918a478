// Command knapload measures the routing policies against each other. It prints
// a table of medians and spreads and writes every figure to a CSV file.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

const help = `Measures the routing policy and its baselines on the same arrivals.

The Gradinka scenario mixes short checks with 30% renders at 80% load. The
crest scenario offers three times the capacity for a minute. Each runs once for
each seed; the table gives the median and, in brackets, the lowest and highest
value over the seeds.`

func main() {
	var first, seeds int
	var plot string
	cmd := &cobra.Command{
		Use:          "knapload",
		Short:        "Measures the routing policy and its baselines",
		Long:         help,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.OutOrStdout(), first, seeds, plot)
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 5, "number of seeds")
	cmd.Flags().IntVar(&first, "first", 1, "first seed")
	cmd.Flags().StringVar(&plot, "plot", "", "CSV file for every figure and the timeline of the crest")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}
