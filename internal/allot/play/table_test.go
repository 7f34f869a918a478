package play_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/allot"
	"github.com/knapweedlug/knapweedlug/internal/allot/play"
)

// total sums days up.
type total struct {
	net, share, render, confirm, batch, wasted float64
	stops, days                                int
}

func sum(decide play.Decide, seeds uint64, load float64) total {
	var s total
	for seed := range seeds {
		r := play.Play(play.Generate(seed, 11, 40*time.Second, load), decide, grace)
		s.net += r.Net()
		s.share += r.Share("")
		s.render += r.Share("render")
		s.confirm += r.Share("confirm")
		s.batch += r.Share("batch")
		s.wasted += r.Wasted / (r.Used + r.Wasted)
		s.stops += r.Stops
		s.days++
	}
	return s
}

func (s total) String() string {
	n := float64(s.days)
	return fmt.Sprintf("net %.3f share %.3f (render %.3f confirm %.3f batch %.3f) wasted %.3f stops %.0f",
		s.net/n, s.share/n, s.render/n, s.confirm/n, s.batch/n, s.wasted/n, float64(s.stops)/n)
}

// TestTable prints the decisions as they are beside each load, with -v.
func TestTable(t *testing.T) {
	for _, load := range []float64{0.7, 1, 1.6, 2.2} {
		t.Logf("load %.1f: %v", load, sum(allot.Make, 16, load))
	}
}
