package load

import (
	"strconv"
	"time"
)

// TimelineMetric is the prefix of the timeline's metrics, followed by a second of
// the crest scenario: the p99 of the times to the answer of short jobs that arrived
// in that second, in milliseconds.
const TimelineMetric = "second-"

func (sim *Simulation) timeline(policy string) []Measurement {
	var measurements []Measurement
	add := newAdder(&measurements, "crest", policy, sim.Scenario.Seed)
	for at := time.Duration(0); at < CrestDuration; at += time.Second {
		p99 := sim.p99(IsShort, ArrivedBetween(at, at+time.Second))
		add(TimelineMetric+strconv.Itoa(int(at.Seconds())), millis(p99))
	}
	return measurements
}
