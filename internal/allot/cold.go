package allot

import "time"

// coldFactor returns by which factor the duration of a run is longer if it starts now on a worker that is slow until
// ColdUntil. The rest of the run, once the worker is warm, takes as long as usual.
func (p *planner) coldFactor(w *Worker, duration time.Duration) float64 {
	cold := w.ColdUntil.Sub(p.in.Now)
	if p.in.ColdFactor <= 1 || cold <= 0 || duration <= 0 {
		return 1
	}
	return min(p.in.ColdFactor, 1+float64(cold)/float64(duration)*(1-1/p.in.ColdFactor))
}
