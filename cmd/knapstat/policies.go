package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/knapweedlug/knapweedlug/internal/sched/drive"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const policiesHelp = `Simulates scheduling with each placement policy on random arrivals, one run per seed,
and prints the median and the range over the seeds. Only the decisions are run: there
is no cluster and no network. The decision times depend on this machine.`

// comparison holds the flags of one comparison.
type comparison struct {
	fleet    string
	workers  int
	seeds    int
	jobs     int
	load     float64
	csv      bool
	policies []string
}

func newPolicies() *cobra.Command {
	var c comparison
	cmd := &cobra.Command{
		Use:   "policies",
		Short: "Compare placement policies on random arrivals",
		Long:  policiesHelp,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return comparePolicies(cmd.OutOrStdout(), c) },
	}
	f := cmd.Flags()
	f.StringVar(&c.fleet, "fleet", "today", "fleet: today (10 workers) or planned")
	f.IntVar(&c.workers, "workers", 13000, "number of workers of the planned fleet")
	f.IntVar(&c.seeds, "seeds", 5, "number of seeds, starting with 1")
	f.IntVar(&c.jobs, "jobs", 2000, "number of jobs per seed")
	f.Float64Var(&c.load, "load", 0.85, "offered load as a share of the fleet's capacity")
	f.BoolVar(&c.csv, "csv", false, "print CSV, one line per policy and seed")
	f.StringSliceVar(&c.policies, "policies", nil, "policies to run; all by default")
	return cmd
}

func (c comparison) fleetAndLoad() ([]model.Worker, drive.Load, error) {
	load := drive.Load{Jobs: c.jobs, Utilization: c.load}
	switch c.fleet {
	case "today":
		load.Teams, load.Sizes = 4, drive.TodaySizes
		return drive.TodayFleet(), load, nil
	case "planned":
		load.Teams, load.Sizes = 410, drive.PlannedSizes
		return drive.PlannedFleet(c.workers), load, nil
	}
	return nil, load, errors.Newf("fleet: got %q, want today or planned", c.fleet)
}

func comparePolicies(w io.Writer, c comparison) error {
	workers, load, err := c.fleetAndLoad()
	if err != nil {
		return err
	}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if c.csv {
		fmt.Fprintln(w, strings.Join(columns(), ","))
	} else {
		fmt.Fprintln(t, strings.Join(columns(), "\t"))
	}
	for _, p := range drive.Policies() {
		if len(c.policies) > 0 && !slices.Contains(c.policies, p.Name) {
			continue
		}
		var rows [][]float64
		for seed := range c.seeds {
			load.Seed = uint64(seed + 1)
			row := resultRow(drive.Run(p.Options, workers, drive.GenerateArrivals(load, workers), clock))
			rows = append(rows, row)
			if c.csv {
				fmt.Fprintf(w, "%s,%d%s\n", p.Name, load.Seed, csvRow(row))
			}
		}
		if !c.csv {
			fmt.Fprintf(t, "%s\t%d%s\n", p.Name, c.seeds, summary(rows))
		}
	}
	return t.Flush()
}

func columns() []string {
	return []string{
		"policy", "seeds", "layout8", "layout16", "layout64", "makespan",
		"slowdown", "slowp99", "stops", "unended", "p50us", "p99us",
	}
}

func resultRow(r drive.Result) []float64 {
	return []float64{
		r.FragmentedShares[0], r.FragmentedShares[1], r.FragmentedShares[2], r.Makespan, r.MeanSlowdown, r.P99Slowdown,
		float64(r.Stops), float64(r.Unfinished), microseconds(r.DecideP50), microseconds(r.DecideP99),
	}
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func csvRow(row []float64) string {
	var b strings.Builder
	for _, v := range row {
		fmt.Fprintf(&b, ",%.4g", v)
	}
	return b.String()
}

// summary returns the median, minimum and maximum of each column.
func summary(rows [][]float64) string {
	var b strings.Builder
	for column := range rows[0] {
		values := make([]float64, len(rows))
		for i, row := range rows {
			values[i] = row[column]
		}
		slices.Sort(values)
		fmt.Fprintf(&b, "\t%.3g (%.3g-%.3g)", values[len(values)/2], values[0], values[len(values)-1])
	}
	return b.String()
}
