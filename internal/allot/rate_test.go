package allot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedlug/knapweedlug/internal/allot"
)

// The rate is measured over enough progress and time, from the first progress on, and follows a worker that
// becomes slow.
func TestProgressRate(t *testing.T) {
	type report struct {
		percent int
		clock   int64
	}
	tests := []struct {
		name    string
		reports []report
		want    time.Duration
	}{
		{"no report", nil, 0},
		{"one report", []report{{50, 1000}}, 0},
		{"time before the first progress is ignored", []report{{40, 1000}, {40, 1600}, {45, 1700}, {55, 2200}}, 5 * time.Second},
		{"too little time", []report{{0, 1000}, {2, 1100}, {20, 1300}}, 0},
		{"too little progress", []report{{0, 1000}, {2, 1500}, {9, 5000}}, 0},
		{"no clock", []report{{0, 0}, {10, 0}, {30, 0}}, 0},
		{"waiting for the other members of its gang", []report{{0, 1000}, {10, 1500}, {60, 2500}, {100, 3000}, {100, 9000}}, 2 * time.Second},
		{"became slow", []report{{0, 1000}, {10, 2000}, {30, 4000}, {40, 14000}}, 100 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rate := allot.ProgressRate{}
			for _, r := range tt.reports {
				rate, _ = rate.WithProgress(r.percent, r.clock)
			}
			require.Equal(t, tt.want, rate.Total())
		})
	}
}
