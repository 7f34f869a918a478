package admit

import "time"

// Constants of a drain rate.
const (
	rateWindow = 250 * time.Millisecond
	rateGain   = 0.3
)

// drainRate measures how fast a queue hands out the work of one class while any
// is queued, in seconds of work per second.
type drainRate struct {
	rate  float64
	since time.Time // start of the window; zero while the queue is empty
	work  float64   // handed out since then
}

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

func (d *drainRate) backlog(queued int, now time.Time) {
	switch {
	case queued == 0:
		d.since, d.work = time.Time{}, 0
	case d.since.IsZero():
		d.since = now
	}
}

// scale follows a change of the slots that the queue may expect.
func (d *drainRate) scale(before, after float64) {
	if before == 0 || after == 0 {
		d.rate = after
		return
	}
	d.rate *= after / before
}
