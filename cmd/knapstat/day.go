package main

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/diary"
)

const dayHelp = `Reads one day's log lines of all processes, from a file or standard input, and prints
for each queue how its jobs ended and how their time was spent: accepting the call,
waiting for the first start, delivering the start order, the last run, earlier runs, and
detecting the end. It then prints the longest jobs with the plans' decisions about them.
Text before the JSON of a line is ignored.

  knapstat day day.log
  knapstat day --chart day.svg day.log`

func newDay() *cobra.Command {
	chartPath := ""
	cmd := &cobra.Command{
		Use:   "day [FILE]",
		Short: "Report how a day's jobs ended and how their time was spent",
		Long:  dayHelp,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := readDay(cmd, args)
			if err != nil {
				return err
			}
			if chartPath != "" {
				if err := writeChart(d, chartPath); err != nil {
					return err
				}
			}
			return d.Report(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&chartPath, "chart", "", "SVG file to write, a chart of workers and jobs over time")
	return cmd
}

// readDay reads the log named by the arguments, or standard input.
func readDay(cmd *cobra.Command, args []string) (*diary.DayLog, error) {
	in := cmd.InOrStdin()
	if len(args) == 1 {
		f, err := os.Open(args[0])
		if err != nil {
			return nil, errors.Wrap(err, "open the log")
		}
		defer func() { _ = f.Close() }() // opened for reading only
		in = f
	}
	return diary.Read(in)
}

func writeChart(d *diary.DayLog, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the chart")
	}
	d.Chart(f)
	return errors.Wrap(f.Close(), "write the chart")
}
