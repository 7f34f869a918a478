package main

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/diary"
)

const dayHelp = `Reads the log lines of all processes of a day, from a file or standard input, and
prints for each queue what became of its jobs and where their time went: accepting
the call, waiting for the first start, the order's way, the run, runs before the last,
noticing the end. Then the longest jobs, with what plans decided about them. What comes
before the JSON of a line is passed over.

  knapstat day day.log
  knapstat day --chart day.svg day.log`

func newDay() *cobra.Command {
	chart := ""
	cmd := &cobra.Command{
		Use:   "day [FILE]",
		Short: "Report what became of a day's jobs",
		Long:  dayHelp,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := readDay(cmd, args)
			if err != nil {
				return err
			}
			if chart != "" {
				if err := writeChart(d, chart); err != nil {
					return err
				}
			}
			return d.Report(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&chart, "chart", "", "file for a picture (SVG) of workers and jobs over time")
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
		defer func() { _ = f.Close() }() // only read
		in = f
	}
	return diary.Read(in)
}

func writeChart(d *diary.DayLog, name string) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create the picture")
	}
	d.Chart(f)
	return errors.Wrap(f.Close(), "write the picture")
}
