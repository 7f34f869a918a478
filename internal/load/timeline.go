package load

import (
	"strconv"
	"time"
)

// TimelineMetric is the prefix of the metrics of the timeline: the p99 of the
// short jobs that arrived in one second of the crest scenario, in milliseconds.
const TimelineMetric = "second-"

func (w *Simulation) timeline(policy string) []Measurement {
	var out []Measurement
	add := adder(&out, "crest", policy, w.Scenario.Seed)
	for at := time.Duration(0); at < CrestDuration; at += time.Second {
		p99 := w.p99(IsShort, ArrivedBetween(at, at+time.Second))
		add(TimelineMetric+strconv.Itoa(int(at.Seconds())), millis(p99))
	}
	return out
}
