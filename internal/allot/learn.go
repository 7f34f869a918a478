package allot

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

const (
	// learnRate is the weight of a new measurement in the mean task duration of a queue. Durations
	// within a queue vary by 30 to 50 %, so about eight runs make a usable mean.
	learnRate = 0.15
	// strikes is how many failures in a row, of different jobs, put a worker into quarantine. One
	// task in twenty fails through its own fault, so two in a row are nearly always caused by the
	// worker.
	strikes = 2
	// barFor is how long a worker stays in quarantine. Faults of this kind last five to eight
	// seconds on the known deployments.
	barFor = 6 * time.Second
	// defaultWork is the expected duration of a task about which nothing is known.
	defaultWork = 5 * time.Second
)

const (
	// lately is how many of its last runs determine the speed of a worker. Workers become slow for
	// a time, so older runs don't count.
	lately = 5
	// stepKeep limits the measurements that are kept for one step.
	stepKeep = 48
	// speedSpread is the standard deviation of the logarithm of worker speeds. Speeds of 0.6 and
	// 1.6 are common.
	speedSpread = 0.42
	// workSpread is the standard deviation of the logarithm of task durations between the jobs of
	// a queue. The users' sheets give 0.3 to 0.5.
	workSpread = 0.5
	// taskSpread is the standard deviation of the logarithm of task durations within one step; the
	// users' sheets give 0.15 to 0.3. gangSpread is the same for the members of a gang: they do
	// equal work, and what remains is the rounding of progress to whole percents.
	taskSpread, gangSpread = 0.25, 0.06
	// passes is how often the speeds of the workers of a step are recomputed after a measurement.
	// A third pass changes them by less than a hundredth.
	passes = 2
	// outlier limits how far a measurement may pull an estimate, in standard deviations: one task
	// in thirty takes seven times as long as the others of its step.
	outlier = 2.5
)

// Learner estimates the task durations of queues and the speeds of workers from runs, and records
// which workers fail. It is not safe for concurrent use.
type Learner struct {
	work     map[string]float64 // by queue: logarithm of seconds on a worker of usual speed, near the data of the task
	workers  map[jobs.Worker]*standing
	order    []*standing // the values of workers, in the order of their first runs, so that sums are reproducible
	steps    map[jobs.TaskID]*stepWork
	toldWork map[string]float64        // by queue: the value last stored for the next leader
	errors   map[string]*estimateError // by queue
}

// standing holds what is known about a worker.
type standing struct {
	prior    jobs.Speed      // learned by former leaders
	told     jobs.Speed      // last stored for the next leader
	speed    float64         // logarithm, 0 is usual
	doubt    float64         // standard deviation of speed
	runs     []measure       // the last ones
	failed   map[string]bool // jobs of the failures since the last success
	barred   time.Time       // until when it takes no new tasks
	failedAt time.Time       // when its last run failed; zero if the last run succeeded
}

// measure is the measured duration of one run.
type measure struct {
	task jobs.TaskID
	step *stepWork // the worker
	on   *standing
	took float64 // logarithm of seconds, without the delay by distance from the data
	gang bool
}

// noise returns the variance of a measurement within its step.
func (m measure) noise() float64 {
	if m.gang {
		return gangSpread * gangSpread
	}
	return taskSpread * taskSpread
}

// stepWork holds what is known about the task duration of a step.
type stepWork struct {
	queue    string
	estimate time.Duration // stated by the caller
	runs     []measure
	n        int // completed runs
}

// NewLearner returns a Learner without any measurements.
func NewLearner() *Learner {
	return &Learner{work: map[string]float64{}, workers: map[jobs.Worker]*standing{}, steps: map[jobs.TaskID]*stepWork{}, toldWork: map[string]float64{}, errors: map[string]*estimateError{}}
}

// Speed returns the estimated speed of a worker; 1 is usual.
func (l *Learner) Speed(w jobs.Worker) float64 {
	if s, ok := l.workers[w]; ok {
		return math.Exp(s.speed)
	}
	return 1
}

// Doubt returns the standard deviation of the logarithm of the estimated speed.
func (l *Learner) Doubt(w jobs.Worker) float64 {
	if s, ok := l.workers[w]; ok {
		return s.doubt
	}
	return speedSpread
}

// Barred reports whether a worker is in quarantine because it failed too often or its runs stalled.
func (l *Learner) Barred(w jobs.Worker, now time.Time) bool {
	s, ok := l.workers[w]
	return ok && now.Before(s.barred)
}

// suspectFor is how long a worker is avoided after one failure. A worker on which every run fails
// would soon use up the attempts of a job.
const suspectFor = 4 * time.Second

// Suspect reports whether the last run on a worker failed within the last few seconds.
func (l *Learner) Suspect(w jobs.Worker, now time.Time) bool {
	s, ok := l.workers[w]
	return ok && !s.failedAt.IsZero() && now.Sub(s.failedAt) < suspectFor
}

// Outcome is a measurement of a run, after its end or while it is running.
type Outcome struct {
	Worker jobs.Worker
	Task   jobs.TaskID
	Queue  string
	Guess  time.Duration // stated by the caller
	How    jobs.How
	Took   time.Duration // of the whole run; while it is running, extrapolated from its progress
	Factor float64       // by how much distance from data or between members prolonged it
	Whole  bool          // it didn't resume from a checkpoint
	Single bool          // no other worker took part
	Gang   bool
}

// Ended updates the estimates after the end of a run.
func (l *Learner) Ended(o Outcome, now time.Time) {
	s := l.standing(o.Worker)
	switch o.How {
	case jobs.RunFailed:
		s.failed[o.Task.Job], s.failedAt = true, now
		if len(s.failed) >= strikes {
			s.barred = now.Add(barFor)
			clear(s.failed)
		}
	case jobs.RunDone:
		clear(s.failed)
		s.failedAt = time.Time{}
		if o.Whole && o.Took > 0 && o.Factor > 0 {
			l.ended(o)
		}
	}
}

// Progress updates the estimates from a run that is still running. The members of a gang end together,
// but each progresses at the speed of its own worker.
func (l *Learner) Progress(o Outcome) {
	if o.Took > 0 && o.Factor > 0 {
		l.take(l.measured(o))
	}
}

// Stalled puts a worker into quarantine because a run on it makes no progress.
func (l *Learner) Stalled(w jobs.Worker, now time.Time) { l.standing(w).barred = now.Add(barFor) }

// measured converts an outcome to a measurement.
func (l *Learner) measured(o Outcome) measure {
	return measure{
		task: o.Task, step: l.step(o), on: l.standing(o.Worker), took: math.Log(o.Took.Seconds() / o.Factor), gang: o.Gang,
	}
}

// take updates the speeds of the workers of a step with a measurement.
func (l *Learner) take(m measure) {
	m.on.runs = put(m.on.runs, m, lately)
	m.step.runs = put(m.step.runs, m, stepKeep)
	// The speeds of workers depend on one another. After a single pass the workers that were
	// computed first would still be based on outdated speeds of the others.
	for range passes {
		seen := map[*standing]bool{}
		for _, o := range m.step.runs {
			if !seen[o.on] {
				seen[o.on] = true
				l.rate(o.on)
			}
		}
	}
	l.center()
}

// ended updates the mean task duration of the queue after a complete run.
func (l *Learner) ended(o Outcome) {
	m := l.measured(o)
	if o.Single && !slices.ContainsFunc(m.step.runs, func(x measure) bool { return x.task == m.task }) {
		l.take(m)
	}
	work, variance := l.usual(m.step, nil)
	if len(m.step.runs) == 0 || variance >= workSpread*workSpread {
		return // too uncertain to learn from
	}
	m.step.n++
	if m.step.n == 1 && o.Guess > 0 {
		l.estimates(o.Queue).check(math.Log(o.Guess.Seconds()) - work)
	}
	mean, known := l.work[o.Queue]
	if !known {
		l.work[o.Queue] = work
		return
	}
	// The tasks of a step are alike, so together they count as one measurement.
	l.work[o.Queue] = mean + learnRate*(work-mean)/float64(m.step.n)
}

// put appends a measurement, replaces an earlier one of the same task and keeps at most that many.
func put(list []measure, m measure, most int) []measure {
	list = slices.DeleteFunc(list, func(o measure) bool { return o.task == m.task })
	if len(list) >= most {
		list = list[1:]
	}
	return append(list, m)
}

// rate estimates the speed of a worker from its last runs, comparing each with other measurements of
// its step. With few runs the estimate stays close to the prior.
func (l *Learner) rate(s *standing) {
	weights := 1 / (s.prior.Doubt * s.prior.Doubt)
	sum := s.prior.Log * weights
	for _, m := range s.runs {
		work, variance := l.usual(m.step, s)
		variance += m.noise()
		d := work - m.took - s.speed
		limit := outlier * math.Sqrt(variance)
		weights += 1 / variance
		sum += (s.speed + min(max(d, -limit), limit)) / variance
	}
	s.speed, s.doubt = sum/weights, math.Sqrt(1/weights)
}

// usual estimates how long a task of a step takes on a worker of usual speed, as the logarithm of
// seconds, and the variance of that. Measurements on one worker may be left out.
func (l *Learner) usual(w *stepWork, but *standing) (mean, variance float64) {
	weights, sum := 0.0, 0.0
	if guess, variance := l.guess(w.queue, w.estimate); variance < unknownSpread {
		weights = 1 / variance
		sum = guess * weights
	}
	for _, m := range w.runs {
		if m.on == but {
			continue
		}
		weight := 1 / (m.noise() + m.on.doubt*m.on.doubt)
		weights += weight
		sum += weight * (m.took + m.on.speed)
	}
	if weights == 0 {
		return 0, unknownSpread
	}
	return sum / weights, 1 / weights
}

// unknownSpread is the variance of an estimate that is based on nothing.
const unknownSpread = 100

// center keeps the mean of the logarithms of speed at 0. Otherwise speeds and durations could drift
// together, since each is derived from the other.
func (l *Learner) center() {
	sum := 0.0
	for _, s := range l.order {
		sum += s.speed
	}
	mean := sum / float64(len(l.order))
	for _, s := range l.order {
		s.speed -= mean
	}
}

// step returns the record of the step of a run, creating it if needed.
func (l *Learner) step(o Outcome) *stepWork {
	key := stepOf(o.Task)
	w, ok := l.steps[key]
	if !ok {
		w = &stepWork{queue: o.Queue, estimate: o.Guess}
		l.steps[key] = w
	}
	return w
}

// stepOf returns the ID of the step of a task: the task ID with index 0.
func stepOf(t jobs.TaskID) jobs.TaskID {
	t.Index = 0
	return t
}

// standing returns the record of a worker, creating it if needed.
func (l *Learner) standing(w jobs.Worker) *standing {
	s, ok := l.workers[w]
	if !ok {
		s = &standing{prior: jobs.Speed{Doubt: speedSpread}, doubt: speedSpread, failed: map[string]bool{}}
		l.workers[w], l.order = s, append(l.order, s)
	}
	return s
}

// Forget drops everything known about a worker that is gone.
func (l *Learner) Forget(w jobs.Worker) {
	gone := l.workers[w]
	delete(l.workers, w)
	l.order = slices.DeleteFunc(l.order, func(s *standing) bool { return s == gone })
}

// ForgetJob drops everything known about the steps of a job.
func (l *Learner) ForgetJob(id string) {
	for t := range l.steps {
		if t.Job == id {
			delete(l.steps, t)
		}
	}
}
