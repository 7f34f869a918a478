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

// settings holds the flags of one comparison.
type settings struct {
	fleet   string
	workers int
	seeds   int
	jobs    int
	level   float64
	csv     bool
	only    []string
}

func newPolicies() *cobra.Command {
	var set settings
	cmd := &cobra.Command{
		Use:   "policies",
		Short: "Compare placement policies on random arrivals",
		Long:  policiesHelp,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return compare(cmd.OutOrStdout(), set) },
	}
	f := cmd.Flags()
	f.StringVar(&set.fleet, "fleet", "today", "fleet: today (10 workers) or planned")
	f.IntVar(&set.workers, "workers", 13000, "number of workers of the planned fleet")
	f.IntVar(&set.seeds, "seeds", 5, "number of seeds, starting with 1")
	f.IntVar(&set.jobs, "jobs", 2000, "number of jobs per seed")
	f.Float64Var(&set.level, "load", 0.85, "offered load as a share of the fleet's capacity")
	f.BoolVar(&set.csv, "csv", false, "print CSV, one line per policy and seed")
	f.StringSliceVar(&set.only, "policies", nil, "policies to run; all by default")
	return cmd
}

func (s settings) fleetAndLoad() ([]model.Worker, drive.Load, error) {
	load := drive.Load{Jobs: s.jobs, Utilization: s.level}
	switch s.fleet {
	case "today":
		load.Teams, load.Sizes = 4, drive.TodaySizes
		return drive.TodayFleet(), load, nil
	case "planned":
		load.Teams, load.Sizes = 410, drive.PlannedSizes
		return drive.PlannedFleet(s.workers), load, nil
	}
	return nil, load, errors.Newf("fleet: got %q, want today or planned", s.fleet)
}

func compare(w io.Writer, set settings) error {
	ws, load, err := set.fleetAndLoad()
	if err != nil {
		return err
	}
	begin := time.Now()
	clock := func() time.Duration { return time.Since(begin) }
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if set.csv {
		fmt.Fprintln(w, strings.Join(columns(), ","))
	} else {
		fmt.Fprintln(t, strings.Join(columns(), "\t"))
	}
	for _, p := range drive.Policies() {
		if len(set.only) > 0 && !slices.Contains(set.only, p.Name) {
			continue
		}
		var rows [][]float64
		for seed := range set.seeds {
			load.Seed = uint64(seed + 1)
			row := values(drive.Run(p.Options, ws, drive.GenerateArrivals(load, ws), clock))
			rows = append(rows, row)
			if set.csv {
				fmt.Fprintf(w, "%s,%d%s\n", p.Name, load.Seed, csvRow(row))
			}
		}
		if !set.csv {
			fmt.Fprintf(t, "%s\t%d%s\n", p.Name, set.seeds, summary(rows))
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

func values(r drive.Result) []float64 {
	return []float64{
		r.FragmentedShares[0], r.FragmentedShares[1], r.FragmentedShares[2], r.Makespan, r.MeanSlowdown, r.P99Slowdown,
		float64(r.Stops), float64(r.Unfinished), us(r.DecideP50), us(r.DecideP99),
	}
}

func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

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
	for c := range rows[0] {
		col := make([]float64, len(rows))
		for i, row := range rows {
			col[i] = row[c]
		}
		slices.Sort(col)
		fmt.Fprintf(&b, "\t%.3g (%.3g-%.3g)", col[len(col)/2], col[0], col[len(col)-1])
	}
	return b.String()
}
