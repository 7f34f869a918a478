package place

import "slices"

// maxFreedLog is the maximum length of the log of freed workers.
const maxFreedLog = 2048

// anyWorker is logged in place of a worker for a change that may have freed resources on any worker.
const anyWorker = ""

// freedLog records which workers have had resources freed, so that a failed search is repeated only if
// it could succeed now.
type freedLog struct {
	count   uint64   // changes so far
	workers []string // worker of each of the latest changes
}

// add records a change on a worker.
func (l *freedLog) add(worker string) {
	if len(l.workers) == maxFreedLog {
		l.workers = slices.Delete(l.workers, 0, maxFreedLog/2)
	}
	l.count++
	l.workers = append(l.workers, worker)
}

// rewind drops the changes after the count.
func (l *freedLog) rewind(count uint64) {
	back := int(min(l.count-count, uint64(len(l.workers))))
	l.workers = l.workers[:len(l.workers)-back]
	l.count = count
}

// since returns the workers freed since the count. It reports false if the log doesn't reach back that
// far or a change may have affected any worker.
func (l *freedLog) since(count uint64) ([]string, bool) {
	n := l.count - count
	if n > uint64(len(l.workers)) {
		return nil, false
	}
	workers := l.workers[len(l.workers)-int(n):]
	return workers, !slices.Contains(workers, anyWorker)
}

// FreedCount returns the number of changes so far that may have freed resources.
func (f *Fleet) FreedCount() uint64 { return f.freed.count }

// RecordExternalChange records a change outside the fleet that may have freed resources.
func (f *Fleet) RecordExternalChange() { f.freed.add(anyWorker) }

// RewindFreed resets FreedCount to an earlier value. The caller must have taken again all resources that
// were released since then, so that searches that failed before would fail again.
func (f *Fleet) RewindFreed(freed uint64) { f.freed.rewind(freed) }

// MayFitSince reports whether a worker that was freed since the count now has room for need beside running
// and claimed work. If there is none, a search that failed at that count would fail again.
func (f *Fleet) MayFitSince(need Resources, count uint64) bool {
	workers, ok := f.freed.since(count)
	if !ok {
		return true
	}
	for _, w := range workers {
		if n, known := f.nodes[w]; known && n.indexed && need.Fits(n.freeIn(Unoccupied)) {
			return true
		}
	}
	return false
}
