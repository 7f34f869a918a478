package main

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
)

// figure is the value of one metric in one run of a benchmark.
type figure struct {
	bench string  // without the processor count, for example BenchmarkAgents/agents=50
	unit  string  // for example agent-KB/s
	value float64 // in that unit
}

type figures []figure

var procs = regexp.MustCompile(`-\d+$`)

// parse returns the metrics in the output of go test -bench.
func parse(text string) figures {
	var out figures
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		if len(f) < 4 || !strings.HasPrefix(f[0], "Benchmark") {
			continue
		}
		name := procs.ReplaceAllString(f[0], "")
		for i := 2; i+1 < len(f); i += 2 {
			v, err := strconv.ParseFloat(f[i], 64)
			if err != nil {
				continue
			}
			out = append(out, figure{bench: name, unit: f[i+1], value: v})
		}
	}
	return out
}

// value returns the mean of a metric over the runs of a benchmark.
func (fs figures) value(bench, unit string) (float64, error) {
	sum, n := 0.0, 0
	for _, f := range fs {
		if f.bench == bench && f.unit == unit {
			sum += f.value
			n++
		}
	}
	if n == 0 {
		return 0, fmt.Errorf("no measurement %s of %s", unit, bench)
	}
	return sum / float64(n), nil
}

// line is a linear fit of a metric over a parameter.
type line struct {
	slope, base float64
	low, high   float64 // range of the parameter
	off         float64 // largest deviation of a measured value from the line, relative to the value
}

// at returns the value of the line at n.
func (l line) at(n float64) float64 { return l.base + l.slope*n }

// fit returns the least squares fit of a metric over the benchmarks whose name is
// prefix followed by a number.
func (fs figures) fit(prefix, unit string) (line, error) {
	var xs, ys []float64
	for _, f := range fs {
		rest, ok := strings.CutPrefix(f.bench, prefix)
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
		return line{}, fmt.Errorf("%d points for %s of %s, want 3 or more", len(xs), unit, prefix)
	}
	return fitLine(xs, ys), nil
}

func fitLine(xs, ys []float64) line {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	l := line{low: math.Inf(1), high: math.Inf(-1)}
	for i := range xs {
		sx, sy = sx+xs[i], sy+ys[i]
		sxx, sxy = sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
		l.low, l.high = min(l.low, xs[i]), max(l.high, xs[i])
	}
	l.slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l.base = (sy - l.slope*sx) / n
	for i := range xs {
		l.off = max(l.off, math.Abs(ys[i]-l.at(xs[i]))/ys[i])
	}
	return l
}
