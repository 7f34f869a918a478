package load

import "sort"

// Summary is the minimum, median and maximum of one metric over the seeds.
type Summary struct {
	Scenario, Metric, Policy string
	Low, Median, High        float64
	Seeds                    int
}

// Summarize returns one summary for each scenario, metric and policy, in the
// order in which they first occur.
func Summarize(measurements []Measurement) []Summary {
	type key struct{ scenario, metric, policy string }
	values := map[key][]float64{}
	var order []key
	for _, f := range measurements {
		k := key{f.Scenario, f.Metric, f.Policy}
		if values[k] == nil {
			order = append(order, k)
		}
		values[k] = append(values[k], f.Value)
	}
	var summaries []Summary
	for _, k := range order {
		v := values[k]
		sort.Float64s(v)
		summaries = append(summaries, Summary{
			Scenario: k.scenario, Metric: k.metric, Policy: k.policy,
			Low: v[0], Median: v[len(v)/2], High: v[len(v)-1], Seeds: len(v),
		})
	}
	return summaries
}
