package allot

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedlug/knapweedlug/internal/jobs"
)

const (
	// learningRate is the weight of a new measurement in the mean task duration of a queue. Durations
	// within a queue vary by 30 to 50 %, so about eight runs make a usable mean.
	learningRate = 0.15
	// quarantineFailures is how many failures in a row, of different jobs, put a worker into quarantine. One
	// task in twenty fails through its own fault, so two in a row are nearly always caused by the
	// worker.
	quarantineFailures = 2
	// quarantineTime is how long a worker stays in quarantine. Faults of this kind last five to eight
	// seconds on the known deployments.
	quarantineTime = 6 * time.Second
	// defaultDuration is the expected duration of a task about which nothing is known.
	defaultDuration = 5 * time.Second
)

const (
	// maxWorkerRuns is how many of its last runs determine the speed of a worker. Workers become slow for
	// a time, so older runs don't count.
	maxWorkerRuns = 5
	// maxStepRuns limits the measurements that are kept for one step.
	maxStepRuns = 48
	// speedStdDev is the standard deviation of the logarithm of worker speeds. Speeds of 0.6 and
	// 1.6 are common.
	speedStdDev = 0.42
	// queueStdDev is the standard deviation of the logarithm of task durations between the jobs of
	// a queue. The users' sheets give 0.3 to 0.5.
	queueStdDev = 0.5
	// taskStdDev is the standard deviation of the logarithm of task durations within one step; the
	// users' sheets give 0.15 to 0.3. gangStdDev is the same for the members of a gang: they do
	// equal work, and what remains is the rounding of progress to whole percents.
	taskStdDev, gangStdDev = 0.25, 0.06
	// speedPasses is how many times the speeds of the workers of a step are recomputed after a measurement.
	// A third pass changes them by less than a hundredth.
	speedPasses = 2
	// maxDeviations limits how far a measurement may pull an estimate, in standard deviations: one task
	// in thirty takes seven times as long as the others of its step.
	maxDeviations = 2.5
)

// Learner estimates the task durations of queues and the speeds of workers from runs, and records
// which workers fail. It is not safe for concurrent use.
type Learner struct {
	queueLogSeconds  map[string]float64 // by queue: logarithm of seconds on a worker of usual speed, near the data of the task
	workers          map[jobs.Worker]*workerRecord
	workerOrder      []*workerRecord // the values of workers, in the order of their first runs, so that sums are reproducible
	steps            map[jobs.TaskID]*stepRecord
	storedLogSeconds map[string]float64         // by queue: the value last stored for the next leader
	estimateErrors   map[string]*estimateErrors // by queue
}

// workerRecord holds what is known about a worker.
type workerRecord struct {
	prior         jobs.WorkerSpeed // learned by former leaders
	stored        jobs.WorkerSpeed // last stored for the next leader
	logSpeed      float64          // logarithm of the speed, 0 is usual
	stdDev        float64          // standard deviation of logSpeed
	measurements  []measurement    // the last ones
	failedJobs    map[string]bool  // ids of the jobs that failed here since the last success or quarantine
	quarantineEnd time.Time        // end of its latest quarantine
	failedAt      time.Time        // when its last run failed; zero if the last run succeeded
}

// measurement is the measured duration of one run.
type measurement struct {
	task       jobs.TaskID
	step       *stepRecord
	worker     *workerRecord
	logSeconds float64 // logarithm of seconds, without the delay by distance from the data
	gang       bool
}

// variance returns the variance of a measurement within its step.
func (m measurement) variance() float64 {
	if m.gang {
		return gangStdDev * gangStdDev
	}
	return taskStdDev * taskStdDev
}

// stepRecord holds what is known about the task duration of a step.
type stepRecord struct {
	queue        string
	estimate     time.Duration // duration of a task as stated by the caller
	measurements []measurement // the last ones
	completed    int           // number of completed runs that the queue has learned from
}

// NewLearner returns a Learner without any measurements.
func NewLearner() *Learner {
	return &Learner{queueLogSeconds: map[string]float64{}, workers: map[jobs.Worker]*workerRecord{}, steps: map[jobs.TaskID]*stepRecord{}, storedLogSeconds: map[string]float64{}, estimateErrors: map[string]*estimateErrors{}}
}

// Speed returns the estimated speed of a worker; 1 is usual.
func (l *Learner) Speed(w jobs.Worker) float64 {
	if record, ok := l.workers[w]; ok {
		return math.Exp(record.logSpeed)
	}
	return 1
}

// SpeedStdDev returns the standard deviation of the logarithm of the estimated speed.
func (l *Learner) SpeedStdDev(w jobs.Worker) float64 {
	if record, ok := l.workers[w]; ok {
		return record.stdDev
	}
	return speedStdDev
}

// Quarantined reports whether a worker is in quarantine because it failed too often or its runs stalled.
func (l *Learner) Quarantined(w jobs.Worker, now time.Time) bool {
	record, ok := l.workers[w]
	return ok && now.Before(record.quarantineEnd)
}

// suspectTime is how long a worker is avoided after one failure. A worker on which every run fails
// would soon use up the attempts of a job.
const suspectTime = 4 * time.Second

// Suspect reports whether the last run on a worker failed within the last few seconds.
func (l *Learner) Suspect(w jobs.Worker, now time.Time) bool {
	record, ok := l.workers[w]
	return ok && !record.failedAt.IsZero() && now.Sub(record.failedAt) < suspectTime
}

// Observation is a measurement of a run, after its end or while it is running.
type Observation struct {
	Worker         jobs.Worker
	Task           jobs.TaskID
	Queue          string
	Estimate       time.Duration // duration of a task as stated by the caller; 0 if it gave none
	Outcome        jobs.RunOutcome
	Duration       time.Duration // duration of the whole run; while it is running, extrapolated from its progress
	DistanceFactor float64       // factor by which distance from its data or between members prolonged it
	FromStart      bool          // it didn't resume from a checkpoint
	SingleWorker   bool          // no other worker took part
	Gang           bool          // its tasks run together or not at all
}

// LearnEnd updates the estimates after the end of a run.
func (l *Learner) LearnEnd(o Observation, now time.Time) {
	record := l.record(o.Worker)
	switch o.Outcome {
	case jobs.RunFailed:
		record.failedJobs[o.Task.Job], record.failedAt = true, now
		if len(record.failedJobs) >= quarantineFailures {
			record.quarantineEnd = now.Add(quarantineTime)
			clear(record.failedJobs)
		}
	case jobs.RunDone:
		clear(record.failedJobs)
		record.failedAt = time.Time{}
		if o.FromStart && o.Duration > 0 && o.DistanceFactor > 0 {
			l.updateQueue(o)
		}
	}
}

// LearnProgress updates the estimates from a run that is still running. The members of a gang end together,
// but each progresses at the speed of its own worker.
func (l *Learner) LearnProgress(o Observation) {
	if o.Duration > 0 && o.DistanceFactor > 0 {
		l.addMeasurement(l.measurementOf(o))
	}
}

// Stalled puts a worker into quarantine because a run on it makes no progress.
func (l *Learner) Stalled(w jobs.Worker, t time.Time) {
	l.record(w).quarantineEnd = t.Add(quarantineTime)
}

// measurementOf returns the measurement that an observation contains.
func (l *Learner) measurementOf(o Observation) measurement {
	return measurement{
		task: o.Task, step: l.stepRecord(o), worker: l.record(o.Worker), logSeconds: math.Log(o.Duration.Seconds() / o.DistanceFactor), gang: o.Gang,
	}
}

// addMeasurement updates the speeds of the workers of a step with a measurement.
func (l *Learner) addMeasurement(m measurement) {
	m.worker.measurements = appendMeasurement(m.worker.measurements, m, maxWorkerRuns)
	m.step.measurements = appendMeasurement(m.step.measurements, m, maxStepRuns)
	// The speeds of workers depend on one another. After a single pass the workers that were
	// computed first would still be based on outdated speeds of the others.
	for range speedPasses {
		seen := map[*workerRecord]bool{}
		for _, other := range m.step.measurements {
			if !seen[other.worker] {
				seen[other.worker] = true
				l.updateSpeed(other.worker)
			}
		}
	}
	l.centerSpeeds()
}

// updateQueue updates the mean task duration of the queue after a complete run.
func (l *Learner) updateQueue(o Observation) {
	m := l.measurementOf(o)
	if o.SingleWorker && !slices.ContainsFunc(m.step.measurements, func(x measurement) bool { return x.task == m.task }) {
		l.addMeasurement(m)
	}
	stepMean, variance := l.stepEstimate(m.step, nil)
	if len(m.step.measurements) == 0 || variance >= queueStdDev*queueStdDev {
		return // the estimate is too uncertain to learn from
	}
	m.step.completed++
	if m.step.completed == 1 && o.Estimate > 0 {
		l.estimateErrorsOf(o.Queue).add(math.Log(o.Estimate.Seconds()) - stepMean)
	}
	queueMean, known := l.queueLogSeconds[o.Queue]
	if !known {
		l.queueLogSeconds[o.Queue] = stepMean
		return
	}
	// The tasks of a step are alike, so together they count as one measurement.
	l.queueLogSeconds[o.Queue] = queueMean + learningRate*(stepMean-queueMean)/float64(m.step.completed)
}

// appendMeasurement appends a measurement, replaces an earlier one of the same task and keeps at most limit
// of them.
func appendMeasurement(list []measurement, m measurement, limit int) []measurement {
	list = slices.DeleteFunc(list, func(o measurement) bool { return o.task == m.task })
	if len(list) >= limit {
		list = list[1:]
	}
	return append(list, m)
}

// updateSpeed estimates the speed of a worker from its last runs, comparing each with other measurements of
// its step. With few runs the estimate stays close to the prior.
func (l *Learner) updateSpeed(record *workerRecord) {
	weightSum := 1 / (record.prior.StdDev * record.prior.StdDev)
	sum := record.prior.LogSpeed * weightSum
	for _, m := range record.measurements {
		mean, variance := l.stepEstimate(m.step, record)
		variance += m.variance()
		deviation := mean - m.logSeconds - record.logSpeed
		limit := maxDeviations * math.Sqrt(variance)
		weightSum += 1 / variance
		sum += (record.logSpeed + min(max(deviation, -limit), limit)) / variance
	}
	record.logSpeed, record.stdDev = sum/weightSum, math.Sqrt(1/weightSum)
}

// stepEstimate estimates how long a task of a step takes on a worker of usual speed, as the logarithm of
// seconds, and the variance of that. Measurements on one worker may be left out.
func (l *Learner) stepEstimate(step *stepRecord, except *workerRecord) (mean, variance float64) {
	weightSum, sum := 0.0, 0.0
	if priorMean, variance := l.priorEstimate(step.queue, step.estimate); variance < unknownVariance {
		weightSum = 1 / variance
		sum = priorMean * weightSum
	}
	for _, m := range step.measurements {
		if m.worker == except {
			continue
		}
		weight := 1 / (m.variance() + m.worker.stdDev*m.worker.stdDev)
		weightSum += weight
		sum += weight * (m.logSeconds + m.worker.logSpeed)
	}
	if weightSum == 0 {
		return 0, unknownVariance
	}
	return sum / weightSum, 1 / weightSum
}

// unknownVariance is the variance of an estimate that is based on nothing.
const unknownVariance = 100

// centerSpeeds keeps the mean of the logarithms of speed at 0. Otherwise speeds and durations could drift
// together, since each is derived from the other.
func (l *Learner) centerSpeeds() {
	sum := 0.0
	for _, record := range l.workerOrder {
		sum += record.logSpeed
	}
	mean := sum / float64(len(l.workerOrder))
	for _, record := range l.workerOrder {
		record.logSpeed -= mean
	}
}

// stepRecord returns the record of the step of a run, creating it if needed.
func (l *Learner) stepRecord(o Observation) *stepRecord {
	key := stepID(o.Task)
	record, ok := l.steps[key]
	if !ok {
		record = &stepRecord{queue: o.Queue, estimate: o.Estimate}
		l.steps[key] = record
	}
	return record
}

// stepID returns the ID of the step of a task: the task ID with index 0.
func stepID(t jobs.TaskID) jobs.TaskID {
	t.Index = 0
	return t
}

// record returns the record of a worker, creating it if needed.
func (l *Learner) record(w jobs.Worker) *workerRecord {
	record, ok := l.workers[w]
	if !ok {
		record = &workerRecord{prior: jobs.WorkerSpeed{StdDev: speedStdDev}, stdDev: speedStdDev, failedJobs: map[string]bool{}}
		l.workers[w], l.workerOrder = record, append(l.workerOrder, record)
	}
	return record
}

// ForgetWorker drops everything known about a worker that is gone.
func (l *Learner) ForgetWorker(w jobs.Worker) {
	record := l.workers[w]
	delete(l.workers, w)
	l.workerOrder = slices.DeleteFunc(l.workerOrder, func(r *workerRecord) bool { return r == record })
}

// ForgetJob drops everything known about the steps of a job.
func (l *Learner) ForgetJob(id string) {
	for t := range l.steps {
		if t.Job == id {
			delete(l.steps, t)
		}
	}
}
