package jobs

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// View is a read-only view of the state at one log index.
type View struct{ data *stateData }

// Index returns the index of the last applied command.
func (v View) Index() uint64 { return v.data.Index }

// Term returns the highest term of the applied commands.
func (v View) Term() uint64 { return v.data.Term }

// Config returns the configuration in force.
func (v View) Config() *Config { return v.data.Config }

// Job returns the job with the given id.
func (v View) Job(id string) (*Job, bool) {
	j, ok := v.data.Jobs[id]
	return j, ok
}

// Jobs returns an iterator over all jobs in unspecified order.
func (v View) Jobs() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, j := range v.data.Jobs {
			if !yield(j) {
				return
			}
		}
	}
}

// Workers returns an iterator over all recorded worker incarnations.
func (v View) Workers() iter.Seq2[Worker, *WorkerRecord] {
	return func(yield func(Worker, *WorkerRecord) bool) {
		for key, record := range v.data.Workers {
			if !yield(parseWorkerKey(key), record) {
				return
			}
		}
	}
}

// WorkerRecord returns the record of a worker incarnation.
func (v View) WorkerRecord(w Worker) (*WorkerRecord, bool) {
	record, ok := v.data.Workers[w.Key()]
	return record, ok
}

// Estimates returns all committed estimates.
func (v View) Estimates() Estimates {
	estimates := Estimates{LogTaskSeconds: maps.Clone(v.data.LogTaskSeconds)}
	for _, key := range slices.Sorted(maps.Keys(v.data.Speeds)) {
		estimates.Speeds = append(estimates.Speeds, v.data.Speeds[key])
	}
	return estimates
}

// PendingCount returns the number of jobs of a queue of which no worker has begun a task.
func (v View) PendingCount(queue Queue) int {
	n := 0
	for _, j := range v.data.Jobs {
		if j.Phase == Pending && queue.Has(j) {
			n++
		}
	}
	return n
}

// ServiceOf returns the service whose workers run the tasks of a job.
func (v View) ServiceOf(j *Job) string {
	if q, ok := v.data.Config.Queue(j.Queue); ok && j.Place == "" {
		return q.Service
	}
	return j.Service
}

// Key returns the worker as a map key of the form NAME/START, where START is its start
// time in Unix milliseconds.
func (w Worker) Key() string { return w.Name + "/" + strconv.FormatInt(w.StartedMs, 10) }

// parseWorkerKey returns the worker of a key.
func parseWorkerKey(key string) Worker {
	slash := strings.LastIndexByte(key, '/')
	startedMs, _ := strconv.ParseInt(key[slash+1:], 10, 64) // can't fail: Key wrote the number
	return Worker{Name: key[:slash], StartedMs: startedMs}
}
