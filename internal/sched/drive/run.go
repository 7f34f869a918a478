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
	checkpoint   = 10 * time.Second // duration of a stop, and added to the run time for the restart
	tick         = 30 * time.Second // time between decisions while nothing happens
	shortestJob  = 10 * time.Second // least run time that slowdown is relative to
	slowestCost  = time.Minute      // longest decision that the histogram holds
	histoDigits  = 3
	exactProbes  = 100 // largest fleet whose layout is sampled at every event
	secondsInDay = 86400
)

// Result holds the measurements of one simulation.
type Result struct {
	Layout   []float64     // time-weighted share of gangs that don't fit because of the layout, by shape
	Makespan float64       // relative to the lower bound
	Mean     float64       // mean slowdown
	P99      float64       // 99th percentile of the slowdown
	Stops    int           // stops that were decided
	Unended  int           // jobs that had not ended when the simulation did
	CostP50  time.Duration // median time of one call of Decide
	CostP99  time.Duration // 99th percentile of it
}

// event is a future change of a job, or a tick.
type event struct {
	at   time.Time
	seq  int
	job  int // index of the arrival; -1 for a tick
	kind string
	run  int // attempt of the job that the event belongs to
}

const (
	arrives = "arrives"
	ends    = "ends"
	stopped = "stopped"
	ticks   = "ticks"
)

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run is a simulation in progress.
type run struct {
	s       *sched.Sched
	as      []Arrival
	index   map[string]int
	speed   map[string]float64
	left    []time.Duration // remaining run time of each job, at speed 1.0
	queue   events
	seq     int
	live    int
	clock   func() time.Duration
	cost    *hdrhistogram.Histogram
	slow    []float64
	stops   int
	last    time.Time
	layout  []float64
	weights float64
}

// Run simulates the arrivals on the fleet with the options. The clock is read only
// to measure how long decisions take. Run stops 30 days after the last arrival.
func Run(opt sched.Options, ws []model.Worker, as []Arrival, clock func() time.Duration) Result {
	r := newRun(opt, ws, as, clock)
	for r.live > 0 && r.queue.Len() > 0 {
		at := r.queue[0].at
		if at.Sub(as[len(as)-1].Job.Submitted) > 30*secondsInDay*time.Second {
			break
		}
		r.probe(at)
		for r.queue.Len() > 0 && r.queue[0].at.Equal(at) {
			r.handle(heap.Pop(&r.queue).(event))
		}
		r.decide(at)
	}
	return r.result(ws)
}

func newRun(opt sched.Options, ws []model.Worker, as []Arrival, clock func() time.Duration) *run {
	r := &run{
		s: sched.New(opt), as: slices.Clone(as), index: make(map[string]int), speed: make(map[string]float64),
		left: make([]time.Duration, len(as)), live: len(as), clock: clock,
		cost: hdrhistogram.New(1, int64(slowestCost), histoDigits),
		last: as[0].Job.Submitted,
	}
	for _, w := range ws {
		r.s.SetWorker(w, as[0].Job.Submitted)
		r.speed[w.Name] = w.Speed
	}
	for i, a := range as {
		r.index[a.Job.ID] = i
		r.left[i] = a.Run
		r.push(a.Job.Submitted, i, arrives)
	}
	r.push(as[0].Job.Submitted.Add(tick), -1, ticks)
	return r
}

func (r *run) push(at time.Time, job int, kind string) {
	r.seq++
	e := event{at: at, seq: r.seq, job: job, kind: kind}
	if job >= 0 {
		e.run = r.as[job].Job.Attempts
	}
	heap.Push(&r.queue, e)
}

// probe adds the current layout to the measurements, weighted by the time since
// the last sample.
func (r *run) probe(now time.Time) {
	span := now.Sub(r.last).Seconds()
	last := r.as[len(r.as)-1].Job.Submitted
	if span <= 0 || now.After(last) || (len(r.speed) > exactProbes && span < tick.Seconds()) {
		return
	}
	r.last = now
	gangs := r.s.Fragmentation().Gangs
	if r.layout == nil {
		r.layout = make([]float64, len(gangs))
	}
	for i, g := range gangs {
		r.layout[i] += g.Share() * span
	}
	r.weights += span
}

func (r *run) handle(e event) {
	if e.kind == ticks {
		r.push(e.at.Add(tick), -1, ticks)
		return
	}
	j := &r.as[e.job].Job
	if e.kind != arrives && e.run != j.Attempts {
		return
	}
	switch e.kind {
	case arrives:
	case ends:
		if j.State != model.JobRunning && j.State != model.JobStopping {
			return
		}
		r.end(e.job, e.at)
	case stopped:
		if j.State != model.JobStopping {
			return
		}
		done := time.Duration(float64(e.at.Sub(j.Started)-checkpoint) * r.pace(*j))
		r.left[e.job] = max(r.left[e.job]-max(done, 0), 0) + checkpoint
		*j = j.WithState(model.JobQueued, "stopped")
		j.Members = nil
	}
	r.s.SetJob(*j, e.at)
}

func (r *run) end(i int, at time.Time) {
	j := &r.as[i].Job
	*j = j.WithState(model.JobDone, "")
	j.Ended = at
	r.live--
	least := max(r.as[i].Run, shortestJob)
	r.slow = append(r.slow, max(float64(at.Sub(j.Submitted))/float64(least), 1))
}

func (r *run) pace(j model.Job) float64 {
	slowest := math.Inf(1)
	for _, m := range j.Members {
		slowest = min(slowest, r.speed[m.Worker])
	}
	return slowest
}

func (r *run) decide(now time.Time) {
	begin := r.clock()
	ds := r.s.Decide(now)
	_ = r.cost.RecordValue(int64(r.clock() - begin))
	for _, d := range ds {
		i := r.index[d.Job]
		j := &r.as[i].Job
		switch d.Kind {
		case sched.Place:
			*j = j.WithState(model.JobRunning, d.Reason)
			j.Members, j.Borrowed, j.Started = d.Members, d.Borrowed, now
			j.Attempts++
			r.push(now.Add(time.Duration(float64(r.left[i])/r.pace(*j))), i, ends)
		case sched.Stop:
			*j = j.WithState(model.JobStopping, d.Reason)
			r.stops++
			r.push(now.Add(checkpoint), i, stopped)
		default:
			r.live--
			*j = j.WithState(model.JobFailed, d.Reason)
		}
		r.s.SetJob(*j, now)
	}
}

func (r *run) result(ws []model.Worker) Result {
	var last time.Time
	for _, a := range r.as {
		if a.Job.Ended.After(last) {
			last = a.Job.Ended
		}
	}
	begin := r.as[0].Job.Submitted
	bound := Bound(r.as, ws).Sub(begin)
	slices.Sort(r.slow)
	sum := 0.0
	for _, x := range r.slow {
		sum += x
	}
	res := Result{
		Makespan: float64(last.Sub(begin)) / float64(bound),
		Stops:    r.stops,
		Unended:  r.live,
		CostP50:  time.Duration(r.cost.ValueAtQuantile(50)),
		CostP99:  time.Duration(r.cost.ValueAtQuantile(99)),
	}
	if len(r.slow) > 0 {
		res.Mean = sum / float64(len(r.slow))
		res.P99 = r.slow[len(r.slow)*99/100]
	}
	for _, x := range r.layout {
		res.Layout = append(res.Layout, x/r.weights)
	}
	return res
}
