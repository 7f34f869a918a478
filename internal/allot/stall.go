package allot

import "time"

const (
	// minStallTime is the least time without progress after which a run counts as stalled. Workers
	// count in whole percents, and reports come twice a second.
	minStallTime = 1500 * time.Millisecond
	// stallFactor is how many times the mean time per percent the next percent may take.
	stallFactor = 6
	// initialPercents is the number of percents whose expected time is used until the first percent
	// is reported.
	initialPercents = 3
)

// StallDetector detects a run that makes no progress.
type StallDetector struct {
	started      time.Time
	percent      int
	lastProgress time.Time     // when percent last changed
	expected     time.Duration // expected duration of the run
}

// NewStallDetector returns a detector for a run that started at the given time, with its expected duration.
func NewStallDetector(started time.Time, expected time.Duration) StallDetector {
	return StallDetector{started: started, lastProgress: started, expected: expected}
}

// WithProgress returns the state with one more report of the run.
func (d StallDetector) WithProgress(percent int, now time.Time) StallDetector {
	if percent != d.percent {
		d.percent, d.lastProgress = percent, now
	}
	return d
}

// Percent returns the progress in the last report.
func (d StallDetector) Percent() int { return d.percent }

// WithLaterStart returns the state of a run that couldn't make progress before the given time.
func (d StallDetector) WithLaterStart(at time.Time) StallDetector {
	if at.After(d.lastProgress) {
		d.lastProgress = at
		if d.percent == 0 {
			d.started = at
		}
	}
	return d
}

// Stalled reports whether the run has made no progress for much longer than it should take.
func (d StallDetector) Stalled(now time.Time) bool {
	if d.percent >= 100 {
		return false
	}
	perPercent := d.expected * initialPercents / 100
	if d.percent > 0 {
		perPercent = max(d.expected/100, d.lastProgress.Sub(d.started)/time.Duration(d.percent))
	}
	return now.Sub(d.lastProgress) > max(minStallTime, stallFactor*perPercent)
}
