package jobs

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// View is the state as of one index, for reading only.
type View struct{ d *data }

// Index returns the log index that the state is of.
func (v View) Index() uint64 { return v.d.Index }

// Term returns the term of the last command.
func (v View) Term() uint64 { return v.d.Term }

// Config returns the configuration in force.
func (v View) Config() *Config { return v.d.Config }

// Job returns the job of an id.
func (v View) Job(id string) (*Job, bool) {
	j, ok := v.d.Jobs[id]
	return j, ok
}

// Jobs yields all jobs, in no order.
func (v View) Jobs() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, j := range v.d.Jobs {
			if !yield(j) {
				return
			}
		}
	}
}

// Workers yields each life of a worker that the log knows of.
func (v View) Workers() iter.Seq2[Worker, *Held] {
	return func(yield func(Worker, *Held) bool) {
		for key, h := range v.d.Workers {
			if !yield(workerOf(key), h) {
				return
			}
		}
	}
}

// Held returns what the log knows of a life of a worker.
func (v View) Held(w Worker) (*Held, bool) {
	h, ok := v.d.Workers[w.Key()]
	return h, ok
}

// Learned returns what leaders have learned so far.
func (v View) Learned() Learned {
	l := Learned{Work: maps.Clone(v.d.Work)}
	for _, key := range slices.Sorted(maps.Keys(v.d.Speeds)) {
		l.Speeds = append(l.Speeds, v.d.Speeds[key])
	}
	return l
}

// Waiting returns how many accepted jobs of a queue have started no task.
func (v View) Waiting(queue string) int {
	n := 0
	for _, j := range v.d.Jobs {
		if j.Queue == queue && j.Phase == Pending {
			n++
		}
	}
	return n
}

// Key returns the worker as text.
func (w Worker) Key() string { return w.Name + "/" + strconv.FormatInt(w.Born, 10) }

func workerOf(key string) Worker {
	at := strings.LastIndexByte(key, '/')
	n, _ := strconv.ParseInt(key[at+1:], 10, 64) // Key wrote it
	return Worker{Name: key[:at], Born: n}
}
