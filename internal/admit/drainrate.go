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
	rate          float64
	windowStart   time.Time // start of the current window; zero while no request is queued
	windowSeconds float64   // run time of the requests popped in the window, in seconds
}

// addPopped accounts a popped request of the given run time in seconds, and updates
// the rate when the window is long enough.
func (d *drainRate) addPopped(runSeconds float64, now time.Time) {
	if d.windowStart.IsZero() {
		return
	}
	d.windowSeconds += runSeconds
	elapsed := now.Sub(d.windowStart)
	if elapsed < rateWindow {
		return
	}
	sample := d.windowSeconds / elapsed.Seconds()
	if sample > 0 {
		d.rate += rateGain * (sample - d.rate)
	}
	d.windowStart, d.windowSeconds = now, 0
}

// updateWindow starts a window when requests are queued, and ends it without a sample
// when none are left.
func (d *drainRate) updateWindow(queued int, now time.Time) {
	switch {
	case queued == 0:
		d.windowStart, d.windowSeconds = time.Time{}, 0
	case d.windowStart.IsZero():
		d.windowStart = now
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
