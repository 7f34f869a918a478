package allot

import "time"

const (
	// paceOver is over how many percents a pace is measured at least: reports
	// give whole percents, which makes an error of a sixteenth.
	paceOver = 8
	// paceFor is over how long it is measured at least.
	paceFor = 300 * time.Millisecond
	// paceWindow is after how long the measuring begins anew: workers turn slow.
	paceWindow = 2 * time.Second
)

// Pace measures how fast a run progresses, by the worker's own clock.
type Pace struct {
	seen    bool
	percent int   // last seen
	from    mark  // where the measuring began; zero before the first movement
	whole   int64 // milliseconds that the whole work takes
}

type mark struct {
	percent int
	clock   int64 // milliseconds on the worker's clock
}

// WithProgress returns the pace after a look at the run, and whether it was
// measured anew. A run that waits for the members of its gang shows nothing, and
// neither does one that is done.
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

// Whole returns how long the whole work takes at this pace, 0 before it is known.
func (p Pace) Whole() time.Duration { return time.Duration(p.whole) * time.Millisecond }
