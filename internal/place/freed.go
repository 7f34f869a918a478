package place

import "slices"

// Changes that the log of freed workers goes back at most.
const freedMost = 2048

// everywhere stands in the log for a change that may have made room anywhere.
const everywhere = ""

// freedLog remembers where room was made, so that a search that failed is
// repeated only where it could succeed now.
type freedLog struct {
	count   uint64 // changes so far
	workers []string
}

func (l *freedLog) add(worker string) {
	if len(l.workers) == freedMost {
		l.workers = slices.Delete(l.workers, 0, freedMost/2)
	}
	l.count++
	l.workers = append(l.workers, worker)
}

func (l *freedLog) rewind(count uint64) {
	back := int(min(l.count-count, uint64(len(l.workers))))
	l.workers = l.workers[:len(l.workers)-back]
	l.count = count
}

// since returns the workers freed since the count; it reports false where the
// log doesn't tell.
func (l *freedLog) since(count uint64) ([]string, bool) {
	n := l.count - count
	if n > uint64(len(l.workers)) {
		return nil, false
	}
	ws := l.workers[len(l.workers)-int(n):]
	return ws, !slices.Contains(ws, everywhere)
}

// Freed counts the changes that may have made room.
func (f *Fleet) Freed() uint64 { return f.freed.count }

// Touch counts a change outside the fleet that may have made room.
func (f *Fleet) Touch() { f.freed.add(everywhere) }

// Rewind tells that all that was given since Freed returned the count has been
// taken again, so that searches that failed before would fail again.
func (f *Fleet) Rewind(freed uint64) { f.freed.rewind(freed) }

// MayFit reports whether a worker that was freed since the count has room now
// for the amount beside what runs and is claimed. Without such a worker a
// search that failed then fails again.
func (f *Fleet) MayFit(need Need, count uint64) bool {
	ws, ok := f.freed.since(count)
	if !ok {
		return true
	}
	for _, w := range ws {
		if n, known := f.nodes[w]; known && n.indexed && need.Fits(n.freeIn(Soft)) {
			return true
		}
	}
	return false
}
