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

// Simulation is a discrete-event simulation of a scenario under a policy, with the
// results of its jobs.
type Simulation struct {
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
func (sim *Simulation) Now() time.Time { return startTime.Add(sim.now) }

// After schedules a call of fn after a delay.
func (sim *Simulation) After(delay time.Duration, fn func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now + delay, seq: sim.seq, fn: fn})
}

// Send schedules a call of fn after the delay of a message.
func (sim *Simulation) Send(fn func()) { sim.After(NetDelay, fn) }

// Every schedules a call of fn at each interval until every job has a result.
func (sim *Simulation) Every(interval time.Duration, fn func()) {
	sim.After(interval, func() {
		if sim.pending == 0 {
			return
		}
		fn()
		sim.Every(interval, fn)
	})
}

// Finish records the result of a job.
func (sim *Simulation) Finish(j *Job, answered bool) {
	sim.pending--
	sim.Results = append(sim.Results, Result{Job: j, Answered: answered, EndedAt: sim.now, Starts: sim.starts[j]})
}

// Pending returns the number of jobs without a result.
func (sim *Simulation) Pending() int { return sim.pending }

// Run simulates a scenario under a policy until every job has a result.
func Run(scenario Scenario, newPolicy func(*Simulation) Policy) *Simulation {
	return RunRecorded(scenario, newPolicy, nil)
}

// RunRecorded is Run with a function that is called with each trace event.
func RunRecorded(scenario Scenario, newPolicy func(*Simulation) Policy, record func(trace.Event)) *Simulation {
	sim := &Simulation{Scenario: scenario, Record: record, Servers: newServers(scenario), pending: len(scenario.Jobs), starts: map[*Job]int{}}
	p := newPolicy(sim)
	sim.policy = p
	for i := range scenario.Jobs {
		j := &scenario.Jobs[i]
		sim.After(j.Arrival, func() { p.Arrive(j) })
	}
	for sim.pending > 0 && len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.fn()
	}
	return sim
}

// Policy decides when and where each job runs, or refuses it.
type Policy interface {
	Arrive(j *Job)
}

// Result is the result of one job.
type Result struct {
	Job      *Job
	Answered bool          // false if it was refused and hasn't run
	EndedAt  time.Duration // when it was answered or refused
	Starts   int           // number of starts
}

// Latency returns the time from arrival to the result.
func (r Result) Latency() time.Duration { return r.EndedAt - r.Job.Arrival }

// InTime reports whether the answer came before the deadline.
func (r Result) InTime() bool { return r.Answered && r.EndedAt <= r.Job.Deadline }

// MeanLatency returns the mean time from arrival to answer.
func (sim *Simulation) MeanLatency() time.Duration {
	return Mean(Latencies(sim.Results, func(Result) bool { return true }))
}
