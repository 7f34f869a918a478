package allot

import "time"

const (
	// stallAfter is how long a run may show no progress, at least. A worker
	// counts in whole percents, and reports come twice a second.
	stallAfter = 1500 * time.Millisecond
	// stallTimes is how many times as long as its percents took so far the next
	// one may take.
	stallTimes = 6
	// firstPercents stands in for what a run has shown before its first percent.
	firstPercents = 3
)

// Pulse watches the progress of one run.
type Pulse struct {
	began   time.Time
	percent int
	moved   time.Time // when the percent last changed
	work    time.Duration
}

// NewPulse begins to watch a run that is expected to take work.
func NewPulse(began time.Time, work time.Duration) Pulse {
	return Pulse{began: began, moved: began, work: work}
}

// WithProgress returns the pulse after a look at the run.
func (p Pulse) WithProgress(percent int, now time.Time) Pulse {
	if percent != p.percent {
		p.percent, p.moved = percent, now
	}
	return p
}

// Stalled tells whether the run stands still: it has made no progress for much
// longer than it should take.
func (p Pulse) Stalled(now time.Time) bool {
	if p.percent >= 100 {
		return false
	}
	each := p.work * firstPercents / 100
	if p.percent > 0 {
		each = max(p.work/100, p.moved.Sub(p.began)/time.Duration(p.percent))
	}
	return now.Sub(p.moved) > max(stallAfter, stallTimes*each)
}
