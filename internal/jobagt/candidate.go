package jobagt

import (
	"slices"

	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// maxCandidates bounds the announced workers that haven't answered yet. Only one worker runs on a host.
const maxCandidates = 16

// candidate is an announced worker that hasn't answered yet.
type candidate struct {
	ann    Announcement // the newest one
	failed bool         // a hold to it got no answer
}

// addCandidate takes an announcement of a worker that hasn't answered. It returns why it ignores it, or "". The caller
// holds a.mu.
func (a *Agent) addCandidate(ann Announcement) string {
	i := slices.IndexFunc(a.candidates, func(c candidate) bool { return c.ann.Worker == ann.Worker })
	switch {
	case i >= 0 && ann.Seq <= a.candidates[i].ann.Seq:
		return "a later one has come"
	case i >= 0:
		a.candidates[i].ann = ann
		return ""
	case len(a.candidates) >= maxCandidates:
		oldest := slices.IndexFunc(a.candidates, func(c candidate) bool { return c.failed })
		if oldest < 0 {
			return "others haven't been tried yet"
		}
		a.candidates = slices.Delete(a.candidates, oldest, oldest+1)
	}
	a.candidates = append(a.candidates, candidate{ann: ann})
	a.triggerHold()
	return ""
}

// noteAnswer handles the answer of worker w to a hold to a name. If w is a candidate, it is used from now on. The other
// workers of that name aren't there, nor are those that have left a hold unanswered: only one worker runs on a host. The
// caller holds a.mu.
func (a *Agent) noteAnswer(name string, w jobs.Worker) {
	kept := a.candidates[:0]
	for _, c := range a.candidates {
		switch {
		case c.ann.Worker == w:
			if a.announced.Worker != w {
				a.use(c.ann)
			}
		case c.failed || c.ann.Worker.Name == name:
			a.logWithdrawn(c.ann)
		default:
			kept = append(kept, c)
		}
	}
	a.candidates = kept
}

// withdraw drops the announcements of workers of a name, at which another worker answers: they came from somebody else,
// or from a worker that has exited. It reports whether there were any. The caller holds a.mu.
func (a *Agent) withdraw(name string) bool {
	n := len(a.candidates)
	a.candidates = slices.DeleteFunc(a.candidates, func(c candidate) bool {
		if c.ann.Worker.Name == name {
			a.logWithdrawn(c.ann)
		}
		return c.ann.Worker.Name == name
	})
	return len(a.candidates) < n
}

// logWithdrawn logs that a candidate is dropped.
func (a *Agent) logWithdrawn(ann Announcement) {
	a.log.Warn("announcement withdrawn: another worker answers", zap.String("worker", ann.Worker.Name), zap.Int64("born", ann.Worker.StartedMs),
		zap.String("confirmed", a.state.worker.Name))
}

// noteProbeFailed puts the announced workers of a name behind the others. The caller holds a.mu.
func (a *Agent) noteProbeFailed(name string) {
	tried := func(c candidate) bool { return c.ann.Worker.Name == name }
	var failed []candidate
	for _, c := range a.candidates {
		if tried(c) {
			c.failed = true
			failed = append(failed, c)
		}
	}
	a.candidates = append(slices.DeleteFunc(a.candidates, tried), failed...)
}

// mayHaveRestarted reports whether another incarnation of a worker is announced, which may be the one that gets the
// next order. The caller holds a.mu.
func (a *Agent) mayHaveRestarted(w jobs.Worker) bool {
	return slices.ContainsFunc(a.candidates, func(c candidate) bool { return c.ann.Worker.Name == w.Name })
}
