package load

import (
	"container/heap"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/trace"
)

// NetDelay is the delay of a message one way between an entry and an agent.
const NetDelay = 1500 * time.Microsecond

// event is a function to be called at a time.
type event struct {
	at  time.Duration
	seq int // keeps events of one time in order
	do  func()
}

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

// Simulation is the event loop with the backend servers and what came of the jobs.
type Simulation struct {
	Scenario Scenario
	Servers  []*Server
	Results  []Result

	// Record, if set, is told what the project's own policy does.
	Record func(trace.Event)

	now    time.Duration
	events events
	seq    int
	runs   map[*Job]int // how often each job was started
	open   int          // jobs without a result
	policy Policy
}

// epoch is the time at which every run begins.
var epoch = time.Unix(1_700_000_000, 0)

// Now returns the time of the loop.
func (w *Simulation) Now() time.Time { return epoch.Add(w.now) }

// After calls do once d has passed.
func (w *Simulation) After(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, do: do})
}

// Send calls do at the other end of a connection.
func (w *Simulation) Send(do func()) { w.After(NetDelay, do) }

// Every calls do at each interval while jobs are open.
func (w *Simulation) Every(d time.Duration, do func()) {
	w.After(d, func() {
		if w.open == 0 {
			return
		}
		do()
		w.Every(d, do)
	})
}

// Finish records what came of a job.
func (w *Simulation) Finish(j *Job, answered bool) {
	w.open--
	w.Results = append(w.Results, Result{Job: j, Answered: answered, EndedAt: w.now, Starts: w.runs[j]})
}

// Pending returns the number of jobs without a result.
func (w *Simulation) Pending() int { return w.open }

// Run drives a policy with the jobs of a scenario.
func Run(s Scenario, start func(*Simulation) Policy) *Simulation {
	return RunRecorded(s, start, nil)
}

// RunRecorded is Run with a function that is told each event.
func RunRecorded(s Scenario, start func(*Simulation) Policy, record func(trace.Event)) *Simulation {
	w := &Simulation{Scenario: s, Record: record, Servers: newServers(s), open: len(s.Jobs), runs: map[*Job]int{}}
	p := start(w)
	w.policy = p
	for i := range s.Jobs {
		j := &s.Jobs[i]
		w.After(j.Arrival, func() { p.Arrive(j) })
	}
	for w.open > 0 && len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return w
}

// Policy decides what becomes of each job.
type Policy interface {
	Arrive(j *Job)
}

// Result is what came of one job.
type Result struct {
	Job      *Job
	Answered bool // false: refused, has not run
	EndedAt       time.Duration
	Starts     int // how often it was started
}

// Latency returns the time from arrival to answer.
func (r Result) Latency() time.Duration { return r.EndedAt - r.Job.Arrival }

// InTime reports whether the answer came before the deadline.
func (r Result) InTime() bool { return r.Answered && r.EndedAt <= r.Job.Deadline }

// MeanLatency returns the mean time to the answer.
func (w *Simulation) MeanLatency() time.Duration {
	return Mean(Latencies(w.Results, func(Result) bool { return true }))
}
