package load

import (
	"strconv"
	"time"
)

// TimelineMetric is the prefix of the timeline's metrics, followed by a second of
// the crest scenario: the p99 of the times to the answer of short jobs that arrived
// in that second, in milliseconds.
const TimelineMetric = "second-"

func (w *World) timeline(policy string) []Figure {
	var measurements []Figure
	add := newAdder(&measurements, "crest", policy, w.Scenario.Seed)
	for at := time.Duration(0); at < CrestFinish; at += time.Second {
		p99 := w.p99(Short, Arrived(at, at+time.Second))
		add(TimelineMetric+strconv.Itoa(int(at.Seconds())), millis(p99))
	}
	return measurements
}
