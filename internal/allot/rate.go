package allot

import "time"

const (
	// minRatePercents is the least progress over which the rate is measured, in percents. Reports round
	// to whole percents, which makes an error of up to a sixteenth.
	minRatePercents = 8
	// minRateTime is the least time over which the rate is measured.
	minRateTime = 300 * time.Millisecond
	// rateWindow is how long one measurement lasts before the next one begins. Workers can become
	// slow, so older progress doesn't count.
	rateWindow = 2 * time.Second
)

// ProgressRate measures how fast a run progresses, by the clock of its worker.
type ProgressRate struct {
	seen    bool         // there has been a report
	percent int          // progress last reported
	start   progressMark // start of the measurement; zero before the first progress
	totalMs int64        // milliseconds that the whole run takes at the measured rate
}

// progressMark is the progress of a run at an instant.
type progressMark struct {
	percent int
	clockMs int64 // milliseconds on the worker's clock
}

// WithProgress returns the measurement with one more report, and whether the rate was updated. Reports
// of a run that waits for the other members of its gang or is done are ignored.
func (r ProgressRate) WithProgress(percent int, clockMs int64) (ProgressRate, bool) {
	if clockMs <= 0 || percent >= 100 {
		return r, false
	}
	advanced := r.seen && percent > r.percent
	r.seen, r.percent = true, percent
	if r.start.clockMs == 0 {
		if advanced {
			r.start = progressMark{percent, clockMs}
		}
		return r, false
	}
	points, elapsedMs := percent-r.start.percent, clockMs-r.start.clockMs
	if points < minRatePercents || elapsedMs < minRateTime.Milliseconds() {
		return r, false
	}
	r.totalMs = 100 * elapsedMs / int64(points)
	if elapsedMs >= rateWindow.Milliseconds() {
		r.start = progressMark{percent, clockMs}
	}
	return r, true
}

// Total returns how long the whole run takes at the measured rate, 0 before it is known.
func (r ProgressRate) Total() time.Duration { return time.Duration(r.totalMs) * time.Millisecond }
