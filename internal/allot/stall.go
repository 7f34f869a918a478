package allot

import "time"

const (
	// stallAfter is the least time without progress after which a run counts as stalled. Workers
	// count in whole percents, and reports come twice a second.
	stallAfter = 1500 * time.Millisecond
	// stallTimes is how many times the mean time per percent the next percent may take.
	stallTimes = 6
	// firstPercents is the number of percents whose expected time is used until the first percent
	// is reported.
	firstPercents = 3
)

// Pulse detects a run that makes no progress.
type Pulse struct {
	began   time.Time
	percent int
	moved   time.Time     // when percent last changed
	work    time.Duration // expected duration of the run
}

// NewPulse returns a Pulse for a run with the expected duration work.
func NewPulse(began time.Time, work time.Duration) Pulse {
	return Pulse{began: began, moved: began, work: work}
}

// WithProgress returns the state with one more report of the run.
func (p Pulse) WithProgress(percent int, now time.Time) Pulse {
	if percent != p.percent {
		p.percent, p.moved = percent, now
	}
	return p
}

// Stalled reports whether the run has made no progress for much longer than it should take.
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
