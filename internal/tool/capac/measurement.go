package main

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
)

// measurement is the value of one metric in one run of a benchmark.
type measurement struct {
	benchmark string  // without the processor count, for example BenchmarkAgents/agents=50
	unit      string  // for example agent-KB/s
	value     float64 // in that unit
}

type measurements []measurement

var procCountSuffix = regexp.MustCompile(`-\d+$`)

// parseBenchmarks returns the metrics in the output of go test -bench.
func parseBenchmarks(text string) measurements {
	var out measurements
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		if len(f) < 4 || !strings.HasPrefix(f[0], "Benchmark") {
			continue
		}
		name := procCountSuffix.ReplaceAllString(f[0], "")
		for i := 2; i+1 < len(f); i += 2 {
			v, err := strconv.ParseFloat(f[i], 64)
			if err != nil {
				continue
			}
			out = append(out, measurement{benchmark: name, unit: f[i+1], value: v})
		}
	}
	return out
}

// mean returns the mean of a metric over the runs of a benchmark.
func (fs measurements) mean(benchmark, unit string) (float64, error) {
	sum, n := 0.0, 0
	for _, f := range fs {
		if f.benchmark == benchmark && f.unit == unit {
			sum += f.value
			n++
		}
	}
	if n == 0 {
		return 0, fmt.Errorf("no measurement %s of %s", unit, benchmark)
	}
	return sum / float64(n), nil
}

// linearFit is a linear fit of a metric over a parameter.
type linearFit struct {
	slope, intercept   float64
	minParam, maxParam float64 // range of the parameter
	maxDeviation       float64 // largest deviation of a measured value from the line, relative to the value
}

// valueAt returns the value of the line at n.
func (l linearFit) valueAt(n float64) float64 { return l.intercept + l.slope*n }

// fit returns the least squares fit of a metric over the benchmarks whose name is
// prefix followed by a number.
func (fs measurements) fit(prefix, unit string) (linearFit, error) {
	var xs, ys []float64
	for _, f := range fs {
		rest, ok := strings.CutPrefix(f.benchmark, prefix)
		if !ok || f.unit != unit {
			continue
		}
		x, err := strconv.ParseFloat(rest, 64)
		if err != nil {
			continue
		}
		xs, ys = append(xs, x), append(ys, f.value)
	}
	if len(xs) < 3 {
		return linearFit{}, fmt.Errorf("%d points for %s of %s, want 3 or more", len(xs), unit, prefix)
	}
	return leastSquares(xs, ys), nil
}

func leastSquares(xs, ys []float64) linearFit {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	l := linearFit{minParam: math.Inf(1), maxParam: math.Inf(-1)}
	for i := range xs {
		sx, sy = sx+xs[i], sy+ys[i]
		sxx, sxy = sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
		l.minParam, l.maxParam = min(l.minParam, xs[i]), max(l.maxParam, xs[i])
	}
	l.slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l.intercept = (sy - l.slope*sx) / n
	for i := range xs {
		l.maxDeviation = max(l.maxDeviation, math.Abs(ys[i]-l.valueAt(xs[i]))/ys[i])
	}
	return l
}
