package jobs

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// View is a read-only view of the state at one log index.
type View struct{ d *data }

// Index returns the index of the last applied command.
func (v View) Index() uint64 { return v.d.Index }

// Term returns the highest term of the applied commands.
func (v View) Term() uint64 { return v.d.Term }

// Config returns the configuration in force.
func (v View) Config() *Config { return v.d.Config }

// Job returns the job with the given id.
func (v View) Job(id string) (*Job, bool) {
	j, ok := v.d.Jobs[id]
	return j, ok
}

// Jobs returns an iterator over all jobs in unspecified order.
func (v View) Jobs() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, j := range v.d.Jobs {
			if !yield(j) {
				return
			}
		}
	}
}

// Workers returns an iterator over all recorded worker incarnations.
func (v View) Workers() iter.Seq2[Worker, *Held] {
	return func(yield func(Worker, *Held) bool) {
		for key, h := range v.d.Workers {
			if !yield(workerOf(key), h) {
				return
			}
		}
	}
}

// Held returns the record of a worker incarnation.
func (v View) Held(w Worker) (*Held, bool) {
	h, ok := v.d.Workers[w.Key()]
	return h, ok
}

// Learned returns all committed estimates.
func (v View) Learned() Learned {
	l := Learned{Work: maps.Clone(v.d.Work)}
	for _, key := range slices.Sorted(maps.Keys(v.d.Speeds)) {
		l.Speeds = append(l.Speeds, v.d.Speeds[key])
	}
	return l
}

// Waiting returns the number of jobs of a queue of which no task has started.
func (v View) Waiting(queue string) int {
	n := 0
	for _, j := range v.d.Jobs {
		if j.Queue == queue && j.Phase == Pending {
			n++
		}
	}
	return n
}

// Key returns the worker as a map key of the form NAME/BORN.
func (w Worker) Key() string { return w.Name + "/" + strconv.FormatInt(w.Born, 10) }

func workerOf(key string) Worker {
	at := strings.LastIndexByte(key, '/')
	n, _ := strconv.ParseInt(key[at+1:], 10, 64) // can't fail: Key wrote the number
	return Worker{Name: key[:at], Born: n}
}
