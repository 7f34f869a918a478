package drive

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/knapweedlug/knapweedlug/internal/sched"
	"github.com/knapweedlug/knapweedlug/pkg/model"
)

const (
	checkpointTime          = 10 * time.Second // duration of a stop, and added to the run time for the restart
	tickInterval            = 30 * time.Second // time between decisions while nothing happens
	minSlowdownBase         = 10 * time.Second // least run time that slowdown is relative to
	maxDecideTime           = time.Minute      // longest decision that the histogram holds
	histogramDigits         = 3                // significant decimal digits
	maxWorkersSampledAlways = 100              // largest fleet, in workers, whose fragmentation is sampled at every event
	secondsPerDay           = 86400
)

// Result holds the measurements of one simulation.
type Result struct {
	FragmentedShares []float64     // time-weighted share of gangs that don't fit because of the layout, by shape
	Makespan         float64       // time from the first arrival to the last end, relative to its lower bound
	MeanSlowdown     float64       // mean of the time from submission to end, relative to the run time
	P99Slowdown      float64       // 99th percentile of that
	Stops            int           // stops that were decided
	Unfinished       int           // jobs that had not ended when the simulation did
	DecideP50        time.Duration // median time of one call of Decide
	DecideP99        time.Duration // 99th percentile of that
}

// event is a future change of a job, or a tick.
type event struct {
	time    time.Time
	seq     int // number of the event, which orders events at the same time
	arrival int // index of the arrival; -1 for a tick
	kind    string
	attempt int // attempt of the job that the event belongs to
}

const (
	eventArrived = "arrives"
	eventEnded   = "ends"
	eventStopped = "stopped"
	eventTick    = "ticks"
)

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].time.Equal(e[j].time) {
		return e[i].time.Before(e[j].time)
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation holds the state of a run of the simulator.
type simulation struct {
	sched          *sched.Sched
	arrivals       []Arrival
	arrivalIndex   map[string]int     // index in arrivals by job
	speed          map[string]float64 // by worker
	remaining      []time.Duration    // remaining run time of each job, at speed 1.0
	queue          eventQueue
	lastSeq        int // number of the event added last
	unfinished     int // jobs that haven't ended
	clock          func() time.Duration
	decideTimes    *hdrhistogram.Histogram // nanoseconds per call of Decide
	slowdowns      []float64               // of the jobs that have ended
	stops          int
	lastSample     time.Time
	weightedShares []float64 // by shape: sum of the fragmented share times the seconds it lasted
	sampledSeconds float64   // time covered by samples
}

// Run simulates the arrivals on the fleet with the options. The clock is read
// only to measure how long decisions take. Run stops 30 days after the last
// arrival.
func Run(opt sched.Options, ws []model.Worker, arrivals []Arrival, clock func() time.Duration) Result {
	s := newSimulation(opt, ws, arrivals, clock)
	for s.unfinished > 0 && s.queue.Len() > 0 {
		now := s.queue[0].time
		if now.Sub(arrivals[len(arrivals)-1].Job.Submitted) > 30*secondsPerDay*time.Second {
			break
		}
		s.sampleFragmentation(now)
		for s.queue.Len() > 0 && s.queue[0].time.Equal(now) {
			s.handle(heap.Pop(&s.queue).(event))
		}
		s.decide(now)
	}
	return s.result(ws)
}

func newSimulation(opt sched.Options, ws []model.Worker, arrivals []Arrival, clock func() time.Duration) *simulation {
	s := &simulation{
		sched: sched.New(opt), arrivals: slices.Clone(arrivals), arrivalIndex: make(map[string]int), speed: make(map[string]float64),
		remaining: make([]time.Duration, len(arrivals)), unfinished: len(arrivals), clock: clock,
		decideTimes: hdrhistogram.New(1, int64(maxDecideTime), histogramDigits),
		lastSample:  arrivals[0].Job.Submitted,
	}
	for _, w := range ws {
		s.sched.SetWorker(w, arrivals[0].Job.Submitted)
		s.speed[w.Name] = w.Speed
	}
	for i, a := range arrivals {
		s.arrivalIndex[a.Job.ID] = i
		s.remaining[i] = a.RunTime
		s.push(a.Job.Submitted, i, eventArrived)
	}
	s.push(arrivals[0].Job.Submitted.Add(tickInterval), -1, eventTick)
	return s
}

func (s *simulation) push(at time.Time, arrival int, kind string) {
	s.lastSeq++
	e := event{time: at, seq: s.lastSeq, arrival: arrival, kind: kind}
	if arrival >= 0 {
		e.attempt = s.arrivals[arrival].Job.Attempts
	}
	heap.Push(&s.queue, e)
}

// sampleFragmentation adds the current fragmentation to the sums, weighted by the time
// since the last sample.
func (s *simulation) sampleFragmentation(now time.Time) {
	span := now.Sub(s.lastSample).Seconds()
	last := s.arrivals[len(s.arrivals)-1].Job.Submitted
	if span <= 0 || now.After(last) || (len(s.speed) > maxWorkersSampledAlways && span < tickInterval.Seconds()) {
		return
	}
	s.lastSample = now
	gangs := s.sched.Fragmentation().Gangs
	if s.weightedShares == nil {
		s.weightedShares = make([]float64, len(gangs))
	}
	for i, g := range gangs {
		s.weightedShares[i] += g.FragmentedShare() * span
	}
	s.sampledSeconds += span
}

func (s *simulation) handle(e event) {
	if e.kind == eventTick {
		s.push(e.time.Add(tickInterval), -1, eventTick)
		return
	}
	j := &s.arrivals[e.arrival].Job
	if e.kind != eventArrived && e.attempt != j.Attempts {
		return
	}
	switch e.kind {
	case eventArrived:
	case eventEnded:
		if j.State != model.JobRunning && j.State != model.JobStopping {
			return
		}
		s.endJob(e.arrival, e.time)
	case eventStopped:
		if j.State != model.JobStopping {
			return
		}
		workDone := time.Duration(float64(e.time.Sub(j.Started)-checkpointTime) * s.slowestSpeed(*j))
		s.remaining[e.arrival] = max(s.remaining[e.arrival]-max(workDone, 0), 0) + checkpointTime
		*j = j.WithState(model.JobQueued, "stopped")
		j.Members = nil
	}
	s.sched.SetJob(*j, e.time)
}

func (s *simulation) endJob(arrival int, now time.Time) {
	j := &s.arrivals[arrival].Job
	*j = j.WithState(model.JobDone, "")
	j.Ended = now
	s.unfinished--
	base := max(s.arrivals[arrival].RunTime, minSlowdownBase)
	s.slowdowns = append(s.slowdowns, max(float64(now.Sub(j.Submitted))/float64(base), 1))
}

func (s *simulation) slowestSpeed(j model.Job) float64 {
	slowest := math.Inf(1)
	for _, m := range j.Members {
		slowest = min(slowest, s.speed[m.Worker])
	}
	return slowest
}

func (s *simulation) decide(now time.Time) {
	start := s.clock()
	ds := s.sched.Decide(now)
	_ = s.decideTimes.RecordValue(int64(s.clock() - start))
	for _, d := range ds {
		i := s.arrivalIndex[d.Job]
		j := &s.arrivals[i].Job
		switch d.Kind {
		case sched.Place:
			*j = j.WithState(model.JobRunning, d.Reason)
			j.Members, j.Borrowed, j.Started = d.Members, d.Borrowed, now
			j.Attempts++
			s.push(now.Add(time.Duration(float64(s.remaining[i])/s.slowestSpeed(*j))), i, eventEnded)
		case sched.Stop:
			*j = j.WithState(model.JobStopping, d.Reason)
			s.stops++
			s.push(now.Add(checkpointTime), i, eventStopped)
		default:
			s.unfinished--
			*j = j.WithState(model.JobFailed, d.Reason)
		}
		s.sched.SetJob(*j, now)
	}
}

func (s *simulation) result(ws []model.Worker) Result {
	var lastEnd time.Time
	for _, a := range s.arrivals {
		if a.Job.Ended.After(lastEnd) {
			lastEnd = a.Job.Ended
		}
	}
	start := s.arrivals[0].Job.Submitted
	bound := EarliestEnd(s.arrivals, ws).Sub(start)
	slices.Sort(s.slowdowns)
	sum := 0.0
	for _, x := range s.slowdowns {
		sum += x
	}
	result := Result{
		Makespan:   float64(lastEnd.Sub(start)) / float64(bound),
		Stops:      s.stops,
		Unfinished: s.unfinished,
		DecideP50:  time.Duration(s.decideTimes.ValueAtQuantile(50)),
		DecideP99:  time.Duration(s.decideTimes.ValueAtQuantile(99)),
	}
	if len(s.slowdowns) > 0 {
		result.MeanSlowdown = sum / float64(len(s.slowdowns))
		result.P99Slowdown = s.slowdowns[len(s.slowdowns)*99/100]
	}
	for _, x := range s.weightedShares {
		result.FragmentedShares = append(result.FragmentedShares, x/s.sampledSeconds)
	}
	return result
}
