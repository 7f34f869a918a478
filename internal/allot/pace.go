package allot

import "time"

const (
	// paceOver is the least progress over which the rate is measured, in percents. Reports round
	// to whole percents, which makes an error of up to a sixteenth.
	paceOver = 8
	// paceFor is the least time over which the rate is measured.
	paceFor = 300 * time.Millisecond
	// paceWindow is how long one measurement lasts before the next one begins. Workers can become
	// slow, so older progress doesn't count.
	paceWindow = 2 * time.Second
)

// Pace measures how fast a run progresses, by the clock of its worker.
type Pace struct {
	seen    bool
	percent int   // last reported
	from    mark  // start of the measurement; zero before the first progress
	whole   int64 // milliseconds that the whole run takes at the measured rate
}

// mark is the progress of a run at an instant.
type mark struct {
	percent int
	clock   int64 // milliseconds on the worker's clock
}

// WithProgress returns the measurement with one more report, and whether the rate was updated. Reports
// of a run that waits for the other members of its gang or is done are ignored.
func (p Pace) WithProgress(percent int, clock int64) (Pace, bool) {
	if clock <= 0 || percent >= 100 {
		return p, false
	}
	moved := p.seen && percent > p.percent
	p.seen, p.percent = true, percent
	if p.from.clock == 0 {
		if moved {
			p.from = mark{percent, clock}
		}
		return p, false
	}
	points, took := percent-p.from.percent, clock-p.from.clock
	if points < paceOver || took < paceFor.Milliseconds() {
		return p, false
	}
	p.whole = 100 * took / int64(points)
	if took >= paceWindow.Milliseconds() {
		p.from = mark{percent, clock}
	}
	return p, true
}

// Whole returns how long the whole run takes at the measured rate, 0 before it is known.
func (p Pace) Whole() time.Duration { return time.Duration(p.whole) * time.Millisecond }
