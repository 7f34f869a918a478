package allot

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

// minRestoredStdDev is the least standard deviation of a speed that a former leader has learned, since the
// worker may have become slow since then.
const minRestoredStdDev = 0.15

// Restore initialises the estimates with those of a former leader.
func (l *Learner) Restore(learned jobs.Estimates) {
	for _, speed := range learned.Speeds {
		record := l.record(speed.Worker)
		speed.StdDev = max(speed.StdDev, minRestoredStdDev)
		record.prior, record.logSpeed, record.stdDev = speed, speed.LogSpeed, speed.StdDev
		record.stored = speed
	}
	maps.Copy(l.queueLogSeconds, learned.LogTaskSeconds)
	maps.Copy(l.storedLogSeconds, learned.LogTaskSeconds)
}

// RenameQueues gives the estimates of queues their new names, which are given by the old ones.
func (l *Learner) RenameQueues(renamed map[string]string) {
	l.queueLogSeconds = jobs.RenameKeys(l.queueLogSeconds, renamed)
	l.storedLogSeconds = jobs.RenameKeys(l.storedLogSeconds, renamed)
	l.estimateErrors = jobs.RenameKeys(l.estimateErrors, renamed)
	for _, record := range l.steps {
		if name, ok := renamed[record.queue]; ok {
			record.queue = name
		}
	}
}

const (
	// minStoredChange is by how much a logarithm has to change before it is stored for the next leader.
	minStoredChange = 0.1
	// maxStoredWorkers is the maximum number of workers in one result of Changes, which is stored as one command.
	maxStoredWorkers = 64
)

// Changes returns the estimates that have changed since the last call, to be stored for the next leader,
// or nil.
func (l *Learner) Changes() *jobs.Estimates {
	changes := jobs.Estimates{}
	for w, record := range l.workers {
		if len(record.measurements) == 0 || math.Abs(record.logSpeed-record.stored.LogSpeed) < minStoredChange && record.stored.StdDev > 0 && record.stored.StdDev-record.stdDev < minStoredChange {
			continue
		}
		if len(changes.Speeds) == maxStoredWorkers {
			break
		}
		record.stored = jobs.WorkerSpeed{Worker: w, LogSpeed: record.logSpeed, StdDev: record.stdDev}
		changes.Speeds = append(changes.Speeds, record.stored)
	}
	for q, logSeconds := range l.queueLogSeconds {
		if stored, ok := l.storedLogSeconds[q]; ok && math.Abs(stored-logSeconds) < minStoredChange {
			continue
		}
		if changes.LogTaskSeconds == nil {
			changes.LogTaskSeconds = map[string]float64{}
		}
		changes.LogTaskSeconds[q], l.storedLogSeconds[q] = logSeconds, logSeconds
	}
	if len(changes.Speeds)+len(changes.LogTaskSeconds) == 0 {
		return nil
	}
	slices.SortFunc(changes.Speeds, func(a, b jobs.WorkerSpeed) int { return cmp.Compare(a.Worker.Key(), b.Worker.Key()) })
	return &changes
}
