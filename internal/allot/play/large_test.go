package play_test

import (
	"testing"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/allot/play"
)

// BenchmarkLargeDay simulates a day of the linen rota deployment at 240 workers.
func BenchmarkLargeDay(b *testing.B) {
	for range b.N {
		plans := 0
		policy := func(in allot.Input) allot.Plan {
			plans++
			return allot.MakePlan(in)
		}
		r := play.Simulate(play.Generate(1, play.LargeLinenRota(1)), policy, grace)
		b.ReportMetric(r.NetValueShare(), "net")
		b.ReportMetric(r.ValueShare("confirm"), "confirm")
		b.ReportMetric(r.ValueShare("render"), "render")
		b.ReportMetric(r.ValueShare("batch"), "batch")
		b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*plans), "µs/plan")
		b.ReportMetric(float64(plans), "plans")
	}
}
