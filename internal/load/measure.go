package load

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Figure is the value of one metric in one simulation.
type Figure struct {
	Scenario string
	Policy   string
	Metric   string
	Seed     uint64
	Value    float64
}

// Named is a policy with the name under which its results are printed.
type Named struct {
	Name  string
	Start func(*World) Policy
}

// Policies returns the policies of this system and the baselines.
func Policies() []Named {
	return []Named{
		{"credits", Credits},
		{"no-classes", NoClasses},
		{"random", Random},
		{"round-robin", RoundRobin},
		{"two-choices", TwoChoices},
		{"least-outstanding", LeastOutstanding},
	}
}

// The parameters with which the Gradinka scenario is measured.
const (
	gradinkaLength = 180 * time.Second
	gradinkaWarm   = 20 * time.Second // start of the scenario that isn't measured
	gradinkaLoad   = 0.8              // share of the capacity
)

// MeasureGradinka simulates the Gradinka scenario with and without renders, at the
// same rate of checks, and compares the mean time to the answer with that of the
// best oracle.
func MeasureGradinka(seed uint64, policies []Named) []Figure {
	mixed := Gradinka(seed, gradinkaLoad, true, gradinkaLength)
	checks := Gradinka(seed, gradinkaLoad, false, gradinkaLength)
	oracle := BestOracle(mixed).Mean()
	var out []Figure
	for _, p := range policies {
		add := adder(&out, "gradinka", p.Name, seed)
		with, alone := Run(mixed, p.Start), Run(checks, p.Start)
		p99, p99Alone := checkP99(with), checkP99(alone)
		add("check-p99-ms", millis(p99))
		add("check-p99-alone-ms", millis(p99Alone))
		add("check-p99-ratio", ratio(p99, p99Alone))
		add("mean-ms", millis(with.Mean()))
		add("mean-to-oracle", ratio(with.Mean(), oracle))
	}
	return out
}

func checkP99(w *World) time.Duration {
	return Quantile(Times(w.Results, func(r Result) bool { return Short(r) && r.Job.Arrive >= gradinkaWarm }), 0.99)
}

// MeasureCrest simulates the crest scenario under each policy.
func MeasureCrest(seed uint64, policies []Named) []Figure {
	s := Crest(seed)
	var out []Figure
	for _, p := range policies {
		w := Run(s, p.Start)
		add := adder(&out, "crest", p.Name, seed)
		add("work-in-time", w.workInTime())
		add("urgent-in-time", Share(w.Results, both(duringCrest, urgent), Result.InTime))
		add("seconds-to-calm", w.secondsToCalm())
		add("short-p99-after-ratio", ratio(w.p99(Short, afterCrest), w.p99(Short, beforeCrest)))
		add("quiet-p99-ratio", ratio(w.p99(quiet, duringCrest), w.p99(quiet, beforeCrest)))
		add("not-run-that-ran", float64(count(w.Results, func(r Result) bool { return !r.Answered && r.Runs > 0 })))
		add("run-twice", float64(count(w.Results, func(r Result) bool { return r.Runs > 1 })))
		if c, ok := w.policy.(*credits); ok {
			add("met-revoked-grant", float64(c.Bounced))
		}
		out = append(out, w.timeline(p.Name)...)
	}
	return out
}

// warmUp is the time at the start of the crest scenario that isn't measured.
const warmUp = 10 * time.Second

// recovery is the time after the overload within which latencies are expected to
// return to their level before it.
const recovery = 5 * time.Second

var (
	beforeCrest = Arrived(warmUp, CrestStart)
	duringCrest = Arrived(CrestStart, CrestEnd)
	afterCrest  = Arrived(CrestEnd+recovery, CrestFinish)
)

func urgent(r Result) bool { return r.Job.Urgency == model.Urgent }

func quiet(r Result) bool { return Short(r) && r.Job.Team == QuietTeam }

func both(a, b func(Result) bool) func(Result) bool {
	return func(r Result) bool { return a(r) && b(r) }
}

func (w *World) p99(a, b func(Result) bool) time.Duration {
	return Quantile(Times(w.Results, both(a, b)), 0.99)
}

// workInTime returns the work of the requests that were answered during the
// overload and within their deadlines, relative to the capacity of all slots in
// that time.
func (w *World) workInTime() float64 {
	work := 0.0
	for _, r := range w.Results {
		if r.InTime() && r.At >= CrestStart && r.At < CrestEnd {
			work += r.Job.Size
		}
	}
	return work / (w.Scenario.Capacity() * (CrestEnd - CrestStart).Seconds())
}

// secondsToCalm returns the number of seconds after the overload until the p99 of
// the short jobs that arrive in one second is no higher than the highest such p99
// before the overload.
func (w *World) secondsToCalm() float64 {
	calm := time.Duration(0)
	for at := warmUp; at < CrestStart; at += time.Second {
		calm = max(calm, w.p99(Short, Arrived(at, at+time.Second)))
	}
	for at := CrestEnd; at < CrestFinish; at += time.Second {
		if w.p99(Short, Arrived(at, at+time.Second)) <= calm {
			return (at - CrestEnd).Seconds()
		}
	}
	return (CrestFinish - CrestEnd).Seconds()
}

func adder(out *[]Figure, scenario, policy string, seed uint64) func(string, float64) {
	return func(metric string, value float64) {
		*out = append(*out, Figure{Scenario: scenario, Policy: policy, Metric: metric, Seed: seed, Value: value})
	}
}

func count(results []Result, match func(Result) bool) int {
	n := 0
	for _, r := range results {
		if match(r) {
			n++
		}
	}
	return n
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
