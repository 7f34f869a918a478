package allot

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

const (
	// learnRate is the weight of a new measurement of a queue's work. Work
	// within a queue spreads by 30 to 50 %, so about eight runs make a usable
	// mean.
	learnRate = 0.15
	// strikes is how many failures in a row, of different jobs, bar a worker. A
	// task fails by its own fault once in twenty, so two in a row are rarely
	// anything else than the worker's fault.
	strikes = 2
	// barFor is how long a worker is barred. Faults of this kind last five to
	// eight seconds on the deployments known.
	barFor = 6 * time.Second
	// defaultWork is the length of a task about which nothing is known.
	defaultWork = 5 * time.Second
)

const (
	// lately is how many of a worker's last runs tell its speed. Workers turn
	// slow for a while, so older ones don't count.
	lately = 6
	// stepKeep bounds the runs of one step that are remembered.
	stepKeep = 48
	// stepEnough is how many runs of a step make it a better measure than the
	// mean of its queue.
	stepEnough = 3
	// speedSpread is the standard deviation of the logarithm of the speeds of
	// workers: 0.6 and 1.6 are usual.
	speedSpread = 0.42
)

// Learner remembers how long the work of each queue takes and how workers do. It
// is not safe for concurrent use.
type Learner struct {
	work    map[string]float64 // by queue: logarithm of seconds on a worker of usual speed, near its data
	workers map[jobs.Worker]*standing
	steps   map[jobs.TaskID]*stepWork
}

// standing is what is known of a worker.
type standing struct {
	speed  float64         // logarithm
	runs   []measure       // the last ones
	failed map[string]bool // jobs of the failures in a row
	barred time.Time       // until then it takes nothing new
}

// measure is the length of one run.
type measure struct {
	task jobs.TaskID
	step *stepWork
	on   *standing
	took float64 // logarithm of seconds, as if near its data
}

// stepWork is what is known of a step's length.
type stepWork struct {
	queue string
	runs  []measure
	n     int // runs that have ended
}

// NewLearner returns a Learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{work: map[string]float64{}, workers: map[jobs.Worker]*standing{}, steps: map[jobs.TaskID]*stepWork{}}
}

// Work returns how long a task is expected to take on a worker of usual speed.
// The caller's own estimate is used only until runs of the queue have been seen.
func (l *Learner) Work(queue string, estimate time.Duration) time.Duration {
	if log, ok := l.work[queue]; ok {
		return time.Duration(math.Exp(log) * float64(time.Second))
	}
	if estimate > 0 {
		return estimate
	}
	return defaultWork
}

// Speed returns how fast a worker is, 1 being usual.
func (l *Learner) Speed(w jobs.Worker) float64 {
	if s, ok := l.workers[w]; ok {
		return math.Exp(s.speed)
	}
	return 1
}

// Doubt returns how little is known of a worker's speed, as the standard
// deviation of its logarithm.
func (l *Learner) Doubt(w jobs.Worker) float64 {
	n := 0
	if s, ok := l.workers[w]; ok {
		n = len(s.runs)
	}
	return speedSpread / math.Sqrt(1+2*float64(n))
}

// Barred tells whether a worker has failed too much lately.
func (l *Learner) Barred(w jobs.Worker, now time.Time) bool {
	s, ok := l.workers[w]
	return ok && now.Before(s.barred)
}

// Outcome is the end of a run, or how it stands, as far as the learner uses it.
type Outcome struct {
	Worker jobs.Worker
	Task   jobs.TaskID
	Queue  string
	How    jobs.How
	Took   time.Duration
	Factor float64 // by which distance made it longer
	Whole  bool    // it ran from its beginning, not from a checkpoint
	Single bool    // no other worker took part
	Gang   bool
}

// Ended learns from the end of a run.
func (l *Learner) Ended(o Outcome, now time.Time) {
	s := l.standing(o.Worker)
	switch o.How {
	case jobs.RunFailed:
		s.failed[o.Task.Job] = true
		if len(s.failed) >= strikes {
			s.barred = now.Add(barFor)
			clear(s.failed)
		}
	case jobs.RunDone:
		clear(s.failed)
		if o.Whole && o.Took > 0 && o.Factor > 0 {
			l.measure(o, s, true)
		}
	}
}

// Progress learns from a run under way: o.Took is how long it will have taken if
// it goes on as it has.
func (l *Learner) Progress(o Outcome) {
	if o.Whole && o.Took > 0 && o.Factor > 0 {
		l.measure(o, l.standing(o.Worker), false)
	}
}

// Stalled notes that a run stands still on a worker: it takes nothing new for a
// while.
func (l *Learner) Stalled(w jobs.Worker, now time.Time) { l.standing(w).barred = now.Add(barFor) }

// measure takes in the length of a run.
func (l *Learner) measure(o Outcome, s *standing, ended bool) {
	m := measure{task: o.Task, step: l.step(o), on: s, took: math.Log(o.Took.Seconds() / o.Factor)}
	if o.Single {
		s.runs = put(s.runs, m, lately)
		if !o.Gang {
			m.step.runs = put(m.step.runs, m, stepKeep)
		}
		s.speed = l.rate(s)
		l.center()
	}
	if !ended {
		return
	}
	m.step.n++
	sound := m.took + s.speed
	mean, known := l.work[o.Queue]
	if !known {
		l.work[o.Queue] = sound
		return
	}
	// The tasks of a step are alike: together they count as one.
	l.work[o.Queue] = mean + learnRate*(sound-mean)/float64(m.step.n)
}

// put adds a measure to the last ones, in place of an earlier one of its task.
func put(list []measure, m measure, most int) []measure {
	list = slices.DeleteFunc(list, func(o measure) bool { return o.task == m.task })
	if len(list) >= most {
		list = list[1:]
	}
	return append(list, m)
}

// rate returns the logarithm of a worker's speed: the median of what its last
// runs say, drawn towards the usual the fewer they are.
func (l *Learner) rate(s *standing) float64 {
	var seen []float64
	for _, m := range s.runs {
		if usual, ok := l.usual(m.step); ok {
			seen = append(seen, usual-m.took)
		}
	}
	n := float64(len(seen))
	return median(seen) * n / (n + 1)
}

// usual returns how long a step's tasks take on a worker of usual speed, as the
// logarithm of seconds.
func (l *Learner) usual(w *stepWork) (float64, bool) {
	if len(w.runs) < stepEnough {
		mean, known := l.work[w.queue]
		return mean, known
	}
	var list []float64
	for _, m := range w.runs {
		list = append(list, m.took+m.on.speed)
	}
	return median(list), true
}

func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	mid := len(list) / 2
	if len(list)%2 == 1 {
		return list[mid]
	}
	return (list[mid-1] + list[mid]) / 2
}

// center keeps the mean speed at 1. Otherwise speeds and lengths could drift
// away together, since each is measured by the other.
func (l *Learner) center() {
	sum := 0.0
	for _, s := range l.workers {
		sum += s.speed
	}
	mean := sum / float64(len(l.workers))
	for _, s := range l.workers {
		s.speed -= mean
	}
}

func (l *Learner) step(o Outcome) *stepWork {
	key := o.Task
	key.Index = 0
	w, ok := l.steps[key]
	if !ok {
		w = &stepWork{queue: o.Queue}
		l.steps[key] = w
	}
	return w
}

func (l *Learner) standing(w jobs.Worker) *standing {
	s, ok := l.workers[w]
	if !ok {
		s = &standing{failed: map[string]bool{}}
		l.workers[w] = s
	}
	return s
}

// Forget drops what is known of a worker that is gone.
func (l *Learner) Forget(w jobs.Worker) { delete(l.workers, w) }

// ForgetJob drops what is known of a job's steps.
func (l *Learner) ForgetJob(id string) {
	for t := range l.steps {
		if t.Job == id {
			delete(l.steps, t)
		}
	}
}
