package load

import (
	"container/heap"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/trace"
)

// NetDelay is the one-way delay of a message between an entry and an agent.
const NetDelay = 1500 * time.Microsecond

// event is a function that is called at a time of the simulation.
type event struct {
	at  time.Duration
	seq int // orders events of the same time
	fn  func()
}

// eventHeap is a heap of events, earliest first.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// World is a discrete-event simulation of a scenario under a policy, with the
// results of its jobs.
type World struct {
	Scenario Scenario
	Servers  []*Server
	Results  []Result

	// Record, if set, is called with each trace event of the credits policy.
	Record func(trace.Event)

	now     time.Duration
	queue   eventHeap
	seq     int
	starts  map[*Job]int // number of starts of each job
	pending int          // number of jobs without a result
	policy  Policy
}

// startTime is the wall-clock time at which every simulation starts.
var startTime = time.Unix(1_700_000_000, 0)

// Now returns the time of the simulation.
func (w *World) Now() time.Time { return startTime.Add(w.now) }

// After schedules a call of fn after a delay.
func (w *World) After(delay time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + delay, seq: w.seq, fn: fn})
}

// Send schedules a call of fn after the delay of a message.
func (w *World) Send(fn func()) { w.After(NetDelay, fn) }

// Every schedules a call of fn at each interval until every job has a result.
func (w *World) Every(interval time.Duration, fn func()) {
	w.After(interval, func() {
		if w.pending == 0 {
			return
		}
		fn()
		w.Every(interval, fn)
	})
}

// End records the result of a job.
func (w *World) End(j *Job, answered bool) {
	w.pending--
	w.Results = append(w.Results, Result{Job: j, Answered: answered, At: w.now, Runs: w.starts[j]})
}

// Open returns the number of jobs without a result.
func (w *World) Open() int { return w.pending }

// Run simulates a scenario under a policy until every job has a result.
func Run(scenario Scenario, newPolicy func(*World) Policy) *World {
	return RunRecorded(scenario, newPolicy, nil)
}

// RunRecorded is Run with a function that is called with each trace event.
func RunRecorded(scenario Scenario, newPolicy func(*World) Policy, record func(trace.Event)) *World {
	w := &World{Scenario: scenario, Record: record, Servers: newServers(scenario), pending: len(scenario.Jobs), starts: map[*Job]int{}}
	p := newPolicy(w)
	w.policy = p
	for i := range scenario.Jobs {
		j := &scenario.Jobs[i]
		w.After(j.Arrive, func() { p.Arrive(j) })
	}
	for w.pending > 0 && len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.fn()
	}
	return w
}

// Policy decides when and where each job runs, or refuses it.
type Policy interface {
	Arrive(j *Job)
}

// Result is the result of one job.
type Result struct {
	Job      *Job
	Answered bool          // false if it was refused and hasn't run
	At       time.Duration // when it was answered or refused
	Runs     int           // number of starts
}

// Took returns the time from arrival to the result.
func (r Result) Took() time.Duration { return r.At - r.Job.Arrive }

// InTime reports whether the answer came before the deadline.
func (r Result) InTime() bool { return r.Answered && r.At <= r.Job.Deadline }

// Mean returns the mean time to the answer.
func (w *World) Mean() time.Duration {
	return Mean(Times(w.Results, func(Result) bool { return true }))
}
