package allot

import (
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

const (
	// learnRate is the weight of a new measurement. Work within a queue spreads
	// by 30 to 50 %, so about eight runs make a usable mean.
	learnRate = 0.15
	// speedRate is higher than learnRate: workers turn slow for seconds only.
	speedRate = 0.3
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

// Learner remembers how long the work of each queue takes and how workers do. It
// is not safe for concurrent use.
type Learner struct {
	work    map[string]time.Duration // by queue, on a sound worker near its data
	workers map[jobs.Worker]*standing
}

// standing is what is known of a worker.
type standing struct {
	speed  float64
	failed map[string]bool // jobs of the failures in a row
	barred time.Time       // until then it takes nothing new

}

// NewLearner returns a Learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{work: map[string]time.Duration{}, workers: map[jobs.Worker]*standing{}}
}

// Work returns how long a task is expected to take. The caller's own estimate is
// used only until runs of the queue have been seen.
func (l *Learner) Work(queue string, estimate time.Duration) time.Duration {
	if d, ok := l.work[queue]; ok {
		return d
	}
	if estimate > 0 {
		return estimate
	}
	return defaultWork
}

// Speed returns how fast a worker is, 1 being usual.
func (l *Learner) Speed(w jobs.Worker) float64 {
	if s, ok := l.workers[w]; ok {
		return s.speed
	}
	return 1
}

// Barred tells whether a worker has failed too much lately.
func (l *Learner) Barred(w jobs.Worker, now time.Time) bool {
	s, ok := l.workers[w]
	return ok && now.Before(s.barred)
}

// Outcome is the end of a run, as far as the learner uses it.
type Outcome struct {
	Worker jobs.Worker
	Queue  string
	Job    string
	How    jobs.How
	Took   time.Duration
	Factor float64 // by which distance made it longer
	Whole  bool    // it ran from its beginning, not from a checkpoint
	Single bool    // no other worker took part
}

// Ended learns from the end of a run.
func (l *Learner) Ended(o Outcome, now time.Time) {
	s := l.standing(o.Worker)
	switch o.How {
	case jobs.RunFailed:
		s.failed[o.Job] = true
		if len(s.failed) >= strikes {
			s.barred = now.Add(barFor)
			clear(s.failed)
		}
	case jobs.RunDone:
		clear(s.failed)
		l.measure(o, s)
	}
}

// measure takes in the length of a run that is done.
func (l *Learner) measure(o Outcome, s *standing) {
	if !o.Whole || o.Took <= 0 || o.Factor <= 0 {
		return
	}
	near := time.Duration(float64(o.Took) / o.Factor)
	mean, known := l.work[o.Queue]
	if known && o.Single {
		seen := float64(mean) / float64(near)
		s.speed = min(max(s.speed+speedRate*(seen-s.speed), slowest), fastest)
	}
	sound := time.Duration(float64(near) * s.speed)
	if !known {
		l.work[o.Queue] = sound
		return
	}
	l.work[o.Queue] = mean + time.Duration(learnRate*float64(sound-mean))
}

// fastest bounds the learned speed: short tasks look like fast workers.
const fastest = 2.5

func (l *Learner) standing(w jobs.Worker) *standing {
	s, ok := l.workers[w]
	if !ok {
		s = &standing{speed: 1, failed: map[string]bool{}}
		l.workers[w] = s
	}
	return s
}

// Forget drops what is known of a worker that is gone.
func (l *Learner) Forget(w jobs.Worker) { delete(l.workers, w) }
