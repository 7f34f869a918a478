package main

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/diary"
)

const replayHelp = `Reads a day's log lines and replays its jobs in a simulation, on workers of the speeds
seen in the log, with the current decisions and with baselines: first come first served,
least work first, priority. Prints the worth of the jobs that complete, as a share of
the total worth and of two upper bounds that no order of jobs can exceed: each job alone
on the fastest workers, and all jobs within the capacity and time available. Network and
failures are not simulated.

Worth is set per queue, as QUEUE=WORTH; by default a job of mean size is worth 1.

  knapstat replay --worth r-a=4 --late r-a=0.8 day.log`

func newReplay() *cobra.Command {
	params := diary.ReplayParams{}
	valueTexts, lateValueTexts := map[string]string{}, map[string]string{}
	cores, grace := int64(0), time.Duration(0)
	cmd := &cobra.Command{
		Use:   "replay [FILE]",
		Short: "Replay a recorded day with other decisions",
		Long:  replayHelp,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if params.ValueByQueue, err = parseValues(valueTexts); err != nil {
				return err
			}
			if params.LateValueByQueue, err = parseValues(lateValueTexts); err != nil {
				return err
			}
			params.WorkerCapacity.CPU = cores * 1000
			d, err := readDay(cmd, args)
			if err != nil {
				return err
			}
			return diary.Compare(cmd.OutOrStdout(), d.Scenario(params), grace)
		},
	}
	flags := cmd.Flags()
	flags.StringToStringVar(&valueTexts, "worth", nil, "worth of a job of mean size that completes by its deadline, per queue")
	flags.StringToStringVar(&lateValueTexts, "late", nil, "worth of a job of mean size that completes after its deadline, per queue")
	flags.Int64Var(&cores, "cores", 32, "cores per worker")
	flags.Int64Var(&params.WorkerCapacity.Memory, "memory", 131072, "memory per worker in MiB")
	flags.Int64Var(&params.WorkerCapacity.Accels, "accels", 8, "accelerators per worker")
	flags.Float64Var(&params.RemoteFactor, "remote", 3, "factor on the run time of work that spans racks or is far from its data")
	flags.Float64Var(&params.LostWorkCost, "waste", 0.0011, "cost of a wasted core-second, in units of worth")
	flags.DurationVar(&grace, "grace", time.Minute, "how long the replay continues after the last job")
	return cmd
}

func parseValues(textByQueue map[string]string) (map[string]float64, error) {
	valueByQueue := map[string]float64{}
	for queue, text := range textByQueue {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v < 0 {
			return nil, errors.Newf("%s: got %q, want a number of 0 or more", queue, text)
		}
		valueByQueue[queue] = v
	}
	return valueByQueue, nil
}
