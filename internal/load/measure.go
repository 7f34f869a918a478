package load

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Measurement is one measured value of one run.
type Measurement struct {
	Scenario string
	Policy   string
	Metric   string
	Seed     uint64
	Value    float64
}

// NamedPolicy is a policy with its name.
type NamedPolicy struct {
	Name  string
	New func(*Simulation) Policy
}

// Policies are the project's own policy and the baselines.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"credits", Credits},
		{"no-classes", NoClasses},
		{"random", Random},
		{"round-robin", RoundRobin},
		{"two-choices", TwoChoices},
		{"least-outstanding", LeastOutstanding},
	}
}

// The spans of the Gradinka scenario.
const (
	gradinkaLength = 180 * time.Second
	gradinkaWarm   = 20 * time.Second // not counted
	gradinkaLoad   = 0.8
)

// MeasureGradinka runs checks with and without renders at the same load of
// checks, and compares the mean time to the answer with the oracle's.
func MeasureGradinka(seed uint64, policies []NamedPolicy) []Measurement {
	mixed := Gradinka(seed, gradinkaLoad, true, gradinkaLength)
	checks := Gradinka(seed, gradinkaLoad, false, gradinkaLength)
	oracle := BestOracle(mixed).MeanLatency()
	var out []Measurement
	for _, p := range policies {
		add := adder(&out, "gradinka", p.Name, seed)
		with, alone := Run(mixed, p.New), Run(checks, p.New)
		p99, p99Alone := checkP99(with), checkP99(alone)
		add("check-p99-ms", millis(p99))
		add("check-p99-alone-ms", millis(p99Alone))
		add("check-p99-ratio", ratio(p99, p99Alone))
		add("mean-ms", millis(with.MeanLatency()))
		add("mean-to-oracle", ratio(with.MeanLatency(), oracle))
	}
	return out
}

func checkP99(w *Simulation) time.Duration {
	return Quantile(Latencies(w.Results, func(r Result) bool { return IsShort(r) && r.Job.Arrival >= gradinkaWarm }), 0.99)
}

// MeasureCrest runs the crest.
func MeasureCrest(seed uint64, policies []NamedPolicy) []Measurement {
	s := Crest(seed)
	var out []Measurement
	for _, p := range policies {
		w := Run(s, p.New)
		add := adder(&out, "crest", p.Name, seed)
		add("work-in-time", w.workInTime())
		add("urgent-in-time", Share(w.Results, both(duringCrest, urgent), Result.InTime))
		add("seconds-to-calm", w.secondsToCalm())
		add("short-p99-after-ratio", ratio(w.p99(IsShort, afterCrest), w.p99(IsShort, beforeCrest)))
		add("quiet-p99-ratio", ratio(w.p99(quiet, duringCrest), w.p99(quiet, beforeCrest)))
		add("not-run-that-ran", float64(count(w.Results, func(r Result) bool { return !r.Answered && r.Starts > 0 })))
		add("run-twice", float64(count(w.Results, func(r Result) bool { return r.Starts > 1 })))
		if c, ok := w.policy.(*credits); ok {
			add("met-revoked-grant", float64(c.MetRevokedGrant))
		}
		out = append(out, w.timeline(p.Name)...)
	}
	return out
}

// warmUp is the time before the crest that isn't counted.
const warmUp = 10 * time.Second

// recovery is the time after the crest by which the level before is expected.
const recovery = 5 * time.Second

var (
	beforeCrest = ArrivedBetween(warmUp, OverloadStart)
	duringCrest = ArrivedBetween(OverloadStart, OverloadEnd)
	afterCrest  = ArrivedBetween(OverloadEnd+recovery, CrestDuration)
)

func urgent(r Result) bool { return r.Job.Urgency == model.Urgent }

func quiet(r Result) bool { return IsShort(r) && r.Job.Team == QuietTeam }

func both(a, b func(Result) bool) func(Result) bool {
	return func(r Result) bool { return a(r) && b(r) }
}

func (w *Simulation) p99(a, b func(Result) bool) time.Duration {
	return Quantile(Latencies(w.Results, both(a, b)), 0.99)
}

// workInTime returns the work of the answers within their deadlines that
// arrived during the crest, relative to what all slots can do in that time.
func (w *Simulation) workInTime() float64 {
	work := 0.0
	for _, r := range w.Results {
		if r.InTime() && r.EndedAt >= OverloadStart && r.EndedAt < OverloadEnd {
			work += r.Job.Size
		}
	}
	return work / (w.Scenario.Capacity() * (OverloadEnd - OverloadStart).Seconds())
}

// secondsToCalm returns the seconds after the crest until the p99 of short
// jobs of one second is no higher than the highest before the crest.
func (w *Simulation) secondsToCalm() float64 {
	calm := time.Duration(0)
	for at := warmUp; at < OverloadStart; at += time.Second {
		calm = max(calm, w.p99(IsShort, ArrivedBetween(at, at+time.Second)))
	}
	for at := OverloadEnd; at < CrestDuration; at += time.Second {
		if w.p99(IsShort, ArrivedBetween(at, at+time.Second)) <= calm {
			return (at - OverloadEnd).Seconds()
		}
	}
	return (CrestDuration - OverloadEnd).Seconds()
}

func adder(out *[]Measurement, scenario, policy string, seed uint64) func(string, float64) {
	return func(metric string, value float64) {
		*out = append(*out, Measurement{Scenario: scenario, Policy: policy, Metric: metric, Seed: seed, Value: value})
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
