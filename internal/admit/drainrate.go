package admit

import "time"

// Parameters of the measurement of a drain rate.
const (
	rateWindow = 250 * time.Millisecond // shortest time over which a sample is taken
	rateGain   = 0.3                    // smoothing factor: weight of a new sample
)

// drainRate measures how fast requests of one class leave a queue while any are
// queued, in seconds of run time per second.
type drainRate struct {
	rate  float64
	since time.Time // start of the current window; zero while no request is queued
	work  float64   // run time of the requests popped in the window, in seconds
}

// popped accounts a popped request of the given run time in seconds, and updates
// the rate when the window is long enough.
func (d *drainRate) popped(work float64, now time.Time) {
	if d.since.IsZero() {
		return
	}
	d.work += work
	length := now.Sub(d.since)
	if length < rateWindow {
		return
	}
	sample := d.work / length.Seconds()
	if sample > 0 {
		d.rate += rateGain * (sample - d.rate)
	}
	d.since, d.work = now, 0
}

// backlog starts a window when requests are queued, and ends it without a sample
// when none are left.
func (d *drainRate) backlog(queued int, now time.Time) {
	switch {
	case queued == 0:
		d.since, d.work = time.Time{}, 0
	case d.since.IsZero():
		d.since = now
	}
}

// scale adapts the rate to a change in the number of slots that this entry may
// expect.
func (d *drainRate) scale(before, after float64) {
	if before == 0 || after == 0 {
		d.rate = after
		return
	}
	d.rate *= after / before
}
