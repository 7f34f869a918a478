// Command knapload compares routing policies in a simulation. It prints a table
// of medians and ranges and can write every value to a CSV file.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

const longHelp = `Compares the routing policy with baseline policies on the same sequence of requests.

The Gradinka scenario mixes short checks with 30% renders at 80% load. The crest
scenario is an overload of three times the capacity for one minute. Each scenario
runs once per seed; the table shows the median and, in brackets, the minimum and
maximum over the seeds.`

func main() {
	var firstSeed, seedCount int
	var csvPath string
	cmd := &cobra.Command{
		Use:          "knapload",
		Short:        "Compare the routing policy with baseline policies",
		Long:         longHelp,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runScenarios(cmd.OutOrStdout(), firstSeed, seedCount, csvPath)
		},
	}
	cmd.Flags().IntVar(&seedCount, "seeds", 5, "number of seeds")
	cmd.Flags().IntVar(&firstSeed, "first", 1, "first seed")
	cmd.Flags().StringVar(&csvPath, "plot", "", "CSV file to write, with every value and the timeline of the crest scenario")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}
