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
func (p ProgressRate) WithProgress(percent int, clockMs int64) (ProgressRate, bool) {
	if clockMs <= 0 || percent >= 100 {
		return p, false
	}
	advanced := p.seen && percent > p.percent
	p.seen, p.percent = true, percent
	if p.start.clockMs == 0 {
		if advanced {
			p.start = progressMark{percent, clockMs}
		}
		return p, false
	}
	points, elapsedMs := percent-p.start.percent, clockMs-p.start.clockMs
	if points < minRatePercents || elapsedMs < minRateTime.Milliseconds() {
		return p, false
	}
	p.totalMs = 100 * elapsedMs / int64(points)
	if elapsedMs >= rateWindow.Milliseconds() {
		p.start = progressMark{percent, clockMs}
	}
	return p, true
}

// Total returns how long the whole run takes at the measured rate, 0 before it is known.
func (p ProgressRate) Total() time.Duration { return time.Duration(p.totalMs) * time.Millisecond }
