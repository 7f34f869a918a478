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
	lately = 5
	// stepKeep bounds the runs of one step that are remembered.
	stepKeep = 48
	// speedSpread is the standard deviation of the logarithm of the speeds of
	// workers: 0.6 and 1.6 are usual.
	speedSpread = 0.42
	// workSpread is the standard deviation of the logarithm of the work of a
	// queue's steps, 0.3 to 0.5 on the users' sheets.
	workSpread = 0.5
	// taskSpread is the same for the tasks of one step, 0.15 to 0.3 on the
	// users' sheets. The members of a gang do the same work; what differs
	// between them is the error of whole percents.
	taskSpread, gangSpread = 0.25, 0.06
	// passes is how often the speeds of a step's workers are worked out anew after
	// a measure; a third one changes them by less than a hundredth.
	passes = 2
	// outlier is how many standard deviations a measure counts at most: one
	// task in thirty takes seven times as long as its like.
	outlier = 2.5
)

// Learner remembers how long the work of each queue takes and how workers do. It
// is not safe for concurrent use.
type Learner struct {
	work     map[string]float64 // by queue: logarithm of seconds on a worker of usual speed, near its data
	workers  map[jobs.Worker]*standing
	order    []*standing // the same, in the order of their first runs: sums come out alike each time
	steps    map[jobs.TaskID]*stepWork
	toldWork map[string]float64        // what successors know of work
	errors   map[string]*estimateError // by queue
}

// standing is what is known of a worker.
type standing struct {
	prior    jobs.Speed      // what a former leader knew
	told     jobs.Speed      // what successors know
	speed    float64         // logarithm
	doubt    float64         // its standard deviation
	runs     []measure       // the last ones
	failed   map[string]bool // jobs of the failures in a row
	barred   time.Time       // until then it takes nothing new
	failedAt time.Time       // of the last run, zero if that was done
}

// measure is the length of one run.
type measure struct {
	task jobs.TaskID
	step *stepWork
	on   *standing
	took float64 // logarithm of seconds, as if near its data
	gang bool
}

// noise is the variance of a measure among its like.
func (m measure) noise() float64 {
	if m.gang {
		return gangSpread * gangSpread
	}
	return taskSpread * taskSpread
}

// stepWork is what is known of a step's length.
type stepWork struct {
	queue    string
	estimate time.Duration // the caller's
	runs     []measure
	n        int // runs that have ended
}

// NewLearner returns a Learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{work: map[string]float64{}, workers: map[jobs.Worker]*standing{}, steps: map[jobs.TaskID]*stepWork{}, toldWork: map[string]float64{}, errors: map[string]*estimateError{}}
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
	if s, ok := l.workers[w]; ok {
		return s.doubt
	}
	return speedSpread
}

// Barred tells whether a worker has failed too much lately.
func (l *Learner) Barred(w jobs.Worker, now time.Time) bool {
	s, ok := l.workers[w]
	return ok && now.Before(s.barred)
}

// suspectFor is how long a worker is avoided after one failure. If it fails all
// that it starts, the attempts of a job are soon used up.
const suspectFor = 4 * time.Second

// Suspect tells whether the last run that ended on a worker has failed a moment
// ago.
func (l *Learner) Suspect(w jobs.Worker, now time.Time) bool {
	s, ok := l.workers[w]
	return ok && !s.failedAt.IsZero() && now.Sub(s.failedAt) < suspectFor
}

// Outcome is the end of a run, or how it stands, as far as the learner uses it.
type Outcome struct {
	Worker jobs.Worker
	Task   jobs.TaskID
	Queue  string
	Guess  time.Duration // the caller's estimate
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

// Progress learns from a run under way: o.Took is how long it takes if it goes on
// as it does. Each member of a gang works at the speed of its own worker, even
// though they end together.
func (l *Learner) Progress(o Outcome) {
	if o.Took > 0 && o.Factor > 0 {
		l.take(l.measured(o))
	}
}

// Stalled notes that a run stands still on a worker: it takes nothing new for a
// while.
func (l *Learner) Stalled(w jobs.Worker, now time.Time) { l.standing(w).barred = now.Add(barFor) }

// measured turns an outcome into a measure.
func (l *Learner) measured(o Outcome) measure {
	return measure{
		task: o.Task, step: l.step(o), on: l.standing(o.Worker), took: math.Log(o.Took.Seconds() / o.Factor), gang: o.Gang,
	}
}

// take takes in a measure of the speed of a worker and of the work of a step.
func (l *Learner) take(m measure) {
	m.on.runs = put(m.on.runs, m, lately)
	m.step.runs = put(m.step.runs, m, stepKeep)
	// Speeds are measured by one another, so that one pass leaves those behind
	// that came first.
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

// ended takes in the length of a whole run.
func (l *Learner) ended(o Outcome) {
	m := l.measured(o)
	if o.Single && !slices.ContainsFunc(m.step.runs, func(x measure) bool { return x.task == m.task }) {
		l.take(m)
	}
	work, variance := l.usual(m.step, nil)
	if len(m.step.runs) == 0 || variance >= workSpread*workSpread {
		return // too little has been seen of it
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
	// The tasks of a step are alike: together they count as one.
	l.work[o.Queue] = mean + learnRate*(work-mean)/float64(m.step.n)
}

// put adds a measure to the last ones, in place of an earlier one of its task.
func put(list []measure, m measure, most int) []measure {
	list = slices.DeleteFunc(list, func(o measure) bool { return o.task == m.task })
	if len(list) >= most {
		list = list[1:]
	}
	return append(list, m)
}

// rate works out a worker's speed from its last runs, each against what others
// show of the same step. The fewer there are, the closer it is to the usual.
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

// usual returns how long a step's tasks take on a worker of usual speed, as the
// logarithm of seconds, and its variance. What one worker shows may be left out.
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

// unknownSpread is the variance of what nothing is known of.
const unknownSpread = 100

// center keeps the mean speed at 1. Otherwise speeds and lengths could drift
// away together, since each is measured by the other.
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

func (l *Learner) step(o Outcome) *stepWork {
	key := stepOf(o.Task)
	w, ok := l.steps[key]
	if !ok {
		w = &stepWork{queue: o.Queue, estimate: o.Guess}
		l.steps[key] = w
	}
	return w
}

// stepOf names the step of a task.
func stepOf(t jobs.TaskID) jobs.TaskID {
	t.Index = 0
	return t
}

func (l *Learner) standing(w jobs.Worker) *standing {
	s, ok := l.workers[w]
	if !ok {
		s = &standing{prior: jobs.Speed{Doubt: speedSpread}, doubt: speedSpread, failed: map[string]bool{}}
		l.workers[w], l.order = s, append(l.order, s)
	}
	return s
}

// Forget drops what is known of a worker that is gone.
func (l *Learner) Forget(w jobs.Worker) {
	gone := l.workers[w]
	delete(l.workers, w)
	l.order = slices.DeleteFunc(l.order, func(s *standing) bool { return s == gone })
}

// ForgetJob drops what is known of a job's steps.
func (l *Learner) ForgetJob(id string) {
	for t := range l.steps {
		if t.Job == id {
			delete(l.steps, t)
		}
	}
}
