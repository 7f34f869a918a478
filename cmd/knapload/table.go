package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/knapweedlug/knapweedlug/internal/load"
)

func run(w io.Writer, first, seeds int, plot string) error {
	if first < 0 {
		return errors.Newf("first: %d is less than 0", first)
	}
	if seeds < 1 {
		return errors.Newf("seeds: %d is less than 1", seeds)
	}
	var figures []load.Measurement
	for seed := first; seed < first+seeds; seed++ {
		figures = append(figures, load.MeasureGradinka(uint64(seed), load.Policies())...)
		figures = append(figures, load.MeasureCrest(uint64(seed), load.Policies())...)
	}
	if err := printTable(w, load.Summarize(figures)); err != nil {
		return err
	}
	if plot == "" {
		return nil
	}
	return errors.Wrapf(writePlot(plot, figures), "plot file %s", plot)
}

func printTable(w io.Writer, rows []load.Summary) error {
	sort.SliceStable(rows, func(i, j int) bool {
		a, b := rows[i], rows[j]
		if a.Scenario != b.Scenario {
			return a.Scenario > b.Scenario
		}
		return a.Metric < b.Metric
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tmetric\tpolicy\tmedian\tspread\tseeds")
	for _, r := range rows {
		if strings.HasPrefix(r.Metric, load.TimelineMetric) {
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t[%.4g, %.4g]\t%d\n", r.Scenario, r.Metric, r.Policy, r.Median, r.Low, r.High, r.Seeds)
	}
	return t.Flush()
}

func writePlot(path string, figures []load.Measurement) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = writeFigures(f, figures)
	return errors.CombineErrors(err, f.Close())
}

func writeFigures(w io.Writer, figures []load.Measurement) error {
	out := csv.NewWriter(w)
	if err := out.Write([]string{"scenario", "policy", "metric", "seed", "value"}); err != nil {
		return err
	}
	for _, f := range figures {
		row := []string{
			f.Scenario, f.Policy, f.Metric,
			strconv.FormatUint(f.Seed, 10), strconv.FormatFloat(f.Value, 'g', 6, 64),
		}
		if err := out.Write(row); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}
