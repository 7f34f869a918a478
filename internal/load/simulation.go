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
	do  func()
}

// events is a heap of events, earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
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

	now    time.Duration
	events events
	seq    int
	runs   map[*Job]int // number of starts of each job
	open   int          // number of jobs without a result
	policy Policy
}

// epoch is the wall-clock time at which every simulation starts.
var epoch = time.Unix(1_700_000_000, 0)

// Now returns the time of the simulation.
func (w *World) Now() time.Time { return epoch.Add(w.now) }

// After schedules a call of do after d.
func (w *World) After(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, do: do})
}

// Send schedules a call of do after the delay of a message.
func (w *World) Send(do func()) { w.After(NetDelay, do) }

// Every schedules a call of do at each interval as long as a job has no result.
func (w *World) Every(d time.Duration, do func()) {
	w.After(d, func() {
		if w.open == 0 {
			return
		}
		do()
		w.Every(d, do)
	})
}

// End records the result of a job.
func (w *World) End(j *Job, answered bool) {
	w.open--
	w.Results = append(w.Results, Result{Job: j, Answered: answered, At: w.now, Runs: w.runs[j]})
}

// Open returns the number of jobs without a result.
func (w *World) Open() int { return w.open }

// Run simulates a scenario under a policy until every job has a result.
func Run(s Scenario, start func(*World) Policy) *World {
	return RunRecorded(s, start, nil)
}

// RunRecorded is Run with a function that is called with each trace event.
func RunRecorded(s Scenario, start func(*World) Policy, record func(trace.Event)) *World {
	w := &World{Scenario: s, Record: record, Servers: newServers(s), open: len(s.Jobs), runs: map[*Job]int{}}
	p := start(w)
	w.policy = p
	for i := range s.Jobs {
		j := &s.Jobs[i]
		w.After(j.Arrive, func() { p.Arrive(j) })
	}
	for w.open > 0 && len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
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
