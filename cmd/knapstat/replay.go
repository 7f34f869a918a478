package main

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/diary"
)

const replayHelp = `Reads a day's log lines and plays its jobs again, on workers as fast as its runs show,
with the decisions of today and with baselines: first come first served, least work
first, priority. Prints what callers get, as shares of all worth and of two bounds that
no order can pass: each job alone on the fastest workers, and all within the room and
time there are. There is no network and there are no failures.

Worth is given by queue, as QUEUE=WORTH; without it every job of mean size counts 1.

  knapstat replay --worth r-a=4 --late r-a=0.8 day.log`

func newReplay() *cobra.Command {
	f := diary.ReplayParams{}
	worth, late := map[string]string{}, map[string]string{}
	cores, grace := int64(0), time.Duration(0)
	cmd := &cobra.Command{
		Use:   "replay [FILE]",
		Short: "Play a recorded day again with other decisions",
		Long:  replayHelp,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if f.ValueByQueue, err = numbers(worth); err != nil {
				return err
			}
			if f.LateValueByQueue, err = numbers(late); err != nil {
				return err
			}
			f.WorkerCapacity.CPU = cores * 1000
			d, err := readDay(cmd, args)
			if err != nil {
				return err
			}
			return diary.Compare(cmd.OutOrStdout(), d.Scenario(f), grace)
		},
	}
	fl := cmd.Flags()
	fl.StringToStringVar(&worth, "worth", nil, "worth of a job of mean size that is complete in time, by queue")
	fl.StringToStringVar(&late, "late", nil, "the same if it is late")
	fl.Int64Var(&cores, "cores", 32, "cores of a worker")
	fl.Int64Var(&f.WorkerCapacity.Memory, "memory", 131072, "MiB of a worker")
	fl.Int64Var(&f.WorkerCapacity.Accels, "accels", 8, "accelerators of a worker")
	fl.Float64Var(&f.RemoteFactor, "remote", 3, "how many times as long work takes over racks or far from its data")
	fl.Float64Var(&f.LostWorkCost, "waste", 0.0011, "price of a core-second thrown away, in units of worth")
	fl.DurationVar(&grace, "grace", time.Minute, "how long after the last job the play goes on")
	return cmd
}

func numbers(texts map[string]string) (map[string]float64, error) {
	m := map[string]float64{}
	for k, text := range texts {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v < 0 {
			return nil, errors.Newf("%s: %q is no worth", k, text)
		}
		m[k] = v
	}
	return m, nil
}
