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

func runScenarios(w io.Writer, firstSeed, seedCount int, csvPath string) error {
	if firstSeed < 0 {
		return errors.Newf("first: %d is less than 0", firstSeed)
	}
	if seedCount < 1 {
		return errors.Newf("seeds: %d is less than 1", seedCount)
	}
	var measurements []load.Measurement
	for seed := firstSeed; seed < firstSeed+seedCount; seed++ {
		measurements = append(measurements, load.MeasureGradinka(uint64(seed), load.Policies())...)
		measurements = append(measurements, load.MeasureCrest(uint64(seed), load.Policies())...)
	}
	if err := printTable(w, load.Summarize(measurements)); err != nil {
		return err
	}
	if csvPath == "" {
		return nil
	}
	return errors.Wrapf(writeCSVFile(csvPath, measurements), "plot file %s", csvPath)
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

func writeCSVFile(path string, measurements []load.Measurement) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = writeCSV(f, measurements)
	return errors.CombineErrors(err, f.Close())
}

func writeCSV(w io.Writer, measurements []load.Measurement) error {
	out := csv.NewWriter(w)
	if err := out.Write([]string{"scenario", "policy", "metric", "seed", "value"}); err != nil {
		return err
	}
	for _, m := range measurements {
		row := []string{
			m.Scenario, m.Policy, m.Metric,
			strconv.FormatUint(m.Seed, 10), strconv.FormatFloat(m.Value, 'g', 6, 64),
		}
		if err := out.Write(row); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}
