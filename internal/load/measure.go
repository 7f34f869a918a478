package load

import (
	"time"

	"github.com/knapweedlug/knapweedlug/pkg/model"
)

// Measurement is the value of one metric in one simulation.
type Measurement struct {
	Scenario string
	Policy   string
	Metric   string
	Seed     uint64
	Value    float64
}

// NamedPolicy is a policy with the name under which its results are printed.
type NamedPolicy struct {
	Name string
	New  func(*Simulation) Policy
}

// Policies returns the policies of this system and the baselines.
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

// The parameters with which the Gradinka scenario is measured.
const (
	gradinkaDuration = 180 * time.Second
	gradinkaWarmUp   = 20 * time.Second // start of the scenario that isn't measured
	gradinkaLoad     = 0.8              // share of the capacity
)

// MeasureGradinka simulates the Gradinka scenario with and without renders, at the
// same rate of checks, and compares the mean time to the answer with that of the
// best oracle.
func MeasureGradinka(seed uint64, policies []NamedPolicy) []Measurement {
	mixed := Gradinka(seed, gradinkaLoad, true, gradinkaDuration)
	checksOnly := Gradinka(seed, gradinkaLoad, false, gradinkaDuration)
	oracleMean := BestOracle(mixed).MeanLatency()
	var measurements []Measurement
	for _, p := range policies {
		add := newAdder(&measurements, "gradinka", p.Name, seed)
		mixedRun, checksRun := Run(mixed, p.New), Run(checksOnly, p.New)
		mixedP99, checksP99 := checkP99(mixedRun), checkP99(checksRun)
		add("check-p99-ms", millis(mixedP99))
		add("check-p99-alone-ms", millis(checksP99))
		add("check-p99-ratio", ratio(mixedP99, checksP99))
		add("mean-ms", millis(mixedRun.MeanLatency()))
		add("mean-to-oracle", ratio(mixedRun.MeanLatency(), oracleMean))
	}
	return measurements
}

func checkP99(sim *Simulation) time.Duration {
	return Quantile(Latencies(sim.Results, func(r Result) bool { return IsShort(r) && r.Job.Arrival >= gradinkaWarmUp }), 0.99)
}

// MeasureCrest simulates the crest scenario under each policy.
func MeasureCrest(seed uint64, policies []NamedPolicy) []Measurement {
	s := Crest(seed)
	var measurements []Measurement
	for _, p := range policies {
		sim := Run(s, p.New)
		add := newAdder(&measurements, "crest", p.Name, seed)
		add("work-in-time", sim.workInTime())
		add("urgent-in-time", Share(sim.Results, and(duringOverload, isUrgent), Result.InTime))
		add("seconds-to-calm", sim.secondsToRecover())
		add("short-p99-after-ratio", ratio(sim.p99(IsShort, afterOverload), sim.p99(IsShort, beforeOverload)))
		add("quiet-p99-ratio", ratio(sim.p99(isQuietTeam, duringOverload), sim.p99(isQuietTeam, beforeOverload)))
		add("not-run-that-ran", float64(countResults(sim.Results, func(r Result) bool { return !r.Answered && r.Starts > 0 })))
		add("run-twice", float64(countResults(sim.Results, func(r Result) bool { return r.Starts > 1 })))
		if c, ok := sim.policy.(*creditPolicy); ok {
			add("met-revoked-grant", float64(c.MetRevokedGrant))
		}
		measurements = append(measurements, sim.timeline(p.Name)...)
	}
	return measurements
}

// crestWarmUp is the time at the start of the crest scenario that isn't measured.
const crestWarmUp = 10 * time.Second

// maxRecoveryTime is the time after the overload within which latencies are
// expected to return to their level before it.
const maxRecoveryTime = 5 * time.Second

var (
	beforeOverload = ArrivedBetween(crestWarmUp, OverloadStart)
	duringOverload = ArrivedBetween(OverloadStart, OverloadEnd)
	afterOverload  = ArrivedBetween(OverloadEnd+maxRecoveryTime, CrestDuration)
)

func isUrgent(r Result) bool { return r.Job.Urgency == model.Urgent }

func isQuietTeam(r Result) bool { return IsShort(r) && r.Job.Team == QuietTeam }

func and(a, b func(Result) bool) func(Result) bool {
	return func(r Result) bool { return a(r) && b(r) }
}

func (sim *Simulation) p99(match, also func(Result) bool) time.Duration {
	return Quantile(Latencies(sim.Results, and(match, also)), 0.99)
}

// workInTime returns the work of the requests that were answered during the
// overload and within their deadlines, relative to the capacity of all slots in
// that time.
func (sim *Simulation) workInTime() float64 {
	work := 0.0
	for _, r := range sim.Results {
		if r.InTime() && r.EndedAt >= OverloadStart && r.EndedAt < OverloadEnd {
			work += r.Job.Size
		}
	}
	return work / (sim.Scenario.Capacity() * (OverloadEnd - OverloadStart).Seconds())
}

// secondsToRecover returns the number of seconds after the overload until the p99
// of the short jobs that arrive in one second is no higher than the highest such
// p99 before the overload.
func (sim *Simulation) secondsToRecover() float64 {
	maxBefore := time.Duration(0)
	for at := crestWarmUp; at < OverloadStart; at += time.Second {
		maxBefore = max(maxBefore, sim.p99(IsShort, ArrivedBetween(at, at+time.Second)))
	}
	for at := OverloadEnd; at < CrestDuration; at += time.Second {
		if sim.p99(IsShort, ArrivedBetween(at, at+time.Second)) <= maxBefore {
			return (at - OverloadEnd).Seconds()
		}
	}
	return (CrestDuration - OverloadEnd).Seconds()
}

func newAdder(measurements *[]Measurement, scenario, policy string, seed uint64) func(string, float64) {
	return func(metric string, value float64) {
		*measurements = append(*measurements, Measurement{Scenario: scenario, Policy: policy, Metric: metric, Seed: seed, Value: value})
	}
}

func countResults(results []Result, match func(Result) bool) int {
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
